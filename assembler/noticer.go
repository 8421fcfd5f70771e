package assembler

import (
	"net/netip"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/subscriber"
)

// noticer tells the subscriber of revisions that other nodes' replies carry,
// so that a node without control learns from them.
type noticer struct {
	subscriber subscriber.Subscriber
	revision   waxwingseam.Revision
	// nodes are the addresses that open calls went to last.
	nodes map[waxwingseam.CallID]netip.AddrPort
}

func newNoticer() *noticer {
	return &noticer{nodes: map[waxwingseam.CallID]netip.AddrPort{}}
}

// Observe implements runner.Observer.
func (n *noticer) Observe(e waxwingseam.Event, effects []waxwingseam.Effect) {
	switch v := e.(type) {
	case waxwingseam.SetAdopted:
		n.revision = max(n.revision, v.Set.Revision)
	case waxwingseam.AttemptEnded:
		n.notice(v)
	}
	for _, x := range effects {
		switch v := x.(type) {
		case waxwingseam.Dispatch:
			n.nodes[v.Call.ID] = v.Server.Node
		case waxwingseam.Reply:
			delete(n.nodes, v.ID)
		}
	}
}

func (n *noticer) notice(e waxwingseam.AttemptEnded) {
	revision := e.Result.Load.Revision
	if revision <= n.revision {
		return
	}
	if node, ok := n.nodes[e.ID]; ok {
		n.subscriber.NoteRevision(revision, node)
	}
}
