package balancer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"waxwingseam.example/waxwingseam"
)

// subset returns the servers that a node calls, at most size of them: the
// first by rendezvous hashing of node and server, so that each node has its
// own and a server that comes or goes changes few. A size of 0 stands for all.
func subset(self waxwingseam.ServerName, targets []*target, size int) []*target {
	if size <= 0 || len(targets) <= size {
		return targets
	}
	weights := make(map[*target]uint64, len(targets))
	for _, t := range targets {
		weights[t] = xxhash.Sum64String(string(self) + "\x00" + string(t.server.Name))
	}
	slices.SortFunc(targets, func(a, b *target) int {
		return cmp.Compare(weights[b], weights[a])
	})
	return targets[:size]
}
