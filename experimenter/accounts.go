package experimenter

import (
	"cmp"
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

// Account is a client account with its part of the demand.
type Account struct {
	Name   waxwingseam.AccountName
	Weight float64
	// Share is the account's part of the demand, and SurgeShare its part during the
	// trigger, relative to other accounts.
	Share      float64
	SurgeShare float64
	// Resends replaces that of the demand if it is larger.
	Resends int
	// OneNode makes the account's callers send to one node.
	OneNode bool
}

// accounts holds the accounts of a run.
type accounts struct {
	list []Account
	// usual and surge are the cumulative shares.
	usual, surge []float64
	// unnamed makes nodes treat all requests as those of no account.
	unnamed bool
}

func newAccounts(c *Config) accounts {
	a := accounts{list: c.Accounts, unnamed: c.UnnamedAccounts}
	var usual, surge float64
	for _, v := range c.Accounts {
		usual += v.Share
		surge += v.SurgeShare
		a.usual, a.surge = append(a.usual, usual), append(a.surge, surge)
	}
	return a
}

// addTo adds the accounts to a configuration.
func (a *accounts) addTo(s *waxwingseam.Set) {
	if a.unnamed {
		return
	}
	for _, v := range a.list {
		s.ClientAccounts = append(s.ClientAccounts, waxwingseam.ClientAccount{
			Name: v.Name, Weight: v.Weight, KeyDigests: []waxwingseam.KeyDigest{waxwingseam.DigestKey(string(v.Name))},
		})
	}
}

// pick returns the index of the account of a new request.
func (a *accounts) pick(w *World) int {
	if len(a.list) == 0 {
		return 0
	}
	sums := a.usual
	if elapsed := w.Elapsed(); elapsed >= w.config.TriggerStart && elapsed < w.config.TriggerEnd {
		sums = a.surge
	}
	at := w.random.Float64() * sums[len(sums)-1]
	i, _ := slices.BinarySearchFunc(sums, at, cmp.Compare)
	return min(i, len(sums)-1)
}

// node returns the node to which an account's callers send; nil for any.
func (a *accounts) node(w *World, account int) *Node {
	if account >= len(a.list) || !a.list[account].OneNode {
		return nil
	}
	return w.nodes[account%len(w.nodes)]
}

// resends returns how often the callers of an account resend a request.
func (a *accounts) resends(w *World, account int) int {
	n := w.config.Demand.Resends
	if account < len(a.list) {
		n = max(n, a.list[account].Resends)
	}
	return n
}

// key returns the digest of the key of an account; zero without one.
func (a *accounts) key(account int) (digest waxwingseam.KeyDigest) {
	if account < len(a.list) && !a.unnamed {
		return waxwingseam.DigestKey(string(a.list[account].Name))
	}
	return digest
}

// AccountReport is what became of the requests of one account during a time.
type AccountReport struct {
	Account
	// Issued and Served count requests; Part is how many the account would be served by
	// weighted max-min fairness.
	Issued, Served, Part float64
}

// reportAccounts returns a report for each account on the requests issued in [from, to),
// which divides what was served in all.
func (w *World) reportAccounts(from, to time.Duration) []AccountReport {
	out := make([]AccountReport, len(w.accounts.list))
	for i := range out {
		out[i].Account = w.accounts.list[i]
	}
	for _, q := range w.tally.requests {
		if at := q.issued.Sub(w.startTime); at < from || at >= to {
			continue
		}
		out[q.account].Issued++
		if q.served {
			out[q.account].Served++
		}
	}
	capacity := 0.0
	for _, r := range out {
		capacity += r.Served
	}
	divide(out, capacity)
	return out
}

// divide computes the parts by water filling.
func divide(reports []AccountReport, capacity float64) {
	order := make([]*AccountReport, len(reports))
	weights := 0.0
	for i := range reports {
		order[i] = &reports[i]
		weights += reports[i].Weight
	}
	slices.SortFunc(order, func(a, b *AccountReport) int { return cmp.Compare(a.Issued/a.Weight, b.Issued/b.Weight) })
	for _, r := range order {
		r.Part = min(r.Issued, capacity*r.Weight/weights)
		capacity -= r.Part
		weights -= r.Weight
	}
}
