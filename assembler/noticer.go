package assembler

import (
	"net/netip"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/subscriber"
)

// revisionObserver passes the revisions in other nodes' replies to the
// subscriber, so that a node that cannot reach control still obtains new ones.
type revisionObserver struct {
	subscriber subscriber.Subscriber
	revision   waxwingseam.Revision
	// nodes holds, for each open call, the node that its last attempt was sent to.
	nodes map[waxwingseam.CallID]netip.AddrPort
}

func newRevisionObserver() *revisionObserver {
	return &revisionObserver{nodes: map[waxwingseam.CallID]netip.AddrPort{}}
}

// Observe implements runner.Observer.
func (o *revisionObserver) Observe(e waxwingseam.Event, effects []waxwingseam.Effect) {
	switch v := e.(type) {
	case waxwingseam.SetAdopted:
		o.revision = max(o.revision, v.Set.Revision)
	case waxwingseam.AttemptEnded:
		o.observeResult(v)
	}
	for _, x := range effects {
		switch v := x.(type) {
		case waxwingseam.Dispatch:
			o.nodes[v.Call.ID] = v.Server.Node
		case waxwingseam.Reply:
			delete(o.nodes, v.ID)
		}
	}
}

func (o *revisionObserver) observeResult(e waxwingseam.AttemptEnded) {
	revision := e.Result.Load.Revision
	if revision <= o.revision {
		return
	}
	if node, ok := o.nodes[e.ID]; ok {
		o.subscriber.NoteRevision(revision, node)
	}
}
