package replicator

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

const (
	// joinTicks is the time in which a replica that has lost its disk is to vote again, and
	// joinIntervalTicks the time between its requests, with the default tick of 50 ms.
	joinTicks         = 80
	joinIntervalTicks = 5
)

// rejoin empties a replica's disk, has it ask the leader to join until it votes, and returns
// the ticks that this takes.
func (c *cluster) rejoin(s *simReplica) int {
	c.replaceDisk(s)
	for ticks := range 4 * joinTicks {
		leader := c.leader()
		if leader != nil && !c.isolated[leader.member.Storage] {
			if leader.membership().IsVoter(s.member.Storage) {
				return ticks
			}
			if ticks%joinIntervalTicks == 0 {
				c.proposeChange(leader, waxwingseam.MembershipChange{Kind: waxwingseam.ChangeAddLearner, Member: s.member})
			}
		}
		c.run(1)
	}
	return 4 * joinTicks
}

// TestLostDiskIsReplacedInTime guards against a replica with an emptied disk that votes again
// late, beside a frozen replica too: each leader waited until the lost storage had been
// silent to itself, although the process at its address refused its messages.
func TestLostDiskIsReplacedInTime(t *testing.T) {
	t.Parallel()
	for _, v := range []struct {
		name   string
		frozen func(c *cluster) *simReplica
		// limit is the time of a join, or that of the silence for which a leader that
		// stays need not wait.
		limit int
	}{
		{"none", func(*cluster) *simReplica { return nil }, DefaultElectionTicks},
		{"follower", func(c *cluster) *simReplica { return c.follower(0) }, DefaultElectionTicks},
		{"leader", (*cluster).leader, joinTicks},
	} {
		t.Run(v.name, func(t *testing.T) {
			most := 0
			for seed := range *drawnSeeds {
				c := newClusterWithTimeout(5, rand.New(rand.NewPCG(seed, 7)).IntN, noFlaw, DefaultElectionTicks)
				c.restartTolerating(2)
				c.mustAccept(t, 30)
				emptied := c.follower(1)
				if frozen := v.frozen(c); frozen != nil {
					c.isolate(frozen)
					c.run(int(seed % 8))
				}
				ticks := c.rejoin(emptied)
				most = max(most, ticks)
				qt.Check(t, ticks <= v.limit, qt.IsTrue, qt.Commentf("seed %d: %d ticks", seed, ticks))
				c.assertNoViolation(t)
			}
			t.Logf("at most %d ticks", most)
		})
	}
}

// follower returns a running follower, the n-th of those that are not the leader.
func (c *cluster) follower(n int) *simReplica {
	for _, s := range c.replicas {
		if s == c.leader() || s.stopped {
			continue
		}
		if n == 0 {
			return s
		}
		n--
	}
	return nil
}

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

// TestFailedSnapshotIsSentAgain guards against a learner that waits for eight election
// timeouts after the connection has failed over which it was sent a snapshot.
func TestFailedSnapshotIsSentAgain(t *testing.T) {
	c := newClusterWithTimeout(3, rand.New(rand.NewPCG(1, 1)).IntN, noFlaw, DefaultElectionTicks)
	lagging := c.replicas[2]
	c.isolate(lagging)
	c.mustAccept(t, 60)
	c.heal()
	failed := 0
	for ticks := 0; lagging.reducer.Status().Commit < c.leader().reducer.Status().Commit; ticks++ {
		qt.Assert(t, ticks < 2*DefaultElectionTicks, qt.IsTrue, qt.Commentf("%d snapshots failed", failed))
		c.tick()
		for len(c.inFlight) > 0 {
			c.deliver(0, 0)
		}
		if len(c.snapshots) > 0 && failed < 2 {
			failed++
			c.snapshots = nil
			c.reduce(c.leader(), waxwingseam.SnapshotFailed{Stamp: c.stamp(), To: lagging.member.Storage}, 0)
		}
		c.deliverAll()
	}
	qt.Assert(t, failed, qt.Equals, 2)
	c.assertNoViolation(t)
}
