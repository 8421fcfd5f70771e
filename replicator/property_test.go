package replicator

import (
	"flag"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"waxwingseam.example/waxwingseam"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "400")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// steps are the possible steps of a random history with their weights: mostly
// ticks and messages, and some faults.
var steps = []struct {
	weight int
	take   func(c *cluster, s *simReplica)
}{
	{5, func(c *cluster, _ *simReplica) { c.tick() }},
	{20, whenRunning(func(c *cluster, s *simReplica) { c.reduce(s, waxwingseam.ReplicaTicked{Stamp: c.stamp()}, 0) })},
	{35, withMessage(func(c *cluster, i int) { c.deliver(i, 0) })},
	{4, withMessage(func(c *cluster, i int) { c.inFlight = slices.Delete(c.inFlight, i, i+1) })},
	{4, withMessage(func(c *cluster, i int) { c.inFlight = append(c.inFlight, c.inFlight[i]) })},
	{4, func(c *cluster, _ *simReplica) {
		if len(c.snapshots) > 0 {
			c.deliverSnapshot()
		}
	}},
	{10, whenRunning(func(c *cluster, s *simReplica) { c.propose(s) })},
	{4, whenRunning(func(c *cluster, s *simReplica) { c.read(s) })},
	{2, whenRunning(func(c *cluster, s *simReplica) {
		c.reduce(s, waxwingseam.ReplicaTicked{Stamp: c.stamp()}, 1+c.randomInt(4))
	})},
	{2, withMessage(func(c *cluster, i int) { c.deliver(i, 2+c.randomInt(3)) })},
	{6, whenRunning(func(c *cluster, s *simReplica) { c.reduceAll(s, c.takeBatch(s, 1+c.randomInt(6)), 0) })},
	{2, whenRunning(func(c *cluster, s *simReplica) { c.reduceAll(s, c.takeBatch(s, 1+c.randomInt(6)), 1+c.randomInt(12)) })},
	{1, whenRunning(func(c *cluster, s *simReplica) { c.proposeChange(s, c.randomChange()) })},
	{5, func(c *cluster, s *simReplica) {
		if s.stopped {
			c.start(s)
		}
	}},
	{1, func(c *cluster, s *simReplica) { c.isolate(s) }},
	{2, func(c *cluster, _ *simReplica) { c.heal() }},
	{1, func(c *cluster, s *simReplica) { c.replaceDiskIfSafe(s) }},
	{1, whenRunning(func(c *cluster, s *simReplica) { c.reduce(s, waxwingseam.HandoverAsked{Stamp: c.stamp()}, 0) })},
	{1, func(c *cluster, _ *simReplica) { c.deliverAll() }},
}

// whenRunning returns a step that does nothing if the replica is stopped.
func whenRunning(f func(c *cluster, s *simReplica)) func(*cluster, *simReplica) {
	return func(c *cluster, s *simReplica) {
		if !s.stopped {
			f(c, s)
		}
	}
}

// withMessage returns a step that selects one of the oldest messages in the
// network, if there is any.
func withMessage(f func(c *cluster, i int)) func(*cluster, *simReplica) {
	return func(c *cluster, _ *simReplica) {
		if len(c.inFlight) > 0 {
			f(c, c.randomInt(min(len(c.inFlight), 8)))
		}
	}
}

// takeRandomStep takes one step, chosen by weight, at a random replica.
func takeRandomStep(c *cluster) {
	total := 0
	for _, v := range steps {
		total += v.weight
	}
	n := c.randomInt(total)
	for _, v := range steps {
		n -= v.weight
		if n < 0 {
			v.take(c, c.replicas[c.randomInt(len(c.replicas))])
			return
		}
	}
}

// replaceDiskIfSafe replaces the disk of a replica if the cluster must survive
// that: no other change is pending, all other members run and vote, and the
// remaining voters are a quorum even if the replica is about to be promoted.
func (c *cluster) replaceDiskIfSafe(s *simReplica) {
	leader := c.leader()
	if leader == nil || leader == s || leader.reducer.(*replicator).changePending() {
		return
	}
	members := leader.membership()
	if members.Voters() < 3 {
		return
	}
	for _, m := range members.Members {
		other := c.runningReplica(m.Storage)
		if m.Storage != s.member.Storage && (other == nil || !m.Voter) {
			return
		}
	}
	c.replaceDisk(s)
	c.run(2 * shortElectionTicks)
	if leader := c.leader(); leader != nil && c.flaw != keepsIdentity {
		c.proposeChange(leader, waxwingseam.MembershipChange{Kind: waxwingseam.ChangeAddLearner, Member: s.member})
	}
}

// randomChange returns a random change of a random member.
func (c *cluster) randomChange() waxwingseam.MembershipChange {
	kinds := []waxwingseam.ChangeKind{waxwingseam.ChangeRemove, waxwingseam.ChangeAddLearner, waxwingseam.ChangePromote}
	return waxwingseam.MembershipChange{
		Kind:   kinds[c.randomInt(len(kinds))],
		Member: c.replicas[c.randomInt(len(c.replicas))].member,
	}
}

// healAndConverge ends all faults and reports whether the replicas agree again.
func healAndConverge(c *cluster) bool {
	c.heal()
	for _, s := range c.replicas {
		if s.stopped {
			c.start(s)
		}
	}
	for range 20 {
		c.run(2 * shortElectionTicks)
		if converged(c) {
			return true
		}
	}
	return false
}

func converged(c *cluster) bool {
	leader := c.leader()
	if leader == nil {
		return false
	}
	want := leader.reducer.Status()
	for _, m := range want.Members {
		s := c.runningReplica(m.Storage)
		if s == nil {
			continue
		}
		if !sameMembers(s.membership(), c.leader().membership()) {
			return false
		}
		if got := s.reducer.Status(); got.Commit != want.Last || got.Term != want.Term {
			return false
		}
	}
	return true
}

// historyCounts counts what the random histories contained.
type historyCounts struct {
	terms, entries, snapshots, accepted, storages int
}

func (v *historyCounts) add(c *cluster) {
	v.terms += len(c.leaders)
	v.entries += len(c.committed)
	v.accepted += len(c.accepted)
	v.storages += c.storageCount - len(c.replicas)
	for _, s := range c.replicas {
		if s.disk.Snapshot.Index > 0 {
			v.snapshots++
		}
	}
}

// TestRandomFaultsPreserveAcceptedEntries checks that in random histories with
// crashes, partitions and lost disks no check of the cluster fails, and that the
// replicas agree again once the faults end.
func TestRandomFaultsPreserveAcceptedEntries(t *testing.T) {
	var tally historyCounts
	defer func() { t.Logf("%+v", tally) }()
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5}).Draw(t, "size")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		c := newCluster(size, random.IntN, noFlaw)
		for range rapid.IntRange(1000, 4000).Draw(t, "steps") {
			takeRandomStep(c)
		}
		tally.add(c)
		recovered := healAndConverge(c)
		if c.violation != nil || !recovered {
			t.Fatalf("recovered: %v, violation: %v", recovered, c.violation)
		}
	})
}

// TestChecksDetectInjectedFlaws shows that the checks of the random histories
// can fail.
func TestChecksDetectInjectedFlaws(t *testing.T) {
	for _, v := range []struct {
		flaw flaw
		seed uint64
	}{
		{losesVotes, 0},
		{acksUnsynced, 1},
		{keepsIdentity, 33},
		{forgesReadRounds, 473},
	} {
		t.Run(string(v.flaw), func(t *testing.T) {
			var violation error
			for seed := v.seed; seed < v.seed+1000 && violation == nil; seed++ {
				random := rand.New(rand.NewPCG(seed, 0))
				c := newCluster(3, random.IntN, v.flaw)
				for n := 0; n < 1500 && c.violation == nil; n++ {
					takeRandomStep(c)
				}
				violation = c.violation
				if violation != nil {
					t.Logf("seed %d: %v", seed, violation)
				}
			}
			qt.Assert(t, violation, qt.IsNotNil)
		})
	}
}
