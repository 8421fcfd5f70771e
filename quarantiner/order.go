package quarantiner

import "waxwingseam.example/waxwingseam"

// operatorName stands for the server in the ends that operators' orders add.
const operatorName = "(operator)"

// ordered carries out an operator's order. An order to refuse a request that was at no end
// is ignored: nothing is known by which the request could be recognized.
func (q *quarantiner) ordered(c *waxwingseam.Context, o waxwingseam.QuarantineOrder) {
	s, ok := q.table.suspects[o.Digest]
	if !ok {
		return
	}
	if o.Lift {
		q.clearSuspect(c, s)
		return
	}
	if _, ok := q.verdicts[o.Digest]; ok {
		return
	}
	end := waxwingseam.ServerEnd{
		ID:       waxwingseam.ServerEndID{Server: operatorName, Incarnation: c.Self.Incarnation, Number: uint64(c.Now.UnixNano())},
		Service:  c.Self.Service,
		Ordered:  true,
		Requests: []waxwingseam.EndedRequest{{Fingerprint: s.fingerprint}},
	}
	q.table.merge(c.Now, end)
	q.send(c, q.nodes(c), waxwingseam.EndsMessage{Ends: []waxwingseam.ServerEnd{end}})
	q.judge(c)
}
