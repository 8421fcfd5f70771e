package replicator

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// newSteadyCluster returns a cluster of three voters that is led by its first
// replica.
func newSteadyCluster(t *testing.T, f flaw) *cluster {
	t.Helper()
	c := newCluster(3, rand.New(rand.NewPCG(1, 1)).IntN, f)
	qt.Assert(t, c.leader(), qt.Equals, c.replicas[0])
	qt.Assert(t, c.membership().Voters(), qt.Equals, 3)
	return c
}

// membership returns the latest membership at the leader.
func (c *cluster) membership() waxwingseam.Membership {
	return c.leader().membership()
}

// membership returns the membership in force at a replica.
func (s *simReplica) membership() waxwingseam.Membership {
	return s.reducer.(*replicator).memberships.latest()
}

// mustAccept proposes n commands to the leader and asserts that each is
// accepted.
func (c *cluster) mustAccept(t *testing.T, n int) {
	t.Helper()
	for range n {
		id := c.propose(c.leader())
		c.deliverAll()
		qt.Assert(t, c.accepted[id], qt.Not(qt.Equals), waxwingseam.LogIndex(0))
	}
}

// assertNoViolation asserts that no check has failed.
func (c *cluster) assertNoViolation(t *testing.T) {
	t.Helper()
	qt.Assert(t, c.violation, qt.IsNil)
}

func TestPartitionedLeaderStepsDown(t *testing.T) {
	c := newSteadyCluster(t, noFlaw)
	old, follower, other := c.replicas[0], c.replicas[1], c.replicas[2]
	c.mustAccept(t, 3)
	partlySent := c.propose(old)
	c.isolate(other)
	c.deliverAll()
	c.heal()
	c.isolate(old)
	unsent := c.propose(old)
	read := c.read(old)
	c.run(c.electionTicks + 1)
	qt.Assert(t, old.reducer.Status().Role, qt.Equals, waxwingseam.RoleFollower)
	qt.Assert(t, c.refused[unsent], qt.Equals, waxwingseam.ReasonOutcomeUnknown)
	qt.Assert(t, c.refused[read], qt.Equals, waxwingseam.ReasonNotLeader)
	qt.Assert(t, c.accepted[partlySent], qt.Not(qt.Equals), waxwingseam.LogIndex(0))
	c.run(4 * c.electionTicks)
	qt.Assert(t, c.leader(), qt.Not(qt.Equals), old)
	c.mustAccept(t, 3)
	qt.Assert(t, c.refused[c.read(old)], qt.Equals, waxwingseam.ReasonNoQuorum)
	qt.Assert(t, c.refused[c.read(follower)] == waxwingseam.ReasonNotLeader, qt.Equals, c.leader() != follower)
	qt.Assert(t, healAndConverge(c), qt.IsTrue)
	qt.Assert(t, c.accepted[unsent], qt.Equals, waxwingseam.LogIndex(0))
	c.assertNoViolation(t)
}

// loseLeaderAfterDiskLoss replaces the disk of the last replica and then loses
// the leader permanently, after the replica has caught up if caughtUp is set.
// It reports whether all accepted entries are still committed.
func loseLeaderAfterDiskLoss(t *testing.T, f flaw, caughtUp bool) (*cluster, bool) {
	t.Helper()
	c := newSteadyCluster(t, f)
	c.isolate(c.replicas[1])
	c.mustAccept(t, 5)
	accepted := waxwingseam.LogIndex(len(c.committed))
	emptied := c.replicas[2]
	c.replaceDisk(emptied)
	c.run(2 * c.electionTicks)
	if caughtUp {
		c.heal()
		c.run(4 * c.electionTicks)
		c.proposeChange(c.leader(), waxwingseam.MembershipChange{Kind: waxwingseam.ChangeAddLearner, Member: emptied.member})
		c.run(8 * c.electionTicks)
	}
	c.replicas[0].stopped = true
	c.heal()
	c.run(20 * c.electionTicks)
	leader := c.leader()
	return c, leader != nil && leader.reducer.Status().Commit >= accepted
}

// TestLeaderLostAfterDiskReplacement checks that accepted entries survive the
// loss of the leader once a replica with a replaced disk has caught up.
func TestLeaderLostAfterDiskReplacement(t *testing.T) {
	c, kept := loseLeaderAfterDiskLoss(t, noFlaw, true)
	qt.Assert(t, kept, qt.IsTrue)
	c.mustAccept(t, 1)
	c.assertNoViolation(t)
}

func TestReplicaWithEmptiedDiskDoesNotVote(t *testing.T) {
	c, _ := loseLeaderAfterDiskLoss(t, noFlaw, false)
	qt.Assert(t, c.leader(), qt.IsNil)
	c.assertNoViolation(t)
}

// TestEmptiedDiskWithOldStorageIDLosesEntries shows why votes belong to a
// storage: accepted entries are lost if an emptied disk keeps its identity.
func TestEmptiedDiskWithOldStorageIDLosesEntries(t *testing.T) {
	c, kept := loseLeaderAfterDiskLoss(t, keepsIdentity, false)
	qt.Assert(t, kept, qt.IsFalse)
	qt.Assert(t, c.leader(), qt.IsNotNil)
}

func TestAllReplicasRestartTogether(t *testing.T) {
	for _, n := range []int{0, 500, 10_000} {
		c := newSteadyCluster(t, noFlaw)
		c.mustAccept(t, n)
		for _, s := range c.replicas {
			c.crash(s)
		}
		for _, s := range c.replicas {
			c.start(s)
			qt.Assert(t, int(s.reducer.Status().Last-s.reducer.Status().Snapshot) <= 13, qt.IsTrue)
		}
		qt.Assert(t, healAndConverge(c), qt.IsTrue)
		c.mustAccept(t, 1)
		c.assertNoViolation(t)
	}
}

// TestMembershipChangeDuringPartition checks that a membership change which a
// partitioned leader could not commit is dropped, and that a replica joins while
// the old leader is partitioned.
func TestMembershipChangeDuringPartition(t *testing.T) {
	c := newSteadyCluster(t, noFlaw)
	old := c.replicas[0]
	c.isolate(old)
	remove := waxwingseam.MembershipChange{Kind: waxwingseam.ChangeRemove, Member: c.replicas[1].member}
	uncommitted := c.proposeChange(old, remove)
	c.run(6 * c.electionTicks)
	qt.Assert(t, old.reducer.Status().Settled, qt.IsFalse)
	qt.Assert(t, c.refused[uncommitted], qt.Equals, waxwingseam.ReasonOutcomeUnknown)
	c.mustAccept(t, 1)
	c.heal()
	c.run(2 * c.electionTicks)
	qt.Assert(t, sameMembers(old.membership(), c.membership()), qt.IsTrue)
	qt.Assert(t, old.reducer.Status().Settled, qt.IsTrue)
	c.isolate(old)
	joining := &simReplica{member: c.newMember("d")}
	c.replicas = append(c.replicas, joining)
	c.start(joining)
	c.proposeChange(c.leader(), waxwingseam.MembershipChange{Kind: waxwingseam.ChangeAddLearner, Member: joining.member})
	c.run(4 * c.electionTicks)
	c.mustAccept(t, 2)
	qt.Assert(t, healAndConverge(c), qt.IsTrue)
	qt.Assert(t, c.membership().Voters(), qt.Equals, 4)
	qt.Assert(t, c.membership().IsVoter(c.replicas[1].member.Storage), qt.IsTrue)
	c.assertNoViolation(t)
}

func TestMembershipChangesRefused(t *testing.T) {
	c := newSteadyCluster(t, noFlaw)
	leader, other := c.replicas[0], c.replicas[1]
	impostor := c.newMember(other.member.Replica)
	behind := c.newMember("d")
	behind.Candidate = false
	c.proposeChange(leader, waxwingseam.MembershipChange{Kind: waxwingseam.ChangeAddLearner, Member: behind})
	c.deliverAll()
	for _, v := range []struct {
		name   string
		at     *simReplica
		change waxwingseam.MembershipChange
		want   waxwingseam.ReplicaReason
	}{
		{"name of a running replica", leader, waxwingseam.MembershipChange{Kind: waxwingseam.ChangeAddLearner, Member: impostor}, waxwingseam.ReasonReplicaInUse},
		{"learner behind", leader, waxwingseam.MembershipChange{Kind: waxwingseam.ChangePromote, Member: behind}, waxwingseam.ReasonLearnerBehind},
		{"unknown learner", leader, waxwingseam.MembershipChange{Kind: waxwingseam.ChangePromote, Member: impostor}, waxwingseam.ReasonBadChange},
		{"no name", leader, waxwingseam.MembershipChange{Kind: waxwingseam.ChangeAddLearner}, waxwingseam.ReasonBadChange},
		{"unknown kind", leader, waxwingseam.MembershipChange{Kind: "swap"}, waxwingseam.ReasonBadChange},
		{"proposed to a follower", other, waxwingseam.MembershipChange{Kind: waxwingseam.ChangeRemove, Member: behind}, waxwingseam.ReasonNotLeader},
	} {
		t.Run(v.name, func(t *testing.T) {
			qt.Assert(t, c.refused[c.proposeChange(v.at, v.change)], qt.Equals, v.want)
		})
	}
	first := c.proposeChange(leader, waxwingseam.MembershipChange{Kind: waxwingseam.ChangeRemove, Member: behind})
	second := c.proposeChange(leader, waxwingseam.MembershipChange{Kind: waxwingseam.ChangeRemove, Member: other.member})
	qt.Assert(t, c.refused[second], qt.Equals, waxwingseam.ReasonChangePending)
	c.deliverAll()
	qt.Assert(t, c.accepted[first], qt.Not(qt.Equals), waxwingseam.LogIndex(0))
}

// TestRemovalWithoutResponsiveQuorumIsRefused removes one voter while the disk
// of another is lost, which would leave the log without a quorum.
func TestRemovalWithoutResponsiveQuorumIsRefused(t *testing.T) {
	c := newSteadyCluster(t, noFlaw)
	c.replaceDisk(c.replicas[2])
	c.run(c.electionTicks + 1)
	id := c.proposeChange(c.leader(), waxwingseam.MembershipChange{Kind: waxwingseam.ChangeRemove, Member: c.replicas[1].member})
	qt.Assert(t, c.refused[id], qt.Equals, waxwingseam.ReasonQuorumAtRisk)
	c.mustAccept(t, 1)
	c.assertNoViolation(t)
}

func TestRemovedLeaderStepsDown(t *testing.T) {
	c := newSteadyCluster(t, noFlaw)
	old := c.replicas[0]
	c.proposeChange(old, waxwingseam.MembershipChange{Kind: waxwingseam.ChangeRemove, Member: old.member})
	c.run(6 * c.electionTicks)
	qt.Assert(t, old.reducer.Status().Role, qt.Equals, waxwingseam.RoleFollower)
	qt.Assert(t, c.membership().Voters(), qt.Equals, 2)
	c.mustAccept(t, 1)
	c.assertNoViolation(t)
}

// TestLeaderPartitionedDuringOwnRemoval partitions a leader that has appended
// its own removal. Only its log is then complete enough to win an election, so
// it must lead again although the latest membership excludes it. After a
// restart it must do so without its old commit index.
func TestLeaderPartitionedDuringOwnRemoval(t *testing.T) {
	for _, restart := range []bool{false, true} {
		c := newSteadyCluster(t, noFlaw)
		leader, left, gone := c.replicas[0], c.replicas[1], c.replicas[2]
		c.proposeChange(leader, waxwingseam.MembershipChange{Kind: waxwingseam.ChangeRemove, Member: gone.member})
		c.run(1)
		c.isolate(left)
		c.proposeChange(leader, waxwingseam.MembershipChange{Kind: waxwingseam.ChangeRemove, Member: leader.member})
		c.run(2 * c.electionTicks)
		if restart {
			c.crash(leader)
			c.start(leader)
		}
		c.heal()
		c.run(10 * c.electionTicks)
		qt.Assert(t, c.leader(), qt.Equals, left)
		qt.Assert(t, c.membership().Members, qt.HasLen, 1)
		c.mustAccept(t, 1)
		c.assertNoViolation(t)
	}
}

func TestLaggingReplicaInstallsSnapshot(t *testing.T) {
	c := newSteadyCluster(t, noFlaw)
	c.isolate(c.replicas[2])
	c.mustAccept(t, 60)
	qt.Assert(t, healAndConverge(c), qt.IsTrue)
	qt.Assert(t, c.replicas[2].disk.Snapshot.Index > 40, qt.IsTrue)
	c.mustAccept(t, 1)
	c.assertNoViolation(t)
}

func TestHandoverDoesNotWaitForElectionTimeout(t *testing.T) {
	c := newSteadyCluster(t, noFlaw)
	c.mustAccept(t, 1)
	early := c.propose(c.replicas[0])
	c.reduce(c.replicas[0], waxwingseam.HandoverAsked{Stamp: c.stamp()}, 0)
	late := c.propose(c.replicas[0])
	c.deliverAll()
	qt.Assert(t, c.leader(), qt.Not(qt.Equals), c.replicas[0])
	qt.Assert(t, c.accepted[early], qt.Not(qt.Equals), waxwingseam.LogIndex(0))
	qt.Assert(t, c.refused[late], qt.Equals, waxwingseam.ReasonNotLeader)
	c.mustAccept(t, 1)
	c.assertNoViolation(t)
}

// TestReconnectedReplicaDoesNotDisruptLeader checks that the pre-vote prevents
// elections by a replica that was partitioned for a long time.
func TestReconnectedReplicaDoesNotDisruptLeader(t *testing.T) {
	c := newSteadyCluster(t, noFlaw)
	term := c.leader().reducer.Status().Term
	c.isolate(c.replicas[2])
	c.run(20 * c.electionTicks)
	c.heal()
	c.run(4 * c.electionTicks)
	qt.Assert(t, c.leader(), qt.Equals, c.replicas[0])
	qt.Assert(t, c.leader().reducer.Status().Term, qt.Equals, term)
}

// TestReplicaWithoutAppendsDoesNotDisruptLeader checks that a replica whose
// append requests are all lost for a time, while its vote requests arrive at
// the others, does not replace the leader or raise the term.
func TestReplicaWithoutAppendsDoesNotDisruptLeader(t *testing.T) {
	c := newSteadyCluster(t, noFlaw)
	term := c.leader().reducer.Status().Term
	withoutAppends := c.replicas[2].member.Storage
	c.dropped = func(m waxwingseam.ReplicaMessage) bool { return m.To == withoutAppends && m.AppendRequest != nil }
	c.run(20 * c.electionTicks)
	c.dropped = nil
	c.run(4 * c.electionTicks)
	qt.Assert(t, c.leader(), qt.Equals, c.replicas[0])
	qt.Assert(t, c.leader().reducer.Status().Term, qt.Equals, term)
	c.assertNoViolation(t)
}

// TestClockJumpsChangeNothing checks that ticks whose clock readings jump
// start no election: the leader stays and accepts commands.
func TestClockJumpsChangeNothing(t *testing.T) {
	c := newSteadyCluster(t, noFlaw)
	for i, jump := range []time.Duration{time.Hour, -24 * time.Hour, 0, 100 * 365 * 24 * time.Hour} {
		stamp := waxwingseam.Stamp{Now: time.Unix(1e9, 0).Add(jump), Random: uint64(i)}
		for _, s := range c.replicas {
			c.reduce(s, waxwingseam.ReplicaTicked{Stamp: stamp}, 0)
		}
		c.deliverAll()
	}
	qt.Assert(t, c.leader(), qt.Equals, c.replicas[0])
	c.mustAccept(t, 1)
	c.assertNoViolation(t)
}

// TestFailoverTime bounds the time from the loss of a leader to the election of
// the next one, which must accept a command.
func TestFailoverTime(t *testing.T) {
	const target = 3 * time.Second
	const tick = 50 * time.Millisecond
	for seed := range uint64(100) {
		c := newClusterWithTimeout(3, rand.New(rand.NewPCG(seed, 2)).IntN, noFlaw, DefaultElectionTicks)
		c.crash(c.leader())
		ticks := 0
		for c.leader() == nil && ticks < 1000 {
			c.run(1)
			ticks++
		}
		c.mustAccept(t, 1)
		qt.Assert(t, time.Duration(ticks)*tick <= target, qt.IsTrue, qt.Commentf("seed %d: %d ticks", seed, ticks))
		c.assertNoViolation(t)
	}
}

// TestFollowerThatLostEntriesIsNotFlooded checks that a follower that lacks
// entries it had accepted is not probed again immediately after each rejection.
func TestFollowerThatLostEntriesIsNotFlooded(t *testing.T) {
	c := newSteadyCluster(t, keepsIdentity)
	c.mustAccept(t, 3)
	c.replaceDisk(c.replicas[2])
	for range 2 * c.electionTicks {
		c.tick()
		qt.Assert(t, c.deliverAll() <= 12, qt.IsTrue)
	}
}

// TestIdleLearnerReceivesHalfTheHeartbeats counts the messages of a leader that
// has no entries to send.
func TestIdleLearnerReceivesHalfTheHeartbeats(t *testing.T) {
	c := newSteadyCluster(t, noFlaw)
	learner := &simReplica{member: c.newMember("d")}
	learner.member.Candidate = false
	c.replicas = append(c.replicas, learner)
	c.start(learner)
	c.proposeChange(c.leader(), waxwingseam.MembershipChange{Kind: waxwingseam.ChangeAddLearner, Member: learner.member})
	c.run(c.electionTicks)
	messageCounts := map[waxwingseam.StorageID]int{}
	for range 8 {
		c.tick()
		for _, m := range c.inFlight {
			messageCounts[m.To]++
		}
		c.deliverAll()
	}
	qt.Assert(t, messageCounts[c.replicas[1].member.Storage], qt.Equals, 8)
	qt.Assert(t, messageCounts[learner.member.Storage], qt.Equals, 4)
}
