//go:build !race

package allocator_test

const (
	// rootsPerNode is the usual demand: 2,000 requests per second over 80 nodes.
	rootsPerNode = 25
	// nodeBytesNodes is the number of nodes and of accounts in TestNodeBytes.
	nodeBytesNodes = 1000
)
