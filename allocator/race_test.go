//go:build race

package allocator_test

// The race detector makes the runs ten times slower: the CI script runs the large ones
// without it.
const raceDetector = true
