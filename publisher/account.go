package publisher

import (
	"cmp"
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// usageLifetime is how long the tally of a watcher counts. Watchers send one every
	// 2 s while they answer roots of client accounts.
	usageLifetime = 5 * time.Second
	// usageInterval is the time between two sums that are sent to another replica.
	usageInterval = 2 * time.Second
	// maxUsages bounds the accounts in a sum; the others are added together. At 18
	// replicas, sums are below 400 KB/s at each of them.
	maxUsages = 1000
)

// UsageSummary sums up the use of client accounts over the nodes that watch one replica.
type UsageSummary struct {
	// Nodes counts the nodes that have answered roots of client accounts.
	Nodes int `cbor:"1,keyasint,omitempty" json:"nodes"`
	// Accounts lists the accounts with the most roots, ordered by name. The first one
	// names no account if it stands for the others.
	Accounts []waxwingseam.AccountUsage `cbor:"2,keyasint,omitempty" json:"accounts"`
}

// AddUsages returns the sum of several summaries, ordered by name.
func AddUsages(summaries ...UsageSummary) UsageSummary {
	var sum UsageSummary
	byName := map[waxwingseam.AccountName]*waxwingseam.AccountUsage{}
	for _, s := range summaries {
		sum.Nodes += s.Nodes
		for _, u := range s.Accounts {
			if byName[u.Account] == nil {
				byName[u.Account] = &waxwingseam.AccountUsage{Account: u.Account}
			}
			byName[u.Account].Add(u)
		}
	}
	sum.Accounts = make([]waxwingseam.AccountUsage, 0, len(byName))
	for _, u := range byName {
		sum.Accounts = append(sum.Accounts, *u)
	}
	slices.SortFunc(sum.Accounts, compareUsages)
	return sum
}

func compareUsages(a, b waxwingseam.AccountUsage) int {
	return cmp.Compare(a.Account, b.Account)
}

// usageOf returns the use that a watcher's tally shows.
func usageOf(t waxwingseam.AccountTally) UsageSummary {
	seconds := t.Over.Seconds()
	if seconds <= 0 || len(t.Accounts) == 0 {
		return UsageSummary{}
	}
	out := UsageSummary{Nodes: 1, Accounts: make([]waxwingseam.AccountUsage, len(t.Accounts))}
	for i, c := range t.Accounts {
		out.Accounts[i] = waxwingseam.AccountUsage{
			Account: c.Account,
			Ran:     float64(c.Ran) / seconds,
			Refused: float64(c.Refused) / seconds,
			NotRun:  float64(c.NotRun) / seconds,
			Nodes:   1,
		}
	}
	return out
}

// AccountUsage implements Publisher.
func (p *publisher) AccountUsage() UsageSummary {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accountUsage()
}

func (p *publisher) accountUsage() UsageSummary {
	var summaries []UsageSummary
	for s := range p.sessions {
		if time.Since(s.talliedAt) <= usageLifetime {
			summaries = append(summaries, usageOf(s.tally))
		}
	}
	return AddUsages(summaries...)
}

// addUsage adds the use of client accounts to a push to another replica if it is due.
func (p *publisher) addUsage(s *session, push *Push) {
	if time.Since(s.usageSentAt) < usageInterval {
		return
	}
	if time.Since(p.usageAt) >= usageInterval/2 {
		p.usage, p.usageAt = limitUsages(p.accountUsage()), time.Now()
	}
	if p.usage.Nodes == 0 && !s.usageSent {
		return
	}
	usage := p.usage
	push.Usage = &usage
	s.usageSentAt, s.usageSent = time.Now(), usage.Nodes > 0
}

// limitUsages keeps the maxUsages accounts with the most roots and adds the others
// together.
func limitUsages(s UsageSummary) UsageSummary {
	if len(s.Accounts) <= maxUsages {
		return s
	}
	slices.SortFunc(s.Accounts, func(a, b waxwingseam.AccountUsage) int {
		return cmp.Compare(b.Ran+b.Refused+b.NotRun, a.Ran+a.Refused+a.NotRun)
	})
	var others waxwingseam.AccountUsage
	for _, u := range s.Accounts[maxUsages:] {
		others.Add(u)
	}
	kept := s.Accounts[:maxUsages]
	i := slices.IndexFunc(kept, func(u waxwingseam.AccountUsage) bool { return u.Account == "" })
	if i >= 0 {
		kept[i].Add(others)
	} else {
		kept = append(kept, others)
	}
	slices.SortFunc(kept, compareUsages)
	return UsageSummary{Nodes: s.Nodes, Accounts: kept}
}
