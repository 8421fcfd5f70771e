package receiver

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/tracker"
)

// accountApportioner states a share for each account, and names one of them.
type accountApportioner struct {
	fixedShare
	shares map[waxwingseam.AccountName]waxwingseam.Permille
	stated waxwingseam.AccountShares
}

func (a *accountApportioner) RefusedAccount(_ time.Time, _ waxwingseam.Importance, account waxwingseam.AccountName, _ waxwingseam.Occupancy) (waxwingseam.Permille, waxwingseam.AccountShares) {
	return a.shares[account], a.stated
}

// TestAnswersStateSharesOfAccounts guards against answers that state the share of another
// account, and against shares of services below that are lost in a chain.
func TestAnswersStateSharesOfAccounts(t *testing.T) {
	runs := tracker.New(tracker.Config{})
	hot, below := waxwingseam.AccountName("hot").Tag(), waxwingseam.AccountName("below").Tag()
	a := &accountApportioner{shares: map[waxwingseam.AccountName]waxwingseam.Permille{"hot": 900, "small": 0}}
	a.stated = waxwingseam.AccountShares{Others: 50}
	a.stated.Cut[0] = waxwingseam.AccountShare{Account: hot, Refused: 900}
	h := newHarnessWith(runs, a)
	h.reducer.Reduce(waxwingseam.SetAdopted{Stamp: h.stamp(), Set: &waxwingseam.Set{
		Revision:       2,
		Services:       []waxwingseam.Service{{Name: "fees", Slots: 1}},
		RequestClasses: []waxwingseam.RequestClass{{Name: "fee", Service: "fees"}},
		ClientAccounts: []waxwingseam.ClientAccount{{Name: "hot"}, {Name: "small"}},
	}})
	answer := func(id uint64, account waxwingseam.AccountName) waxwingseam.Result {
		call := h.call(id)
		call.Account = account
		h.effects(h.arrival(call, 1))
		answers, _ := h.effects(h.ended(id))
		qt.Assert(t, answers, qt.HasLen, 1)
		return answers[0]
	}
	result := answer(1, "hot")
	qt.Assert(t, result.RefusedPermille, qt.Equals, waxwingseam.Permille(900))
	qt.Assert(t, result.Accounts, qt.Equals, a.stated)

	noted := h.call(99)
	noted.Account = "small"
	runs.Begin(noted)
	runs.NoteRefused(h.now, noted.ID, "scarce", 300)
	runs.NoteAccountRefused(h.now, noted.ID, "scarce", waxwingseam.AccountShare{Account: waxwingseam.TagOthers, Refused: 100})
	runs.NoteAccountRefused(h.now, noted.ID, "scarce", waxwingseam.AccountShare{Account: below, Refused: 700})
	result = answer(2, "small")
	qt.Assert(t, result.RefusedPermille, qt.Equals, waxwingseam.Permille(300))
	qt.Assert(t, result.Accounts.Others, qt.Equals, waxwingseam.Permille(100))
	qt.Assert(t, result.Accounts.Cut[1], qt.Equals, waxwingseam.AccountShare{Account: below, Refused: 700})
	qt.Assert(t, answer(3, "hot").RefusedPermille, qt.Equals, waxwingseam.Permille(900))
}

// TestRefusalsOfAnAccountAreItsOwn guards against calls that stand for the refused roots of
// another account, and against a memory of accounts that grows.
func TestRefusalsOfAnAccountAreItsOwn(t *testing.T) {
	var a accountRefusals
	now := time.Unix(1_000_000, 0)
	for n := range 100 {
		now = now.Add(10 * time.Millisecond)
		a.observe(now, accountClass{"fee", "hot"}, n%2 == 0)
		a.observe(now, accountClass{"fee", "small"}, false)
	}
	a.observe(now, accountClass{"fee", "rare"}, true)
	near := func(account waxwingseam.AccountName, want waxwingseam.Permille) {
		t.Helper()
		got := a.add(200, accountClass{"fee", account})
		qt.Check(t, got >= want-10 && got <= want+10, qt.IsTrue, qt.Commentf("%s: %d", account, got))
	}
	near("hot", 600)
	near("small", 200)
	near("rare", 200)
	now = now.Add(accountRefusalLifetime)
	a.observe(now, accountClass{"fee", "new"}, false)
	qt.Check(t, a.byClass, qt.HasLen, 1)
}
