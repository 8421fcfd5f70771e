package replicator

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// steady returns a cluster of three voters whose first site leads.
func steady(t *testing.T, f flaw) *cluster {
	t.Helper()
	c := newCluster(3, rand.New(rand.NewPCG(1, 1)).IntN, f)
	qt.Assert(t, c.leader(), qt.Equals, c.sites[0])
	qt.Assert(t, c.members().Voters(), qt.Equals, 3)
	return c
}

// members returns the membership as the leader has it.
func (c *cluster) members() waxwingseam.Membership {
	return c.leader().members()
}

// members returns the membership in force at a site.
func (s *site) members() waxwingseam.Membership {
	return s.replica.(*replicator).members.latest()
}

// accept proposes n commands at the leader and waits for them.
func (c *cluster) accept(t *testing.T, n int) {
	t.Helper()
	for range n {
		id := c.propose(c.leader())
		c.settle()
		qt.Assert(t, c.accepted[id], qt.Not(qt.Equals), waxwingseam.LogIndex(0))
	}
}

// check asserts that no rule was broken.
func (c *cluster) check(t *testing.T) {
	t.Helper()
	qt.Assert(t, c.violation, qt.IsNil)
}

func TestLeaderCutOffInSilence(t *testing.T) {
	c := steady(t, noFlaw)
	old, near, far := c.sites[0], c.sites[1], c.sites[2]
	c.accept(t, 3)
	half := c.propose(old)
	c.cut(far)
	c.settle()
	c.heal()
	c.cut(old)
	unsent := c.propose(old)
	read := c.read(old)
	c.run(c.election + 1)
	qt.Assert(t, old.replica.Status().Role, qt.Equals, waxwingseam.RoleFollower)
	qt.Assert(t, c.refused[unsent], qt.Equals, waxwingseam.ReasonOutcomeUnknown)
	qt.Assert(t, c.refused[read], qt.Equals, waxwingseam.ReasonNotLeader)
	qt.Assert(t, c.accepted[half], qt.Not(qt.Equals), waxwingseam.LogIndex(0))
	c.run(4 * c.election)
	qt.Assert(t, c.leader(), qt.Not(qt.Equals), old)
	c.accept(t, 3)
	qt.Assert(t, c.refused[c.read(old)], qt.Equals, waxwingseam.ReasonNoQuorum)
	qt.Assert(t, c.refused[c.read(near)] == waxwingseam.ReasonNotLeader, qt.Equals, c.leader() != near)
	qt.Assert(t, recovered(c), qt.IsTrue)
	qt.Assert(t, c.accepted[unsent], qt.Equals, waxwingseam.LogIndex(0))
	c.check(t)
}

// loseAfterRepair empties the last site's disk and, once it has caught up or
// at once, loses the leader for good. It reports whether all that was accepted
// is still there.
func loseAfterRepair(t *testing.T, f flaw, caughtUp bool) (*cluster, bool) {
	t.Helper()
	c := steady(t, f)
	c.cut(c.sites[1])
	c.accept(t, 5)
	accepted := waxwingseam.LogIndex(len(c.committed))
	emptied := c.sites[2]
	c.empty(emptied)
	c.run(2 * c.election)
	if caughtUp {
		c.heal()
		c.run(4 * c.election)
		c.change(c.leader(), waxwingseam.MembershipChange{Kind: waxwingseam.ChangeAddLearner, Member: emptied.member})
		c.run(8 * c.election)
	}
	c.sites[0].down = true
	c.heal()
	c.run(20 * c.election)
	leader := c.leader()
	return c, leader != nil && leader.replica.Status().Commit >= accepted
}

func TestSecondHostLostAfterRepair(t *testing.T) {
	c, kept := loseAfterRepair(t, noFlaw, true)
	qt.Assert(t, kept, qt.IsTrue)
	c.accept(t, 1)
	c.check(t)
}

func TestEmptiedDiskDoesNotVote(t *testing.T) {
	c, _ := loseAfterRepair(t, noFlaw, false)
	qt.Assert(t, c.leader(), qt.IsNil)
	c.check(t)
}

// TestEmptiedDiskUnderOldIdentityLosesEntries is why votes belong to a storage:
// where the emptied disk keeps its identity, accepted entries are lost.
func TestEmptiedDiskUnderOldIdentityLosesEntries(t *testing.T) {
	c, kept := loseAfterRepair(t, keepsIdentity, false)
	qt.Assert(t, kept, qt.IsFalse)
	qt.Assert(t, c.leader(), qt.IsNotNil)
}

func TestAllReplicasRestartTogether(t *testing.T) {
	for _, n := range []int{0, 500, 10_000} {
		c := steady(t, noFlaw)
		c.accept(t, n)
		for _, s := range c.sites {
			c.crash(s)
		}
		for _, s := range c.sites {
			c.start(s)
			qt.Assert(t, int(s.replica.Status().Last-s.replica.Status().Snapshot) <= 13, qt.IsTrue)
		}
		qt.Assert(t, recovered(c), qt.IsTrue)
		c.accept(t, 1)
		c.check(t)
	}
}

func TestMembershipChangeDuringPartition(t *testing.T) {
	c := steady(t, noFlaw)
	old := c.sites[0]
	c.cut(old)
	remove := waxwingseam.MembershipChange{Kind: waxwingseam.ChangeRemove, Member: c.sites[1].member}
	lost := c.change(old, remove)
	c.run(6 * c.election)
	qt.Assert(t, old.replica.Status().Settled, qt.IsFalse)
	qt.Assert(t, c.refused[lost], qt.Equals, waxwingseam.ReasonOutcomeUnknown)
	c.accept(t, 1)
	c.heal()
	c.run(2 * c.election)
	qt.Assert(t, sameMembers(old.members(), c.members()), qt.IsTrue)
	qt.Assert(t, old.replica.Status().Settled, qt.IsTrue)
	c.cut(old)
	joining := &site{member: c.format("d")}
	c.sites = append(c.sites, joining)
	c.start(joining)
	c.change(c.leader(), waxwingseam.MembershipChange{Kind: waxwingseam.ChangeAddLearner, Member: joining.member})
	c.run(4 * c.election)
	c.accept(t, 2)
	qt.Assert(t, recovered(c), qt.IsTrue)
	qt.Assert(t, c.members().Voters(), qt.Equals, 4)
	qt.Assert(t, c.members().IsVoter(c.sites[1].member.Storage), qt.IsTrue)
	c.check(t)
}

func TestMembershipChangesRefused(t *testing.T) {
	c := steady(t, noFlaw)
	leader, other := c.sites[0], c.sites[1]
	impostor := c.format(other.member.Replica)
	behind := c.format("d")
	behind.Candidate = false
	c.change(leader, waxwingseam.MembershipChange{Kind: waxwingseam.ChangeAddLearner, Member: behind})
	c.settle()
	for _, v := range []struct {
		name   string
		at     *site
		change waxwingseam.MembershipChange
		want   waxwingseam.ReplicaReason
	}{
		{"live name", leader, waxwingseam.MembershipChange{Kind: waxwingseam.ChangeAddLearner, Member: impostor}, waxwingseam.ReasonReplicaInUse},
		{"learner behind", leader, waxwingseam.MembershipChange{Kind: waxwingseam.ChangePromote, Member: behind}, waxwingseam.ReasonLearnerBehind},
		{"unknown learner", leader, waxwingseam.MembershipChange{Kind: waxwingseam.ChangePromote, Member: impostor}, waxwingseam.ReasonBadChange},
		{"no name", leader, waxwingseam.MembershipChange{Kind: waxwingseam.ChangeAddLearner}, waxwingseam.ReasonBadChange},
		{"unknown kind", leader, waxwingseam.MembershipChange{Kind: "swap"}, waxwingseam.ReasonBadChange},
		{"at a follower", other, waxwingseam.MembershipChange{Kind: waxwingseam.ChangeRemove, Member: behind}, waxwingseam.ReasonNotLeader},
	} {
		t.Run(v.name, func(t *testing.T) {
			qt.Assert(t, c.refused[c.change(v.at, v.change)], qt.Equals, v.want)
		})
	}
	first := c.change(leader, waxwingseam.MembershipChange{Kind: waxwingseam.ChangeRemove, Member: behind})
	second := c.change(leader, waxwingseam.MembershipChange{Kind: waxwingseam.ChangeRemove, Member: other.member})
	qt.Assert(t, c.refused[second], qt.Equals, waxwingseam.ReasonChangePending)
	c.settle()
	qt.Assert(t, c.accepted[first], qt.Not(qt.Equals), waxwingseam.LogIndex(0))
}

// TestRemovalThatRisksTheQuorum removes one voter while another's disk is lost.
func TestRemovalThatRisksTheQuorum(t *testing.T) {
	c := steady(t, noFlaw)
	c.empty(c.sites[2])
	c.run(c.election + 1)
	id := c.change(c.leader(), waxwingseam.MembershipChange{Kind: waxwingseam.ChangeRemove, Member: c.sites[1].member})
	qt.Assert(t, c.refused[id], qt.Equals, waxwingseam.ReasonQuorumAtRisk)
	c.accept(t, 1)
	c.check(t)
}

func TestRemovedLeaderStepsDown(t *testing.T) {
	c := steady(t, noFlaw)
	old := c.sites[0]
	c.change(old, waxwingseam.MembershipChange{Kind: waxwingseam.ChangeRemove, Member: old.member})
	c.run(6 * c.election)
	qt.Assert(t, old.replica.Status().Role, qt.Equals, waxwingseam.RoleFollower)
	qt.Assert(t, c.members().Voters(), qt.Equals, 2)
	c.accept(t, 1)
	c.check(t)
}

// TestLeaderCutOffWhileItRemovesItself has the removal at the leader alone,
// whose log no other can then outdo.
// A restart makes it forget what is committed.
func TestLeaderCutOffWhileItRemovesItself(t *testing.T) {
	for _, restart := range []bool{false, true} {
		c := steady(t, noFlaw)
		leader, left, gone := c.sites[0], c.sites[1], c.sites[2]
		c.change(leader, waxwingseam.MembershipChange{Kind: waxwingseam.ChangeRemove, Member: gone.member})
		c.run(1)
		c.cut(left)
		c.change(leader, waxwingseam.MembershipChange{Kind: waxwingseam.ChangeRemove, Member: leader.member})
		c.run(2 * c.election)
		if restart {
			c.crash(leader)
			c.start(leader)
		}
		c.heal()
		c.run(10 * c.election)
		qt.Assert(t, c.leader(), qt.Equals, left)
		qt.Assert(t, c.members().Members, qt.HasLen, 1)
		c.accept(t, 1)
		c.check(t)
	}
}

func TestLaggingReplicaTakesSnapshot(t *testing.T) {
	c := steady(t, noFlaw)
	c.cut(c.sites[2])
	c.accept(t, 60)
	qt.Assert(t, recovered(c), qt.IsTrue)
	qt.Assert(t, c.sites[2].disk.Snapshot.Index > 40, qt.IsTrue)
	c.accept(t, 1)
	c.check(t)
}

func TestHandoverNeedsNoTimeout(t *testing.T) {
	c := steady(t, noFlaw)
	c.accept(t, 1)
	early := c.propose(c.sites[0])
	c.reduce(c.sites[0], waxwingseam.HandoverAsked{Stamp: c.stamp()}, 0)
	late := c.propose(c.sites[0])
	c.settle()
	qt.Assert(t, c.leader(), qt.Not(qt.Equals), c.sites[0])
	qt.Assert(t, c.accepted[early], qt.Not(qt.Equals), waxwingseam.LogIndex(0))
	qt.Assert(t, c.refused[late], qt.Equals, waxwingseam.ReasonNotLeader)
	c.accept(t, 1)
	c.check(t)
}

// TestReturningReplicaLeavesTheLeaderAlone shows the pre-vote at work.
func TestReturningReplicaLeavesTheLeaderAlone(t *testing.T) {
	c := steady(t, noFlaw)
	term := c.leader().replica.Status().Term
	c.cut(c.sites[2])
	c.run(20 * c.election)
	c.heal()
	c.run(4 * c.election)
	qt.Assert(t, c.leader(), qt.Equals, c.sites[0])
	qt.Assert(t, c.leader().replica.Status().Term, qt.Equals, term)
}

// TestDeafReplicaLeavesTheLeaderAlone has a replica that hears no leader while
// the others hear it ask for votes, and then hears again.
func TestDeafReplicaLeavesTheLeaderAlone(t *testing.T) {
	c := steady(t, noFlaw)
	term := c.leader().replica.Status().Term
	deaf := c.sites[2].member.Storage
	c.lost = func(m waxwingseam.ReplicaMessage) bool { return m.To == deaf && m.AppendRequest != nil }
	c.run(20 * c.election)
	c.lost = nil
	c.run(4 * c.election)
	qt.Assert(t, c.leader(), qt.Equals, c.sites[0])
	qt.Assert(t, c.leader().replica.Status().Term, qt.Equals, term)
	c.check(t)
}

// TestClockJumpsChangeNothing reduces the same ticks under clocks that jump.
func TestClockJumpsChangeNothing(t *testing.T) {
	c := steady(t, noFlaw)
	for i, jump := range []time.Duration{time.Hour, -24 * time.Hour, 0, 100 * 365 * 24 * time.Hour} {
		stamp := waxwingseam.Stamp{Now: time.Unix(1e9, 0).Add(jump), Random: uint64(i)}
		for _, s := range c.sites {
			c.reduce(s, waxwingseam.ReplicaTicked{Stamp: stamp}, 0)
		}
		c.settle()
	}
	qt.Assert(t, c.leader(), qt.Equals, c.sites[0])
	c.accept(t, 1)
	c.check(t)
}

// TestFailoverTime counts the ticks from a leader's loss to the next accepted
// command.
func TestFailoverTime(t *testing.T) {
	const target = 3 * time.Second
	const tick = 50 * time.Millisecond
	for seed := range uint64(100) {
		c := foundCluster(3, rand.New(rand.NewPCG(seed, 2)).IntN, noFlaw, DefaultElectionTicks)
		c.crash(c.leader())
		ticks := 0
		for c.leader() == nil && ticks < 1000 {
			c.run(1)
			ticks++
		}
		c.accept(t, 1)
		qt.Assert(t, time.Duration(ticks)*tick <= target, qt.IsTrue, qt.Commentf("seed %d: %d ticks", seed, ticks))
		c.check(t)
	}
}

// TestForgetfulFollowerIsNotFlooded has a follower that lacks what it accepted.
func TestForgetfulFollowerIsNotFlooded(t *testing.T) {
	c := steady(t, keepsIdentity)
	c.accept(t, 3)
	c.empty(c.sites[2])
	for range 2 * c.election {
		c.tick()
		qt.Assert(t, c.settle() <= 12, qt.IsTrue)
	}
}

// TestLearnersAreHeardFromHalfAsOften counts the appends of an idle leader.
func TestLearnersAreHeardFromHalfAsOften(t *testing.T) {
	c := steady(t, noFlaw)
	learner := &site{member: c.format("d")}
	learner.member.Candidate = false
	c.sites = append(c.sites, learner)
	c.start(learner)
	c.change(c.leader(), waxwingseam.MembershipChange{Kind: waxwingseam.ChangeAddLearner, Member: learner.member})
	c.run(c.election)
	appends := map[waxwingseam.StorageID]int{}
	for range 8 {
		c.tick()
		for _, m := range c.wire {
			appends[m.To]++
		}
		c.settle()
	}
	qt.Assert(t, appends[c.sites[1].member.Storage], qt.Equals, 8)
	qt.Assert(t, appends[learner.member.Storage], qt.Equals, 4)
}
