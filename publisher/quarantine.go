package publisher

import (
	"maps"
	"slices"

	"waxwingseam.example/waxwingseam"
)

// QuarantineReport lists the requests that a watching node refuses.
type QuarantineReport struct {
	Requests []waxwingseam.QuarantinedRequest `cbor:"1,keyasint,omitempty"`
}

// Quarantined implements Publisher.
func (p *publisher) Quarantined() []waxwingseam.QuarantinedRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	byDigest := map[waxwingseam.RequestDigest]waxwingseam.QuarantinedRequest{}
	for s := range p.sessions {
		for _, r := range s.quarantined {
			if known, ok := byDigest[r.Digest]; !ok || known.Ends < r.Ends {
				byDigest[r.Digest] = r
			}
		}
	}
	return slices.SortedFunc(maps.Values(byDigest), func(a, b waxwingseam.QuarantinedRequest) int {
		return slices.Compare(a.Digest[:], b.Digest[:])
	})
}

// OrderQuarantine implements Publisher.
func (p *publisher) OrderQuarantine(o waxwingseam.QuarantineOrder) (nodes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.sessions {
		if !s.peer {
			s.orders = append(s.orders, o)
			s.wake()
			nodes++
		}
	}
	return nodes
}
