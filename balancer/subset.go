package balancer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"waxwingseam.example/waxwingseam"
)

// subset returns at most size of the servers, chosen by rendezvous hashing of
// node and server, so that each node has its own subset and adding or removing
// a server changes few subsets. A size of 0 selects all servers. subset may
// reorder targets.
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
