package receiver

import (
	"maps"
	"math"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// accountRefusalTime is the time in which the weight of an offered root of an account
	// falls to 1/e. It is longer than that of a class, as fewer roots come.
	accountRefusalTime = time.Second
	// minAccountRoots is how many recent roots of an account are needed to tell their
	// refused share. Accounts with fewer are seldom refused, as they are below the
	// fair level.
	minAccountRoots = 10
	// accountRefusalLifetime is how long an account is remembered after its last root.
	accountRefusalLifetime = 10 * time.Second
)

// accountClass identifies the roots of one class and account.
type accountClass struct {
	class   waxwingseam.ClassName
	account waxwingseam.AccountName
}

// accountRefusals tracks the same as rootRefusals by client account: the calls below a
// root stand for those of its own account only.
type accountRefusals struct {
	byClass map[accountClass]*refusalShare
	swept   time.Time
}

func (a *accountRefusals) observe(now time.Time, key accountClass, refused bool) {
	s, ok := a.byClass[key]
	if !ok {
		a.sweep(now)
		s = &refusalShare{}
		a.byClass[key] = s
	}
	weight := math.Exp(-max(now.Sub(s.updated), 0).Seconds() / accountRefusalTime.Seconds())
	s.updated = now
	s.offered = s.offered*weight + 1
	s.refused *= weight
	if refused {
		s.refused++
	}
}

func (a *accountRefusals) sweep(now time.Time) {
	if a.byClass == nil {
		a.byClass = map[accountClass]*refusalShare{}
	}
	if now.Sub(a.swept) < accountRefusalLifetime {
		return
	}
	a.swept = now
	maps.DeleteFunc(a.byClass, func(_ accountClass, s *refusalShare) bool {
		return now.Sub(s.updated) >= accountRefusalLifetime
	})
}

// add returns the refused share of the roots of an account, of which a share had been
// refused before the others arrived here.
func (a *accountRefusals) add(before waxwingseam.Permille, key accountClass) waxwingseam.Permille {
	s, ok := a.byClass[key]
	if !ok || s.offered < minAccountRoots {
		return before
	}
	return waxwingseam.PermilleOf(1 - (1-before.Share())*(1-s.refused/s.offered))
}

// observeRoot records that a root was started or refused.
func (r *receiver) observeRoot(c *waxwingseam.Context, header *waxwingseam.Call, refused bool) {
	if header.Account != "" {
		r.accountRefusals.observe(c.Now, accountClass{header.Class, header.Account}, refused)
		return
	}
	r.rootRefusals.observe(c.Now, header.Class, refused)
}

// refusedInAll returns the refused share of the roots that a root stands for.
func (r *receiver) refusedInAll(header *waxwingseam.Call) waxwingseam.Permille {
	if header.Account != "" {
		return r.accountRefusals.add(header.RefusedPermille, accountClass{header.Class, header.Account})
	}
	return r.rootRefusals.add(header.RefusedPermille, header.Class)
}

// statedShares returns the share of the roots of a call that first nodes should refuse,
// for this server and those below it, and what an answer says of other accounts.
func (r *receiver) statedShares(c *waxwingseam.Context, header *waxwingseam.Call) (own, below waxwingseam.Permille, accounts waxwingseam.AccountShares) {
	place, importance := header.Place(), header.Rank.Importance
	below = r.tracker.Refused(c.Now, place)
	if len(c.Set.ClientAccounts) == 0 {
		return r.admitter.Refused(c, importance), below, accounts
	}
	own, accounts = r.admitter.RefusedAccount(c, importance, header.Account)
	for i, v := range accounts.Cut {
		if v.Account != waxwingseam.TagNone {
			place.Account = v.Account
			accounts.Cut[i].Refused = max(v.Refused, r.tracker.Refused(c.Now, place))
		}
	}
	other := r.tracker.RefusedAccounts(c.Now, header.Place())
	accounts.Others = max(accounts.Others, other.Others)
	for i, v := range accounts.Cut {
		// Of the accounts cut here and below, an answer names one each.
		if v.Account == waxwingseam.TagNone || i > 0 && other.Cut[0].Account != waxwingseam.TagNone {
			accounts.Cut[i] = other.Cut[len(other.Cut)-1-i]
		}
	}
	return own, below, accounts
}

// refusedBelow returns the share of roots that first nodes should refuse for services that
// runs of a call make calls to: of any account.
func (r *receiver) refusedBelow(c *waxwingseam.Context, header *waxwingseam.Call) waxwingseam.Permille {
	place := header.Place()
	if len(c.Set.ClientAccounts) > 0 {
		place.Account = waxwingseam.TagAny
	}
	return r.tracker.Refused(c.Now, place)
}
