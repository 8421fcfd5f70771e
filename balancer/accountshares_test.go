package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

var accountsStart = time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)

// answerOf returns the feedback of an answer to a root of an account.
func answerOf(account waxwingseam.AccountName, own waxwingseam.Permille, stated waxwingseam.AccountShares) waxwingseam.Feedback {
	result := waxwingseam.Result{Status: 200, Reached: true, RefusedPermille: own, Accounts: stated}
	return waxwingseam.Feedback{Server: "fees-0", Class: "fee", Account: account, Result: result}
}

func accountPlace(account waxwingseam.AccountName) waxwingseam.Place {
	return waxwingseam.Place{Class: "fee", Account: account.Tag()}
}

// TestAccountsAreRefusedTheirShare guards against an account that is refused the share of
// another one, and against a share that an account keeps without a further answer.
func TestAccountsAreRefusedTheirShare(t *testing.T) {
	s, now := shares{}, accountsStart
	stated := waxwingseam.AccountShares{Others: 200}
	stated.Cut[0] = waxwingseam.AccountShare{Account: waxwingseam.AccountName("named").Tag(), Refused: 900}
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		s.observe(now, answerOf("small", 0, stated))
		s.observe(now, answerOf("large", 600, stated))
	}
	check := func(account waxwingseam.AccountName, want float64) {
		t.Helper()
		got := s.refused(now, accountPlace(account))
		qt.Check(t, math.Abs(got-want) < 1e-9, qt.IsTrue, qt.Commentf("%s: %.3f", account, got))
	}
	check("small", 0)
	check("large", 0.6)
	check("named", 0.9)
	check("unknown", 0.2)
	check("", 0)
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		s.observe(now, answerOf("small", 0, waxwingseam.AccountShares{Others: 200}))
	}
	for _, account := range []waxwingseam.AccountName{"large", "named"} {
		got := s.refused(now, accountPlace(account))
		qt.Check(t, math.Abs(got-0.2) < 0.05, qt.IsTrue, qt.Commentf("%s: %.3f after 10 s", account, got))
	}
}

// TestAccountSharesAreBounded guards against a memory that grows with the accounts that
// answers name, and against accounts that take memory while none is refused.
func TestAccountSharesAreBounded(t *testing.T) {
	s, now := shares{}, accountsStart
	observe := func(count int, own waxwingseam.Permille) {
		for n := range count {
			now = now.Add(100 * time.Microsecond)
			s.observe(now, answerOf(waxwingseam.AccountName(fmt.Sprint("account-", n)), own, waxwingseam.AccountShares{}))
		}
	}
	observe(10_000, 0)
	qt.Assert(t, s, qt.HasLen, 0)
	observe(3*maxAccountShares, 500)
	qt.Assert(t, len(s) <= maxAccountShares+3, qt.IsTrue, qt.Commentf("%d shares", len(s)))
}

// TestRejectedAccountDoesNotThrottleOthers guards against an account whose calls the
// servers reject and that makes its node hold back the calls of others.
func TestRejectedAccountDoesNotThrottleOthers(t *testing.T) {
	p, now := newPool(), accountsStart
	refused := map[waxwingseam.AccountName]int{}
	for n := range 4000 {
		now = now.Add(time.Millisecond)
		q := waxwingseam.Query{Account: "hot", Rank: waxwingseam.Rank{Importance: 5, Order: uint64(n)}}
		if n%20 == 0 {
			q.Account = waxwingseam.AccountName(fmt.Sprint("other-", n/20%10))
		}
		if !p.admitAccount(now, &q) {
			refused[q.Account]++
			continue
		}
		throttle := p.accountThrottles.of(now, q.Account, &p.throttle)
		if q.Account == "hot" && n%10 != 1 {
			throttle.rejected(now, 5)
		} else {
			throttle.accepted(now)
		}
	}
	qt.Check(t, refused["hot"] > 2000, qt.IsTrue, qt.Commentf("%d", refused["hot"]))
	delete(refused, "hot")
	qt.Check(t, refused, qt.HasLen, 0)
	for n := range 3 * maxAccountThrottles {
		q := waxwingseam.Query{Account: waxwingseam.AccountName(fmt.Sprint("account-", n))}
		p.admitAccount(now, &q)
	}
	qt.Check(t, len(p.accountThrottles) <= maxAccountThrottles, qt.IsTrue)
}
