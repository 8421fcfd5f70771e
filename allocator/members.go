package allocator

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingseam.example/waxwingseam"
)

const (
	// heardRetention is how long the number of nodes that another node states is
	// remembered. It covers a node that has just started and does not know all yet.
	heardRetention = 10 * time.Second
	// startPeriod is the time after the first news of servers in which the list of a node
	// may still be incomplete, and settleTime is how long it must not grow in that time
	// before the node takes itself for an owner.
	startPeriod = 10 * time.Second
	settleTime  = 500 * time.Millisecond
	// refreshPerNode bounds how often the order of the nodes is computed, which takes some
	// microseconds for each node and 100 shards.
	refreshPerNode = 200 * time.Microsecond
	// failureRetention is the time between two probes of a node that did not answer.
	failureRetention = 2 * time.Second
	// maxFailures is how many candidates of a shard may fail before the node is its own
	// owner, as it is likely cut off.
	maxFailures = 4
)

// members are the nodes that this node knows.
type members struct {
	servers map[waxwingseam.ServerName]netip.AddrPort
	// nodes are the addresses of the known nodes including this one, in order; stale is
	// set if they have to be computed again.
	nodes []netip.AddrPort
	stale bool
	// changes counts the changes of nodes, and computedAt is when the last one was made.
	changes    uint64
	computedAt time.Time
	// started is when the first servers were learned, and grown when the number of nodes
	// last rose by more than a tenth.
	started, grown time.Time
	settledAt      int
	// heard is the largest number of nodes that another node stated recently.
	heard   uint32
	heardAt time.Time
	// failed holds the nodes that did not answer, and when they are probed next.
	failed map[netip.AddrPort]time.Time
}

func newMembers() members {
	return members{
		servers: map[waxwingseam.ServerName]netip.AddrPort{},
		failed:  map[netip.AddrPort]time.Time{},
	}
}

// update merges news of servers.
func (m *members) update(now time.Time, e waxwingseam.ServersUpdated) {
	for _, s := range e.Servers {
		if m.servers[s.Name] != s.Node {
			m.servers[s.Name] = s.Node
			m.stale = true
		}
	}
	for _, name := range e.Gone {
		if _, ok := m.servers[name]; ok {
			delete(m.servers, name)
			m.stale = true
		}
	}
	if m.started.IsZero() {
		m.started = now
	}
	if len(m.servers)*10 > m.settledAt*11 {
		m.grown = now
		m.settledAt = len(m.servers)
	}
}

// list returns the addresses of all nodes. News may be left out for refreshPerNode for
// each node.
func (m *members) list(now time.Time, self netip.AddrPort) []netip.AddrPort {
	recent := now.Sub(m.computedAt) < time.Duration(len(m.nodes))*refreshPerNode
	if m.nodes != nil && (!m.stale || recent) {
		return m.nodes
	}
	seen := map[netip.AddrPort]bool{}
	m.nodes = make([]netip.AddrPort, 0, len(m.servers)+1)
	add := func(a netip.AddrPort) {
		if a.IsValid() && !seen[a] {
			seen[a] = true
			m.nodes = append(m.nodes, a)
		}
	}
	add(self)
	for _, a := range m.servers {
		add(a)
	}
	slices.SortFunc(m.nodes, netip.AddrPort.Compare)
	for a := range m.failed {
		if !seen[a] {
			delete(m.failed, a)
		}
	}
	m.stale = false
	m.changes++
	m.computedAt = now
	return m.nodes
}

// version returns the number of the list of nodes.
func (m *members) version(now time.Time, self netip.AddrPort) uint64 {
	m.list(now, self)
	return m.changes
}

// observeCount records the number of nodes that another node states.
func (m *members) observeCount(now time.Time, nodes uint32) {
	if nodes >= m.heard || now.Sub(m.heardAt) > heardRetention {
		m.heard, m.heardAt = nodes, now
	}
}

// count returns how many nodes there are, as far as is known.
func (m *members) count(now time.Time, self netip.AddrPort) int {
	n := len(m.list(now, self))
	if now.Sub(m.heardAt) <= heardRetention {
		n = max(n, int(m.heard))
	}
	return n
}

// settled reports whether the list of nodes is likely complete.
func (m *members) settled(now time.Time) bool {
	if m.started.IsZero() {
		return false
	}
	return now.Sub(m.started) >= startPeriod || now.Sub(m.grown) >= settleTime
}

// candidates returns the first nodes of a shard in the order in which they own it.
func (m *members) candidates(now time.Time, self netip.AddrPort, k shardKey) []netip.AddrPort {
	type weighted struct {
		address netip.AddrPort
		weight  uint64
	}
	best := make([]weighted, 0, maxFailures+1)
	var key []byte
	for _, a := range m.list(now, self) {
		key = binary.BigEndian.AppendUint16(key[:0], k.Shards)
		key = binary.BigEndian.AppendUint16(key, k.Shard)
		key, _ = a.AppendBinary(key)
		w := weighted{a, xxhash.Sum64(key)}
		i, _ := slices.BinarySearchFunc(best, w, func(x, y weighted) int { return cmp.Compare(y.weight, x.weight) })
		if i == maxFailures {
			continue
		}
		best = slices.Insert(best, i, w)
		best = best[:min(len(best), maxFailures)]
	}
	out := make([]netip.AddrPort, len(best))
	for i, w := range best {
		out[i] = w.address
	}
	return out
}
