package tracker_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/tracker"
)

// TestSharesOfAccountsPassThroughRuns guards against answers of a chain that state the
// share of one account for another, that leave accounts out, or that name accounts whose
// shares are too old.
func TestSharesOfAccountsPassThroughRuns(t *testing.T) {
	runs := tracker.New(tracker.Config{})
	call := waxwingseam.Call{ID: id(1), Class: "fee", Account: "own"}
	runs.Begin(call)
	now := start
	note := func(account waxwingseam.AccountTag, refused waxwingseam.Permille) {
		runs.NoteAccountRefused(now, call.ID, "scarce", waxwingseam.AccountShare{Account: account, Refused: refused})
	}
	tag := func(name waxwingseam.AccountName) waxwingseam.AccountTag { return name.Tag() }
	refused := func(account waxwingseam.AccountTag) waxwingseam.Permille {
		place := call.Place()
		place.Account = account
		return runs.Refused(now, place)
	}
	// An account that was first noted as that of a run is named, too.
	runs.NoteRefused(now, call.ID, "scarce", 300)
	note(tag("own"), 300)
	note(waxwingseam.TagOthers, 100)
	note(waxwingseam.TagAny, 900)
	note(tag("hot"), 900)
	note(tag("small"), 0)
	qt.Assert(t, refused(tag("own")), qt.Equals, waxwingseam.Permille(300))
	qt.Assert(t, refused(tag("hot")), qt.Equals, waxwingseam.Permille(900))
	qt.Assert(t, refused(tag("unknown")), qt.Equals, waxwingseam.Permille(100))
	qt.Assert(t, refused(waxwingseam.TagNone), qt.Equals, waxwingseam.Permille(0))
	named := map[waxwingseam.AccountShare]bool{}
	stated := runs.RefusedAccounts(now, call.Place())
	qt.Assert(t, stated.Others, qt.Equals, waxwingseam.Permille(100))
	for _, v := range stated.Cut {
		named[v] = true
	}
	qt.Assert(t, named, qt.DeepEquals, map[waxwingseam.AccountShare]bool{
		{Account: tag("own"), Refused: 300}: true, {Account: tag("hot"), Refused: 900}: true,
	})
	now = now.Add(lifetime + time.Millisecond)
	for range 3 {
		stated = runs.RefusedAccounts(now, call.Place())
	}
	qt.Assert(t, stated, qt.Equals, waxwingseam.AccountShares{})
}
