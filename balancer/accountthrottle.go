package balancer

import (
	"maps"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// minAccountOffers is how many recent calls of an account are needed to throttle the
	// account by itself. With 5, the first rejections of one account hold back others.
	minAccountOffers = 1.5
	// maxAccountThrottles bounds the accounts that are throttled by themselves.
	maxAccountThrottles = 1024
	// accountThrottleLifetime is how long the throttle of an account is kept after its
	// last call.
	accountThrottleLifetime = 10 * time.Second
)

// accountThrottles throttles each account by the rejections of its own calls, so that the
// rejections of one that sends too much do not hold back others. The accounts with few
// calls share the throttle of the service.
type accountThrottles map[waxwingseam.AccountTag]*throttle

// of returns the throttle of an account's calls: its own, or that of the service.
func (a accountThrottles) of(now time.Time, account waxwingseam.AccountName, service *throttle) *throttle {
	t, ok := a[account.Tag()]
	if !ok {
		return service
	}
	t.decay(now)
	if t.totalOffers < minAccountOffers {
		return service
	}
	return t
}

// offer counts a call of an account.
func (a accountThrottles) offer(now time.Time, account waxwingseam.AccountName, r waxwingseam.Rank) {
	tag := account.Tag()
	t, ok := a[tag]
	if !ok {
		if len(a) >= maxAccountThrottles {
			maps.DeleteFunc(a, func(_ waxwingseam.AccountTag, t *throttle) bool {
				return now.Sub(t.updated) >= accountThrottleLifetime
			})
		}
		if len(a) >= maxAccountThrottles {
			return
		}
		t = &throttle{config: serviceThrottleConfig}
		a[tag] = t
	}
	t.offer(now, r)
}

// throttleOf returns the throttle that holds for a query.
func (p *pool) throttleOf(now time.Time, q *waxwingseam.Query) *throttle {
	if q.Account == "" {
		return &p.throttle
	}
	return p.accountThrottles.of(now, q.Account, &p.throttle)
}

// admitAccount counts an offered call and reports whether the throttles let it out.
func (p *pool) admitAccount(now time.Time, q *waxwingseam.Query) bool {
	t := p.throttleOf(now, q)
	if t == &p.throttle && q.Account != "" {
		p.accountThrottles.offer(now, q.Account, q.Rank)
	}
	return t.admit(now, q.Rank)
}
