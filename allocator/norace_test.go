//go:build !race

package allocator_test

const raceDetector = false
