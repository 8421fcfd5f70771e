package tracker

import (
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

// maxCut bounds the accounts of a place that answers name in turns.
const maxCut = 256

// cutAccounts lists the accounts of a place for which a share was noted.
type cutAccounts struct {
	tags []waxwingseam.AccountTag
	turn int
}

// NoteAccountRefused implements waxwingseam.Tracker.
func (t *tracker) NoteAccountRefused(now time.Time, parent waxwingseam.CallID, service waxwingseam.ServiceName, share waxwingseam.AccountShare) {
	r, ok := t.runs[parent]
	if !ok {
		return
	}
	place := r.call.Place()
	place.Account = share.Account
	t.note(now, place, service, share.Refused)
	if share.Refused == 0 || share.Account <= waxwingseam.TagAny {
		return
	}
	place.Account = waxwingseam.TagAny
	cut, ok := t.cut[place]
	if !ok {
		cut = &cutAccounts{}
		t.cut[place] = cut
	}
	if len(cut.tags) < maxCut && !slices.Contains(cut.tags, share.Account) {
		cut.tags = append(cut.tags, share.Account)
	}
}

// RefusedAccounts implements waxwingseam.Tracker.
func (t *tracker) RefusedAccounts(now time.Time, place waxwingseam.Place) (out waxwingseam.AccountShares) {
	place.Account = waxwingseam.TagOthers
	out.Others = t.Refused(now, place)
	place.Account = waxwingseam.TagAny
	cut, ok := t.cut[place]
	if !ok {
		return out
	}
	for n := 0; n < len(out.Cut) && len(cut.tags) > n; {
		cut.turn = (cut.turn + 1) % len(cut.tags)
		named := place
		named.Account = cut.tags[cut.turn]
		if _, ok := t.shares[named]; !ok {
			cut.remove(cut.turn)
			continue
		}
		out.Cut[n] = waxwingseam.AccountShare{Account: named.Account, Refused: t.Refused(now, named)}
		n++
	}
	if len(cut.tags) == 0 {
		delete(t.cut, place)
	}
	return out
}

func (c *cutAccounts) remove(i int) {
	last := len(c.tags) - 1
	c.tags[i] = c.tags[last]
	c.tags = c.tags[:last]
}
