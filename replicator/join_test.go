package replicator

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// TestPendingMemberIsNotConfirmed guards against a repeated join request that is answered
// while the change that the first one caused is not committed, and may still be dropped.
func TestPendingMemberIsNotConfirmed(t *testing.T) {
	c := newSteadyCluster(t, noFlaw)
	join := waxwingseam.MembershipChange{Kind: waxwingseam.ChangeAddLearner, Member: c.newMember("d")}
	first := c.proposeChange(c.leader(), join)
	second := c.proposeChange(c.leader(), join)
	qt.Assert(t, c.refused[second], qt.Equals, waxwingseam.ReasonChangePending)
	c.deliverAll()
	third := c.proposeChange(c.leader(), join)
	for _, id := range []waxwingseam.RequestID{first, third} {
		_, accepted := c.accepted[id]
		qt.Assert(t, accepted, qt.IsTrue)
	}
}
