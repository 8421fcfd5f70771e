// Package tallier counts the roots of each client account at one node, for the node's
// reports to control.
package tallier

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// interval is the time between two tallies. With maxAccounts, a tally takes less than
	// 3 KB/s.
	interval = 2 * time.Second
	// maxAccounts bounds the accounts that a tally names. The roots of the others are
	// counted together.
	maxAccounts = 200
)

// Config configures a Tallier.
type Config struct {
	// Now returns the time; time.Now if it is nil.
	Now func() time.Time
}

// Tallier counts answered roots. It implements runner.Observer.
type Tallier struct {
	now func() time.Time

	mu     sync.Mutex
	since  time.Time
	counts map[waxwingseam.AccountName]*waxwingseam.AccountCount
	// reported is set if the last tally named an account.
	reported bool
}

// New returns a Tallier without counts.
func New(config Config) *Tallier {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Tallier{
		now:    config.Now,
		since:  config.Now(),
		counts: map[waxwingseam.AccountName]*waxwingseam.AccountCount{},
	}
}

// Observe implements runner.Observer.
func (t *Tallier) Observe(_ waxwingseam.Event, effects []waxwingseam.Effect) {
	for _, e := range effects {
		if v, ok := e.(waxwingseam.Reply); ok && v.Account != "" {
			t.count(v)
		}
	}
}

func (t *Tallier) count(v waxwingseam.Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.counts[v.Account]
	if !ok {
		c = &waxwingseam.AccountCount{Account: v.Account}
		t.counts[v.Account] = c
	}
	switch v.AccountUse() {
	case waxwingseam.AccountRefused:
		c.Refused++
	case waxwingseam.AccountNotRun:
		c.NotRun++
	default:
		c.Ran++
	}
}

// Tally returns the counts since the last tally, the largest accounts first, if the next
// tally is due and there is news: counts, or none after a tally that had some.
func (t *Tallier) Tally() (waxwingseam.AccountTally, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	over := now.Sub(t.since)
	if over < interval {
		return waxwingseam.AccountTally{}, false
	}
	t.since = now
	before := t.reported
	t.reported = len(t.counts) > 0
	if !t.reported && !before {
		return waxwingseam.AccountTally{}, false
	}
	tally := waxwingseam.AccountTally{Over: over, Accounts: make([]waxwingseam.AccountCount, 0, len(t.counts))}
	for _, c := range t.counts {
		tally.Accounts = append(tally.Accounts, *c)
	}
	clear(t.counts)
	slices.SortFunc(tally.Accounts, func(a, b waxwingseam.AccountCount) int {
		return cmp.Or(cmp.Compare(b.Total(), a.Total()), cmp.Compare(a.Account, b.Account))
	})
	if len(tally.Accounts) > maxAccounts {
		var others waxwingseam.AccountCount
		for _, c := range tally.Accounts[maxAccounts:] {
			others.Add(c)
		}
		tally.Accounts = append(tally.Accounts[:maxAccounts], others)
	}
	return tally, true
}
