package quarantiner

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingseam.example/waxwingseam"
)

// maxEnds bounds the ends that are kept. Ends that no quarantine is based on are removed
// first, the oldest before the others.
const maxEnds = 128

// table holds the ends of backend servers that this node knows of, whoever noticed them.
// Nodes that have exchanged all they know hold equal tables: ends are only added, requests
// of an end only added or cleared.
type table struct {
	ends     map[waxwingseam.ServerEndID]*end
	suspects map[waxwingseam.RequestDigest]*suspect
	// byQuick lists the suspects by their fast hashes.
	byQuick map[uint64][]*suspect
}

// end is one end of a backend server.
type end struct {
	id      waxwingseam.ServerEndID
	service waxwingseam.ServiceName
	at      time.Time
	proven  bool
	ordered bool
	// cleared holds the requests that were running, and whether they are cleared.
	cleared map[waxwingseam.RequestDigest]bool
}

// suspect is a request that was running at an end.
type suspect struct {
	fingerprint waxwingseam.Fingerprint
	ends        []*end
}

func newTable() table {
	return table{
		ends:     map[waxwingseam.ServerEndID]*end{},
		suspects: map[waxwingseam.RequestDigest]*suspect{},
		byQuick:  map[uint64][]*suspect{},
	}
}

// open returns the ends at which the request was running, without those from which it is
// cleared.
func (s *suspect) open() []*end {
	var out []*end
	for _, e := range s.ends {
		if !e.cleared[s.fingerprint.Digest] {
			out = append(out, e)
		}
	}
	return out
}

// merge adds an end and the requests and clearings that it did not have.
func (t *table) merge(now time.Time, v waxwingseam.ServerEnd) {
	e, ok := t.ends[v.ID]
	if !ok {
		e = &end{
			id:      v.ID,
			service: v.Service,
			at:      now.Add(-max(v.Age, 0)),
			proven:  v.Proven,
			ordered: v.Ordered,
			cleared: map[waxwingseam.RequestDigest]bool{},
		}
		t.ends[v.ID] = e
	}
	for _, r := range v.Requests {
		t.mergeRequest(e, r)
	}
}

func (t *table) mergeRequest(e *end, r waxwingseam.EndedRequest) {
	digest := r.Fingerprint.Digest
	if digest.IsZero() {
		return
	}
	cleared, ok := e.cleared[digest]
	if !ok && len(e.cleared) >= maxRequests {
		return
	}
	e.cleared[digest] = cleared || r.Cleared
	if ok {
		return
	}
	s, ok := t.suspects[digest]
	if !ok {
		s = &suspect{fingerprint: r.Fingerprint}
		t.suspects[digest] = s
		if quick := r.Fingerprint.Quick; quick != 0 {
			t.byQuick[quick] = append(t.byQuick[quick], s)
		}
	}
	s.ends = append(s.ends, e)
}

// remove removes an end.
func (t *table) remove(e *end) {
	delete(t.ends, e.id)
	for digest := range e.cleared {
		s := t.suspects[digest]
		s.ends = slices.DeleteFunc(s.ends, func(o *end) bool { return o == e })
		if len(s.ends) == 0 {
			t.removeSuspect(s)
		}
	}
}

func (t *table) removeSuspect(s *suspect) {
	delete(t.suspects, s.fingerprint.Digest)
	quick := s.fingerprint.Quick
	t.byQuick[quick] = slices.DeleteFunc(t.byQuick[quick], func(o *suspect) bool { return o == s })
	if len(t.byQuick[quick]) == 0 {
		delete(t.byQuick, quick)
	}
}

// sorted returns the ends, the oldest first.
func (t *table) sorted() []*end {
	return slices.SortedFunc(maps.Values(t.ends), func(a, b *end) int {
		return cmp.Or(a.at.Compare(b.at), compareIDs(a.id, b.id))
	})
}

func compareIDs(a, b waxwingseam.ServerEndID) int {
	return cmp.Or(
		strings.Compare(string(a.Server), string(b.Server)),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Number, b.Number),
	)
}

// report returns an end as it is sent to other nodes.
func (t *table) report(now time.Time, e *end) waxwingseam.ServerEnd {
	out := waxwingseam.ServerEnd{
		ID:       e.id,
		Service:  e.service,
		Age:      max(now.Sub(e.at), 0),
		Proven:   e.proven,
		Ordered:  e.ordered,
		Requests: make([]waxwingseam.EndedRequest, 0, len(e.cleared)),
	}
	for digest, cleared := range e.cleared {
		out.Requests = append(out.Requests, waxwingseam.EndedRequest{
			Fingerprint: t.suspects[digest].fingerprint,
			Cleared:     cleared,
		})
	}
	slices.SortFunc(out.Requests, func(a, b waxwingseam.EndedRequest) int {
		return slices.Compare(a.Fingerprint.Digest[:], b.Fingerprint.Digest[:])
	})
	return out
}

// reports returns all ends as they are sent to other nodes.
func (t *table) reports(now time.Time) []waxwingseam.ServerEnd {
	out := make([]waxwingseam.ServerEnd, 0, len(t.ends))
	for _, e := range t.sorted() {
		out = append(out, t.report(now, e))
	}
	return out
}

// digest returns a digest of the table, which does not depend on any order; 0 if it is
// empty.
func (t *table) digest() uint64 {
	var sum uint64
	var row []byte
	for _, e := range t.ends {
		for digest, cleared := range e.cleared {
			row = append(row[:0], e.id.Server...)
			row = binary.BigEndian.AppendUint64(row, uint64(e.id.Incarnation))
			row = binary.BigEndian.AppendUint64(row, e.id.Number)
			row = append(row, digest[:]...)
			if cleared {
				row = append(row, 1)
			}
			sum += xxhash.Sum64(row)
		}
	}
	return sum
}
