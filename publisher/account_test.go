package publisher

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/checker"
	"waxwingseam.example/waxwingseam/historian"
	"waxwingseam.example/waxwingseam/identifier"
)

// TestUsageOverNodesAndReplicas guards against roots of client accounts that are counted
// twice or left out when nodes and replicas are added up, against a node that has gone and
// still counts, and against sums that grow with the number of accounts.
func TestUsageOverNodesAndReplicas(t *testing.T) {
	p := New(Config{
		Historian: historian.New(historian.Config{}),
		Step:      func(func(waxwingseam.Stamp) waxwingseam.Event) {},
		Logger:    slog.New(slog.DiscardHandler),
	}).(*publisher)
	report := func(s *session, counts ...waxwingseam.AccountCount) {
		p.sessions[s] = struct{}{}
		p.receive(s, Report{Tally: &waxwingseam.AccountTally{Over: 2 * time.Second, Accounts: counts}})
	}
	one, two := &session{}, &session{}
	report(one, waxwingseam.AccountCount{Account: "archive", Ran: 10, Refused: 4}, waxwingseam.AccountCount{Ran: 2})
	report(two, waxwingseam.AccountCount{Account: "archive", Ran: 20, NotRun: 6}, waxwingseam.AccountCount{Account: "bureau", Ran: 1})
	want := UsageSummary{Nodes: 2, Accounts: []waxwingseam.AccountUsage{
		{Ran: 1, Nodes: 1},
		{Account: "archive", Ran: 15, Refused: 2, NotRun: 3, Nodes: 2},
		{Account: "bureau", Ran: 0.5, Nodes: 1},
	}}
	qt.Assert(t, p.AccountUsage(), qt.DeepEquals, want)
	// Another report without a tally is a heartbeat.
	p.receive(one, Report{})
	qt.Assert(t, p.AccountUsage(), qt.DeepEquals, want)
	var push Push
	p.addUsage(&session{peer: true}, &push)
	qt.Assert(t, *push.Usage, qt.DeepEquals, want)
	sum := AddUsages(want, want)
	qt.Assert(t, sum.Nodes, qt.Equals, 4)
	qt.Assert(t, sum.Accounts[1], qt.DeepEquals, waxwingseam.AccountUsage{Account: "archive", Ran: 30, Refused: 4, NotRun: 6, Nodes: 4})

	two.talliedAt = time.Now().Add(-usageLifetime - time.Second)
	qt.Assert(t, p.AccountUsage().Nodes, qt.Equals, 1)
	report(one)
	qt.Assert(t, p.AccountUsage(), qt.DeepEquals, UsageSummary{Accounts: []waxwingseam.AccountUsage{}})

	counts := make([]waxwingseam.AccountCount, 0, 3000)
	for i := range cap(counts) {
		counts = append(counts, waxwingseam.AccountCount{Account: waxwingseam.AccountName(fmt.Sprintf("account-%04d", i)), Ran: uint64(2 + 2*(i/2000))})
	}
	report(one, append(counts, waxwingseam.AccountCount{Ran: 6})...)
	limited := limitUsages(p.AccountUsage())
	qt.Assert(t, limited.Accounts, qt.HasLen, maxUsages)
	qt.Assert(t, limited.Accounts[0].Account, qt.Equals, waxwingseam.AccountName(""))
	total := 0.0
	for _, u := range limited.Accounts {
		total += u.Ran
	}
	qt.Assert(t, total, qt.Equals, 2000+1000*2+3.0)
}

// manyAccounts returns a set of nodes with 10,000 client accounts of two keys each.
func manyAccounts() *waxwingseam.Set {
	set := &waxwingseam.Set{Revision: 1}
	for i := range 10_000 {
		name := fmt.Sprintf("account-%05d", i)
		set.ClientAccounts = append(set.ClientAccounts, waxwingseam.ClientAccount{
			Name: waxwingseam.AccountName(name), Keys: []string{name + "-first", name + "-second"},
			Importance: waxwingseam.Importance(i % 10), HasImportance: true,
			Rate: float64(i), StatesRate: true, Burst: float64(i), StatesBurst: true,
		}.WithoutKeys())
	}
	return set
}

// BenchmarkAccounts measures what 10,000 client accounts cost when a node starts (pack,
// unpack, digest, identify) and when one of them changes (change).
func BenchmarkAccounts(b *testing.B) {
	set := manyAccounts()
	packed, err := Pack(set)
	qt.Assert(b, err, qt.IsNil)
	run := func(name string, do func()) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				do()
			}
		})
	}
	b.Run("bytes", func(b *testing.B) {
		change := checker.Change{Put: waxwingseam.Set{ClientAccounts: set.ClientAccounts[:1]}}
		empty, err := cbor.Marshal(Push{Steps: []Step{{Revision: 2, Digest: 1 << 63}}})
		qt.Assert(b, err, qt.IsNil)
		step, err := cbor.Marshal(Push{Steps: []Step{{Revision: 2, Digest: 1 << 63, Change: change}}})
		qt.Assert(b, err, qt.IsNil)
		tally := waxwingseam.AccountTally{Over: 2 * time.Second}
		var usage UsageSummary
		for i := range maxUsages {
			name := set.ClientAccounts[i].Name
			usage.Accounts = append(usage.Accounts, waxwingseam.AccountUsage{Account: name, Ran: 1.0 / 3, Refused: 1.0 / 3, Nodes: 100})
			if i <= 200 {
				tally.Accounts = append(tally.Accounts, waxwingseam.AccountCount{Account: name, Ran: 300, Refused: 30, NotRun: 3})
			}
		}
		largest, err := cbor.Marshal(Report{Tally: &tally})
		qt.Assert(b, err, qt.IsNil)
		tally.Accounts = tally.Accounts[:10]
		usual, err := cbor.Marshal(Report{Tally: &tally})
		qt.Assert(b, err, qt.IsNil)
		sum, err := cbor.Marshal(Push{Usage: &usage})
		qt.Assert(b, err, qt.IsNil)
		b.ReportMetric(float64(len(packed)), "packed-B")
		b.ReportMetric(float64(len(step)-len(empty)), "changed-account-B")
		b.ReportMetric(float64(len(largest)), "largest-tally-B")
		b.ReportMetric(float64(len(usual)), "tally-of-10-B")
		b.ReportMetric(float64(len(sum)), "largest-sum-B")
	})
	run("pack", func() { _, _ = Pack(set) })
	run("unpack", func() { _, _ = Unpack(packed) })
	run("digest", func() { checker.Digest(set) })
	run("identify", func() { identifier.New().Adopt(set) })
	change := checker.Change{Put: waxwingseam.Set{ClientAccounts: set.ClientAccounts[:1]}}
	digest := checker.Digest(set)
	run("change", func() {
		change.Apply(set)
		change.Digest(set, digest)
	})
}
