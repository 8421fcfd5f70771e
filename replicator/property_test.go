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

// steps are what may happen next to a site, with how often: mostly time and
// messages, now and then a fault.
var steps = []struct {
	weight int
	take   func(c *cluster, s *site)
}{
	{5, func(c *cluster, _ *site) { c.tick() }},
	{20, up(func(c *cluster, s *site) { c.reduce(s, waxwingseam.ReplicaTicked{Stamp: c.stamp()}, 0) })},
	{35, wired(func(c *cluster, i int) { c.deliver(i, 0) })},
	{4, wired(func(c *cluster, i int) { c.wire = slices.Delete(c.wire, i, i+1) })},
	{4, wired(func(c *cluster, i int) { c.wire = append(c.wire, c.wire[i]) })},
	{4, func(c *cluster, _ *site) {
		if len(c.snapshots) > 0 {
			c.deliverSnapshot()
		}
	}},
	{10, up(func(c *cluster, s *site) { c.propose(s) })},
	{4, up(func(c *cluster, s *site) { c.read(s) })},
	{2, up(func(c *cluster, s *site) { c.reduce(s, waxwingseam.ReplicaTicked{Stamp: c.stamp()}, 1+c.draw(4)) })},
	{2, wired(func(c *cluster, i int) { c.deliver(i, 2+c.draw(3)) })},
	{6, up(func(c *cluster, s *site) { c.reduceAll(s, c.batch(s, 1+c.draw(6)), 0) })},
	{2, up(func(c *cluster, s *site) { c.reduceAll(s, c.batch(s, 1+c.draw(6)), 1+c.draw(12)) })},
	{1, up(func(c *cluster, s *site) { c.change(s, c.randomChange()) })},
	{5, func(c *cluster, s *site) {
		if s.down {
			c.start(s)
		}
	}},
	{1, func(c *cluster, s *site) { c.cut(s) }},
	{2, func(c *cluster, _ *site) { c.heal() }},
	{1, func(c *cluster, s *site) { c.replace(s) }},
	{1, up(func(c *cluster, s *site) { c.reduce(s, waxwingseam.HandoverAsked{Stamp: c.stamp()}, 0) })},
	{1, func(c *cluster, _ *site) { c.settle() }},
}

// up takes a step only at a site that runs.
func up(f func(c *cluster, s *site)) func(*cluster, *site) {
	return func(c *cluster, s *site) {
		if !s.down {
			f(c, s)
		}
	}
}

// wired takes a step with one of the oldest messages on the wire.
func wired(f func(c *cluster, i int)) func(*cluster, *site) {
	return func(c *cluster, _ *site) {
		if len(c.wire) > 0 {
			f(c, c.draw(min(len(c.wire), 8)))
		}
	}
}

// disturb takes one random step.
func disturb(c *cluster) {
	total := 0
	for _, v := range steps {
		total += v.weight
	}
	n := c.draw(total)
	for _, v := range steps {
		n -= v.weight
		if n < 0 {
			v.take(c, c.sites[c.draw(len(c.sites))])
			return
		}
	}
}

// replace empties a site's disk, where the cluster promises to outlive that:
// no other change is under way, all the others run and vote, and the voters
// left are a quorum, also where the site is about to be promoted.
func (c *cluster) replace(s *site) {
	leader := c.leader()
	if leader == nil || leader == s || leader.replica.(*replicator).changePending() {
		return
	}
	members := leader.members()
	if members.Voters() < 3 {
		return
	}
	for _, m := range members.Members {
		other := c.site(m.Storage)
		if m.Storage != s.member.Storage && (other == nil || !m.Voter) {
			return
		}
	}
	c.empty(s)
	c.run(2 * electionTicks)
	if leader := c.leader(); leader != nil && c.flaw != keepsIdentity {
		c.change(leader, waxwingseam.MembershipChange{Kind: waxwingseam.ChangeAddLearner, Member: s.member})
	}
}

// randomChange removes a member, or takes one in again.
func (c *cluster) randomChange() waxwingseam.MembershipChange {
	kinds := []waxwingseam.ChangeKind{waxwingseam.ChangeRemove, waxwingseam.ChangeAddLearner, waxwingseam.ChangePromote}
	return waxwingseam.MembershipChange{
		Kind:   kinds[c.draw(len(kinds))],
		Member: c.sites[c.draw(len(c.sites))].member,
	}
}

// recovered heals all faults and reports whether the replicas agree again.
func recovered(c *cluster) bool {
	c.heal()
	for _, s := range c.sites {
		if s.down {
			c.start(s)
		}
	}
	for range 20 {
		c.run(2 * electionTicks)
		if agreed(c) {
			return true
		}
	}
	return false
}

func agreed(c *cluster) bool {
	leader := c.leader()
	if leader == nil {
		return false
	}
	want := leader.replica.Status()
	for _, m := range want.Members {
		s := c.site(m.Storage)
		if s == nil {
			continue
		}
		if !sameMembers(s.members(), c.leader().members()) {
			return false
		}
		if got := s.replica.Status(); got.Commit != want.Last || got.Term != want.Term {
			return false
		}
	}
	return true
}

// tally counts what random histories held.
type tally struct {
	terms, entries, snapshots, accepted, storages int
}

func (v *tally) add(c *cluster) {
	v.terms += len(c.leaders)
	v.entries += len(c.committed)
	v.accepted += len(c.accepted)
	v.storages += c.formatted - len(c.sites)
	for _, s := range c.sites {
		if s.disk.Snapshot.Index > 0 {
			v.snapshots++
		}
	}
}

func TestRandomFaultsLoseNothing(t *testing.T) {
	var tally tally
	defer func() { t.Logf("%+v", tally) }()
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5}).Draw(t, "size")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		c := newCluster(size, random.IntN, noFlaw)
		for range rapid.IntRange(1000, 4000).Draw(t, "steps") {
			disturb(c)
		}
		tally.add(c)
		whole := recovered(c)
		if c.violation != nil || !whole {
			t.Fatalf("recovered: %v, violation: %v", whole, c.violation)
		}
	})
}

// TestChecksFindBrokenRules shows that the checks above can fail.
func TestChecksFindBrokenRules(t *testing.T) {
	for _, v := range []struct {
		flaw flaw
		seed uint64
	}{
		{forgetsVotes, 0},
		{acksUnsynced, 1},
		{keepsIdentity, 33},
		{forgesRounds, 473},
	} {
		t.Run(string(v.flaw), func(t *testing.T) {
			var violation error
			for seed := v.seed; seed < v.seed+1000 && violation == nil; seed++ {
				random := rand.New(rand.NewPCG(seed, 0))
				c := newCluster(3, random.IntN, v.flaw)
				for n := 0; n < 1500 && c.violation == nil; n++ {
					disturb(c)
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
