package replicator

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// restartTolerating restarts all replicas with a number of tolerated disk
// losses.
func (c *cluster) restartTolerating(losses int) {
	for _, s := range c.replicas {
		c.crash(s)
	}
	c.toleratedLosses = losses
	for _, s := range c.replicas {
		c.start(s)
	}
	c.run(8 * c.electionTicks)
}

// TestCommandsAreRefusedWithTooFewVoters proposes commands to a cluster in
// which the tolerated disk losses can destroy a quorum.
func TestCommandsAreRefusedWithTooFewVoters(t *testing.T) {
	for _, v := range []struct {
		voters int
		want   waxwingseam.ReplicaReason
	}{
		{3, waxwingseam.ReasonNoQuorum},
		{5, ""},
	} {
		c := newCluster(v.voters, rand.New(rand.NewPCG(1, 1)).IntN, noFlaw)
		c.restartTolerating(2)
		id := c.propose(c.leader())
		c.run(4 * c.electionTicks)
		qt.Assert(t, c.violation, qt.IsNil)
		qt.Assert(t, c.refused[id], qt.Equals, v.want)
		_, accepted := c.accepted[id]
		qt.Assert(t, accepted, qt.Equals, v.want == "")
	}
}

// TestReplacedReplicaIsRemoved loses a replica permanently and adds a
// substitute. The lost replica must leave the quorum, so that the cluster
// survives two further losses.
func TestReplacedReplicaIsRemoved(t *testing.T) {
	c := newCluster(5, rand.New(rand.NewPCG(1, 1)).IntN, noFlaw)
	c.restartTolerating(2)
	lost := c.replicas[4]
	if c.leader() == lost {
		lost = c.replicas[3]
	}
	c.crash(lost)
	substitute := &simReplica{member: c.newMember("z")}
	c.replicas = append(c.replicas, substitute)
	c.start(substitute)
	c.proposeChange(c.leader(), waxwingseam.MembershipChange{Kind: waxwingseam.ChangeAddLearner, Member: substitute.member})
	c.run(2 * DefaultRemovalTicks)
	status := c.leader().reducer.Status()
	qt.Assert(t, status.Voters(), qt.Equals, 5)
	for _, m := range status.Members {
		qt.Check(t, m.Storage, qt.Not(qt.Equals), lost.member.Storage)
	}
	crashed := 0
	for _, s := range c.replicas {
		if !s.stopped && s != c.leader() && crashed < 2 {
			c.crash(s)
			crashed++
		}
	}
	id := c.propose(c.leader())
	c.run(4 * c.electionTicks)
	_, accepted := c.accepted[id]
	qt.Assert(t, accepted, qt.IsTrue)
	qt.Assert(t, c.violation, qt.IsNil)
}

// TestSilentVoterIsKeptWithoutSubstitute checks that a silent voter, which may
// return, stays a member while no other voter replaces it.
func TestSilentVoterIsKeptWithoutSubstitute(t *testing.T) {
	c := newCluster(5, rand.New(rand.NewPCG(1, 1)).IntN, noFlaw)
	c.restartTolerating(2)
	for _, s := range c.replicas {
		if s != c.leader() {
			c.crash(s)
			break
		}
	}
	c.run(3 * DefaultRemovalTicks)
	qt.Assert(t, c.leader().reducer.Status().Voters(), qt.Equals, 5)
}

// loseTwoDisks runs a random history of a cluster, empties two disks at once,
// and reports whether the replicas agree again and have all accepted entries.
func loseTwoDisks(seed uint64, voters, losses int) (recovered bool, accepted int, c *cluster) {
	random := rand.New(rand.NewPCG(seed, 0))
	c = newCluster(voters, random.IntN, noFlaw)
	c.restartTolerating(losses)
	for range random.IntN(30) {
		if leader := c.leader(); leader != nil {
			c.propose(leader)
		}
		for range random.IntN(4) {
			if len(c.inFlight) > 0 {
				c.deliver(random.IntN(min(len(c.inFlight), 8)), 0)
			}
		}
		c.tick()
	}
	accepted = len(c.committed)
	first := random.IntN(voters)
	second := (first + 1 + random.IntN(voters-1)) % voters
	c.inFlight = nil
	for _, i := range []int{first, second} {
		c.replaceDisk(c.replicas[i])
	}
	for range 30 {
		c.run(2 * shortElectionTicks)
		for _, i := range []int{first, second} {
			if leader := c.leader(); leader != nil {
				c.proposeChange(leader, waxwingseam.MembershipChange{Kind: waxwingseam.ChangeAddLearner, Member: c.replicas[i].member})
			}
		}
		if converged(c) && c.leader().membership().Voters() == voters {
			break
		}
	}
	return converged(c) && len(c.committed) >= accepted, accepted, c
}

// TestSimultaneousLossOfTwoDisks empties two of five disks at random moments.
// All accepted entries must survive, and all replicas must vote again. Three
// replicas, which would accept no commands with this tolerance, do not always
// survive the same loss.
func TestSimultaneousLossOfTwoDisks(t *testing.T) {
	entries := 0
	for seed := range uint64(300) {
		recovered, accepted, c := loseTwoDisks(seed, 5, 2)
		entries += accepted
		qt.Assert(t, recovered && c.violation == nil, qt.IsTrue, qt.Commentf("seed %d: %v", seed, c.violation))
	}
	t.Logf("%d entries accepted before the losses", entries)
	failed := 0
	for seed := range uint64(20) {
		if recovered, _, c := loseTwoDisks(seed, 3, 0); !recovered || c.violation != nil {
			failed++
		}
	}
	qt.Assert(t, failed > 0, qt.IsTrue)
}
