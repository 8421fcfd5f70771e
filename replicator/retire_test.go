package replicator

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// newSurplusCluster returns a cluster of six voters that tolerates the loss of two disks, with
// some accepted entries.
func newSurplusCluster(t *testing.T, seed uint64) *cluster {
	t.Helper()
	c := newClusterWithTimeout(6, rand.New(rand.NewPCG(seed, 3)).IntN, noFlaw, DefaultElectionTicks)
	c.restartTolerating(2)
	qt.Assert(t, c.membership().Voters(), qt.Equals, 6)
	c.mustAccept(t, int(seed%30))
	return c
}

// stopOrderly stops a replica as the proposer does: it hands over the lead, asks to be retired,
// and ends.
func (c *cluster) stopOrderly(s *simReplica) {
	for range 2 * DefaultElectionTicks {
		if leader := c.leader(); leader != s {
			break
		}
		c.reduce(s, waxwingseam.HandoverAsked{Stamp: c.stamp()}, 0)
		c.deliverAll()
	}
	for range 2 * DefaultElectionTicks {
		leader := c.leader()
		if leader == nil || leader == s || leader.membership().Voters() <= 2*c.toleratedLosses+1 {
			break
		}
		c.proposeChange(leader, waxwingseam.MembershipChange{Kind: waxwingseam.ChangeRetire, Member: s.member})
		c.deliverAll()
	}
	c.crash(s)
}

// recovers empties disks at once, lets their replicas ask to join, and reports whether a leader
// has all entries that were accepted and accepts another one.
func (c *cluster) recovers(emptied ...*simReplica) bool {
	accepted := len(c.committed)
	for _, s := range emptied {
		c.replaceDisk(s)
	}
	for range 8 * joinTicks / joinIntervalTicks {
		if leader := c.leader(); leader != nil {
			for _, s := range emptied {
				c.proposeChange(leader, waxwingseam.MembershipChange{Kind: waxwingseam.ChangeAddLearner, Member: s.member})
			}
		}
		c.run(joinIntervalTicks)
	}
	leader := c.leader()
	if leader == nil || len(c.committed) < accepted || int(leader.reducer.Status().Commit) < accepted {
		return false
	}
	id := c.propose(leader)
	c.deliverAll()
	_, ok := c.accepted[id]
	return ok
}

// drawReplicas returns n of the running replicas, in a random order.
func (c *cluster) drawReplicas(n int) []*simReplica {
	var out []*simReplica
	for _, i := range rand.New(rand.NewPCG(uint64(c.randomInt(1<<30)), 1)).Perm(len(c.replicas)) {
		if s := c.replicas[i]; !s.stopped && len(out) < n {
			out = append(out, s)
		}
	}
	return out
}

// TestDisksLostAfterPlannedReplacement guards against the vote of a replica that was replaced
// as planned and has stopped: it counted until it had been silent for RemovalTicks, and two
// disks lost meanwhile left three of six voters, without a quorum for good.
func TestDisksLostAfterPlannedReplacement(t *testing.T) {
	t.Parallel()
	for seed := range *drawnSeeds {
		c := newSurplusCluster(t, seed)
		stopped := c.drawReplicas(1)[0]
		if seed%4 == 0 {
			stopped = c.leader()
		}
		c.stopOrderly(stopped)
		c.run(int(seed % 30))
		qt.Check(t, c.recovers(c.drawReplicas(2)...), qt.IsTrue, qt.Commentf("seed %d", seed))
		c.assertNoViolation(t)
	}
}

// TestStoppedVoterIsKeptWithoutSurplus guards against a voter that loses its vote when it is
// restarted in turn, and against two voters that stop at once and are both removed although
// the tolerated losses require one of them.
func TestStoppedVoterIsKeptWithoutSurplus(t *testing.T) {
	for voters, want := range map[int]int{5: 5, 6: 5} {
		c := newClusterWithTimeout(voters, rand.New(rand.NewPCG(1, 1)).IntN, noFlaw, DefaultElectionTicks)
		c.restartTolerating(2)
		for range 2 {
			stopping := c.follower(0)
			c.proposeChange(c.leader(), waxwingseam.MembershipChange{Kind: waxwingseam.ChangeRetire, Member: stopping.member})
			c.proposeChange(c.leader(), waxwingseam.MembershipChange{Kind: waxwingseam.ChangeRetire, Member: c.follower(1).member})
			c.deliverAll()
		}
		qt.Check(t, c.membership().Voters(), qt.Equals, want)
		c.assertNoViolation(t)
	}
}
