package publisher

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/historian"
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
