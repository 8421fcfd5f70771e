package quarantiner

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingseam.example/waxwingseam"
)

const (
	// shareDelay is how long clearings are collected before they are sent.
	shareDelay = 20 * time.Millisecond
	// compareInterval is the time between two comparisons with other nodes, while any
	// ends are known. It makes up for lost messages, and informs nodes that were cut off.
	compareInterval = time.Second
	// introducers is how many nodes send all that they know to a new node.
	introducers = 2
)

// send sends a message to other nodes.
func (q *quarantiner) send(c *waxwingseam.Context, to []netip.AddrPort, m waxwingseam.EndsMessage) {
	if len(to) == 0 {
		return
	}
	m.From = c.Self.Node
	c.Emit(waxwingseam.SendEnds{To: to, Message: m})
}

// nodes returns the addresses of all other known nodes, ordered by name.
func (q *quarantiner) nodes(c *waxwingseam.Context) []netip.AddrPort {
	var out []netip.AddrPort
	for _, s := range q.sortedServers() {
		if s.Name != c.Self.Name && s.Node != c.Self.Node && s.Node.IsValid() {
			out = append(out, s.Node)
		}
	}
	return out
}

func (q *quarantiner) sortedServers() []waxwingseam.Server {
	out := make([]waxwingseam.Server, 0, len(q.servers))
	for _, s := range q.servers {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b waxwingseam.Server) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return out
}

// serversUpdated keeps the list of nodes, and tells new ones what this node knows.
func (q *quarantiner) serversUpdated(c *waxwingseam.Context, e waxwingseam.ServersUpdated) {
	for _, name := range e.Gone {
		delete(q.servers, name)
	}
	var unknown []waxwingseam.Server
	for _, s := range e.Servers {
		if known, ok := q.servers[s.Name]; !ok || known.Incarnation < s.Incarnation {
			unknown = append(unknown, s)
		}
		q.servers[s.Name] = s
	}
	if len(q.table.ends) == 0 {
		return
	}
	var to []netip.AddrPort
	for _, s := range unknown {
		if s.Name != c.Self.Name && s.Node.IsValid() && q.introduces(c, s.Name) {
			to = append(to, s.Node)
		}
	}
	q.send(c, to, waxwingseam.EndsMessage{Ends: q.table.reports(c.Now)})
}

// introduces reports whether this node is one of those that inform a new node.
func (q *quarantiner) introduces(c *waxwingseam.Context, newcomer waxwingseam.ServerName) bool {
	own := rendezvous(string(newcomer), c.Self.Name)
	smaller := 0
	for name := range q.servers {
		if name != c.Self.Name && name != newcomer && rendezvous(string(newcomer), name) < own {
			smaller++
		}
	}
	return smaller < introducers
}

// rendezvous returns the place of a server in the order of a key. The order is the same on
// all nodes.
func rendezvous(key string, name waxwingseam.ServerName) uint64 {
	b := binary.AppendUvarint(nil, uint64(len(key)))
	b = append(b, key...)
	return xxhash.Sum64(append(b, name...))
}

// add adds an end, and clears the requests that have run well here recently.
func (q *quarantiner) add(c *waxwingseam.Context, v waxwingseam.ServerEnd) (cleared []waxwingseam.EndedRequest) {
	q.table.merge(c.Now, v)
	e := q.table.ends[v.ID]
	for _, r := range v.Requests {
		done, ok := e.cleared[r.Fingerprint.Digest]
		if ok && !done && r.Fingerprint.Quick != 0 && q.history.has(c.Now, r.Fingerprint.Quick) {
			e.cleared[r.Fingerprint.Digest] = true
			r.Cleared = true
			cleared = append(cleared, r)
		}
	}
	if v.ID.Server == c.Self.Name {
		q.markDirty(c, v.ID, cleared)
	}
	q.bound()
	if !q.comparing {
		q.comparing = true
		arm(c, TimerCompare, compareInterval)
	}
	return cleared
}

// clear clears a request that has run well from all ends.
func (q *quarantiner) clear(c *waxwingseam.Context, quick uint64) {
	if quick == 0 {
		return
	}
	for _, s := range q.table.byQuick[quick] {
		q.clearSuspect(c, s)
	}
}

// clearSuspect clears a request from all ends.
func (q *quarantiner) clearSuspect(c *waxwingseam.Context, s *suspect) {
	open := s.open()
	for _, e := range open {
		e.cleared[s.fingerprint.Digest] = true
		q.markDirty(c, e.id, []waxwingseam.EndedRequest{{Fingerprint: s.fingerprint, Cleared: true}})
	}
	if len(open) > 0 {
		q.judge(c)
	}
}

// markDirty schedules the sending of clearings to all nodes.
func (q *quarantiner) markDirty(c *waxwingseam.Context, id waxwingseam.ServerEndID, cleared []waxwingseam.EndedRequest) {
	if len(cleared) == 0 {
		return
	}
	if len(q.dirty) == 0 {
		arm(c, TimerShare, shareDelay)
	}
	q.dirty[id] = append(q.dirty[id], cleared...)
}

// shareCleared sends the clearings that were collected.
func (q *quarantiner) shareCleared(c *waxwingseam.Context) {
	var ends []waxwingseam.ServerEnd
	for _, e := range q.table.sorted() {
		if requests := q.dirty[e.id]; len(requests) > 0 {
			ends = append(ends, partOf(c.Now, e, requests))
		}
	}
	clear(q.dirty)
	if len(ends) > 0 {
		q.send(c, q.nodes(c), waxwingseam.EndsMessage{Ends: ends})
	}
}

// partOf returns an end with some of its requests.
func partOf(now time.Time, e *end, requests []waxwingseam.EndedRequest) waxwingseam.ServerEnd {
	return waxwingseam.ServerEnd{
		ID:       e.id,
		Service:  e.service,
		Age:      max(now.Sub(e.at), 0),
		Proven:   e.proven,
		Ordered:  e.ordered,
		Requests: requests,
	}
}

// endsReceived merges what another node knows. Clearings of requests that have run well
// here go back to the sender, which passes on those of its own ends.
func (q *quarantiner) endsReceived(c *waxwingseam.Context, m waxwingseam.EndsMessage) {
	var answer []waxwingseam.ServerEnd
	for _, v := range m.Ends {
		before := q.clearedAt(v.ID)
		if cleared := q.add(c, v); len(cleared) > 0 {
			part := v
			part.Requests = cleared
			answer = append(answer, part)
		}
		if v.ID.Server == c.Self.Name {
			q.markDirty(c, v.ID, newlyCleared(before, v.Requests))
		}
	}
	if len(answer) > 0 && m.From.IsValid() {
		q.send(c, []netip.AddrPort{m.From}, waxwingseam.EndsMessage{Ends: answer})
	}
	if m.Digest != 0 && m.From.IsValid() {
		q.answerComparison(c, m)
	}
	if len(m.Ends) > 0 {
		q.judge(c)
	}
}

// clearedAt returns the requests that are cleared from an end.
func (q *quarantiner) clearedAt(id waxwingseam.ServerEndID) map[waxwingseam.RequestDigest]bool {
	out := map[waxwingseam.RequestDigest]bool{}
	if e, ok := q.table.ends[id]; ok {
		for digest, cleared := range e.cleared {
			if cleared {
				out[digest] = true
			}
		}
	}
	return out
}

func newlyCleared(before map[waxwingseam.RequestDigest]bool, requests []waxwingseam.EndedRequest) []waxwingseam.EndedRequest {
	var out []waxwingseam.EndedRequest
	for _, r := range requests {
		if r.Cleared && !before[r.Fingerprint.Digest] {
			out = append(out, r)
		}
	}
	return out
}

// compare begins a comparison with a random node.
func (q *quarantiner) compare(c *waxwingseam.Context) {
	q.expire(c)
	q.judge(c)
	q.comparing = len(q.table.ends) > 0
	if !q.comparing {
		return
	}
	arm(c, TimerCompare, compareInterval)
	nodes := q.nodes(c)
	if len(nodes) == 0 {
		return
	}
	to := nodes[c.Random().IntN(len(nodes))]
	q.send(c, []netip.AddrPort{to}, waxwingseam.EndsMessage{Digest: q.table.digest()})
}

// answerComparison sends what this node knows to a node that knows something else.
func (q *quarantiner) answerComparison(c *waxwingseam.Context, m waxwingseam.EndsMessage) {
	own := q.table.digest()
	if own == m.Digest {
		return
	}
	answer := waxwingseam.EndsMessage{Ends: q.table.reports(c.Now)}
	if !m.Reply {
		answer.Digest = max(own, 1)
		answer.Reply = true
	}
	q.send(c, []netip.AddrPort{m.From}, answer)
}
