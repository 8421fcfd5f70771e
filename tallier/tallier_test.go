package tallier_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/tallier"
)

// TestTally guards against roots that are counted twice, not at all, or for the wrong
// account, and against reports that grow with the number of accounts.
func TestTally(t *testing.T) {
	now := time.Unix(100, 0)
	v := tallier.New(tallier.Config{Now: func() time.Time { return now }})
	answer := func(account waxwingseam.AccountName, outcome waxwingseam.Outcome, reason waxwingseam.Reason) {
		v.Observe(nil, []waxwingseam.Effect{waxwingseam.Reply{
			Account: account, Result: waxwingseam.Result{Outcome: outcome, Reason: reason},
		}})
	}
	none := func() {
		_, ok := v.Tally()
		qt.Assert(t, ok, qt.IsFalse)
	}
	answer("", waxwingseam.OutcomeCompleted, waxwingseam.ReasonNone)
	now = now.Add(time.Minute)
	none()
	answer("archive", waxwingseam.OutcomeCompleted, waxwingseam.ReasonNone)
	answer("archive", waxwingseam.OutcomeMayHaveRun, waxwingseam.ReasonServerFailed)
	answer("archive", waxwingseam.OutcomeDidNotRun, waxwingseam.ReasonOverloaded)
	answer("archive", waxwingseam.OutcomeDidNotRun, waxwingseam.ReasonAccountLimit)
	answer("bureau", waxwingseam.OutcomeCompleted, waxwingseam.ReasonNone)
	now = now.Add(time.Second)
	none()
	now = now.Add(time.Second)
	tally, ok := v.Tally()
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, tally, qt.DeepEquals, waxwingseam.AccountTally{Over: 2 * time.Second, Accounts: []waxwingseam.AccountCount{
		{Account: "archive", Ran: 2, Refused: 1, NotRun: 1}, {Account: "bureau", Ran: 1},
	}})
	now = now.Add(2 * time.Second)
	tally, ok = v.Tally()
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, tally.Accounts, qt.HasLen, 0)
	now = now.Add(2 * time.Second)
	none()

	for i := range 1000 {
		answer(waxwingseam.AccountName(fmt.Sprintf("account-%d", i)), waxwingseam.OutcomeCompleted, waxwingseam.ReasonNone)
	}
	answer("account-999", waxwingseam.OutcomeCompleted, waxwingseam.ReasonNone)
	now = now.Add(2 * time.Second)
	tally, _ = v.Tally()
	qt.Assert(t, tally.Accounts, qt.HasLen, 201)
	qt.Assert(t, tally.Accounts[0].Account, qt.Equals, waxwingseam.AccountName("account-999"))
	qt.Assert(t, tally.Accounts[200], qt.DeepEquals, waxwingseam.AccountCount{Ran: 800})
}
