//go:build race

package allocator_test

// The race detector makes the runs ten times slower. With it, there is less demand and a
// smaller deployment for the count of bytes; the CI script counts them without it, too.
const (
	rootsPerNode   = 8
	nodeBytesNodes = 100
)
