package assembler

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/subscriber"
)

// noticed is a subscriber that keeps what it is told.
type noticed struct {
	subscriber.Subscriber
	revision waxwingseam.Revision
	node     netip.AddrPort
}

func (s *noticed) NoteRevision(r waxwingseam.Revision, node netip.AddrPort) {
	s.revision, s.node = r, node
}

func TestNoticerReportsHigherRevisionsOfReplies(t *testing.T) {
	told := &noticed{}
	n := newNoticer()
	n.subscriber = told
	node := netip.MustParseAddrPort("127.0.0.1:7400")
	id := waxwingseam.NewCallID(1, 1)
	n.Observe(waxwingseam.SetAdopted{Set: &waxwingseam.Set{Revision: 5}}, nil)
	n.Observe(waxwingseam.CallArrived{ID: id}, []waxwingseam.Effect{
		waxwingseam.Dispatch{Call: waxwingseam.Call{ID: id}, Server: waxwingseam.Server{Node: node}},
	})
	ended := waxwingseam.AttemptEnded{ID: id}
	ended.Result.Load.Revision = 5
	n.Observe(ended, nil)
	qt.Assert(t, told.revision, qt.Equals, waxwingseam.Revision(0))
	ended.Result.Load.Revision = 6
	n.Observe(ended, []waxwingseam.Effect{waxwingseam.Reply{ID: id}})
	qt.Assert(t, told.revision, qt.Equals, waxwingseam.Revision(6))
	qt.Assert(t, told.node, qt.Equals, node)
	qt.Assert(t, n.nodes, qt.HasLen, 0)
}
