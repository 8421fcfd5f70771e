package assembler

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/subscriber"
)

// recordingSubscriber is a subscriber that stores the last reported revision and
// the node that has it.
type recordingSubscriber struct {
	subscriber.Subscriber
	revision waxwingseam.Revision
	node     netip.AddrPort
}

func (s *recordingSubscriber) NoteRevision(r waxwingseam.Revision, node netip.AddrPort) {
	s.revision, s.node = r, node
}

func TestHigherRevisionsInRepliesAreReported(t *testing.T) {
	recorder := &recordingSubscriber{}
	o := newRevisionObserver()
	o.subscriber = recorder
	node := netip.MustParseAddrPort("127.0.0.1:7400")
	id := waxwingseam.NewCallID(1, 1)
	o.Observe(waxwingseam.SetAdopted{Set: &waxwingseam.Set{Revision: 5}}, nil)
	o.Observe(waxwingseam.CallArrived{ID: id}, []waxwingseam.Effect{
		waxwingseam.Dispatch{Call: waxwingseam.Call{ID: id}, Server: waxwingseam.Server{Node: node}},
	})
	ended := waxwingseam.AttemptEnded{ID: id}
	ended.Result.Load.Revision = 5
	o.Observe(ended, nil)
	qt.Assert(t, recorder.revision, qt.Equals, waxwingseam.Revision(0))
	ended.Result.Load.Revision = 6
	o.Observe(ended, []waxwingseam.Effect{waxwingseam.Reply{ID: id}})
	qt.Assert(t, recorder.revision, qt.Equals, waxwingseam.Revision(6))
	qt.Assert(t, recorder.node, qt.Equals, node)
	qt.Assert(t, o.nodes, qt.HasLen, 0)
}
