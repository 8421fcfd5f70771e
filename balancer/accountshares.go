package balancer

import (
	"maps"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// expectedNames and the lifetimes of the share of an account replace those of a place:
	// it is named by chance, so that three times the mean time would often pass without
	// it, and an account that is no longer cut is named, too.
	expectedNames           = 8
	minAccountShareLifetime = 2 * time.Second
	maxAccountShareLifetime = 4 * time.Second
	// maxAccountShares bounds the shares of accounts that are kept for a service. At the
	// bound, accounts without one count as the others.
	maxAccountShares = 4096
	// accountShareLifetime is how long the share of an account is kept after the last
	// answer that named it.
	accountShareLifetime = 20 * time.Second
)

func feedbackPlace(f *waxwingseam.Feedback) waxwingseam.Place {
	return waxwingseam.Place{Class: f.Class, Importance: f.Rank.Importance, Depth: f.Depth, Account: f.Account.Tag()}
}

// of returns what is known of the share of a place: for an account without a share of its
// own, that of the others. It returns nil if nothing is known.
func (s shares) of(place waxwingseam.Place) *share {
	if v, ok := s[place]; ok {
		return v
	}
	if place.Account <= waxwingseam.TagAny {
		return nil
	}
	place.Account = waxwingseam.TagOthers
	return s[place]
}

// observeAccounts records what an answer says of the accounts of a place. While all shares
// are 0, an account takes no memory.
func (s shares) observeAccounts(now time.Time, f *waxwingseam.Feedback) {
	place, named := feedbackPlace(f), &f.Result.Accounts
	observe := func(tag waxwingseam.AccountTag, value waxwingseam.Permille, create bool) {
		place.Account = tag
		_, ok := s[place]
		if ok || create && s.room(now) {
			s.observeShare(now, place, value)
		}
	}
	largest := max(f.Result.RefusedPermille, named.Largest())
	observe(f.Account.Tag(), f.Result.RefusedPermille, largest > 0)
	observe(waxwingseam.TagAny, largest, largest > 0)
	observe(waxwingseam.TagOthers, named.Others, largest > 0)
	for _, v := range named.Cut {
		if v.Account > waxwingseam.TagAny && v.Account != f.Account.Tag() {
			observe(v.Account, v.Refused, v.Refused > 0)
		}
	}
}

// room reports whether the share of another account can be kept.
func (s shares) room(now time.Time) bool {
	if len(s) < maxAccountShares {
		return true
	}
	maps.DeleteFunc(s, func(place waxwingseam.Place, v *share) bool {
		return place.Account != waxwingseam.TagNone && now.Sub(v.updated) >= accountShareLifetime
	})
	return len(s) < maxAccountShares
}

// lifetime returns how long a share of a place holds without a further answer.
func (v *share) lifetime(place waxwingseam.Place) time.Duration {
	if place.Account > waxwingseam.TagAny {
		return min(max(expectedNames*v.interval, minAccountShareLifetime), maxAccountShareLifetime)
	}
	return min(max(expectedAnswers*v.interval, minShareLifetime), maxShareLifetime)
}

// rest returns the share that an account has once its own is too old: that of the others.
func (s shares) rest(now time.Time, place waxwingseam.Place) float64 {
	if place.Account <= waxwingseam.TagAny {
		return 0
	}
	place.Account = waxwingseam.TagOthers
	return s.refused(now, place)
}
