package allocator

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingseam.example/waxwingseam"
)

const (
	// window is the time over which the rule counts the requests of an account.
	window = 5 * time.Second
	// accountsPerShard sets the number of shards, which rises in powers of two within the
	// bounds. Each node has a session with the owner of each shard.
	accountsPerShard = 128
	minShards        = 2
	maxShards        = 64
	// slackRate and slackBurst are what a bucket holds beyond the burst of its account: a
	// tenth of a second of its rate, and some requests. Without them an account without a
	// burst could not have two requests at once. The rule allows for both.
	slackRate  = 0.1
	slackBurst = 5
	// samples is how many requests to the owner the use of the whole allowance beyond the
	// limit causes by sampling, on average. So the owner learns of a surge before it has
	// used a third of it, whatever the number of nodes.
	samples = 8
	// exposure is the part of a second's use that all nodes together may have admitted
	// without a report of it.
	exposure = 0.5
	// rateMemory is the time constant of the local rates.
	rateMemory = time.Second
)

// account is a client account with a limit: its object, and what this node has used.
type account struct {
	name  waxwingseam.AccountName
	id    uint32
	shard int
	rate  float64
	burst float64
	// dirty is set while the account is in the list of its session.
	dirty bool
	// used, returned, refunded and refused are not reported to the owner yet.
	used, returned, refunded, refused uint32
	// scarce is set if the owner has listed the account.
	scarce bool
	// credit may be used until creditUntil.
	credit      uint32
	creditUntil time.Time
	// askedUntil is set while the account has needed credit recently; credit is then
	// asked for ahead of demand.
	askedUntil time.Time
	// refusedUntil is until when roots are refused, as the owner has no credit.
	refusedUntil time.Time
	// shortSince is since when the owner has not granted what was needed; zero if it has.
	shortSince time.Time
	// creditAt is when the owner will have credit again.
	creditAt time.Time
	waiting  []*waiter
	// local is the rate of roots here.
	local decayed
	// offered and admitted are the rates over all nodes, as of knownAt.
	offered, admitted float64
	knownAt           time.Time
}

// slack returns what the bucket holds beyond the burst.
func (v *account) slack() float64 {
	return slackRate*v.rate + slackBurst
}

// depth returns how many requests the account may have at once.
func (v *account) depth() float64 {
	return v.burst + v.slack()
}

// windowLimit returns how many requests of the account may be in one window.
func (v *account) windowLimit() float64 {
	return v.rate*window.Seconds() + v.depth()
}

// sampling returns the probability with which an admission causes a request to the owner.
func (v *account) sampling() float64 {
	return min(1, samples/(20+1.1*v.rate))
}

// maxUnreported returns how many admissions one of n nodes may leave unreported.
func (v *account) maxUnreported(n int) uint32 {
	return 2 + uint32(math.Ceil(exposure*v.rate/float64(n)))
}

// Adopt implements waxwingseam.AccountLimiter.
func (a *Allocator) Adopt(c *waxwingseam.Context, s *waxwingseam.Set) {
	if s == a.set {
		return
	}
	a.set = s
	before := a.accounts
	a.accounts, a.byID = nil, nil
	limited := limitedAccounts(s)
	if len(limited) > 0 {
		a.accounts = make(map[waxwingseam.AccountName]*account, len(limited))
		a.byID = make(map[uint32]*account, len(limited))
	}
	count := shardCount(len(limited))
	for _, o := range limited {
		v, ok := before[o.Name]
		if !ok {
			v = &account{name: o.Name}
		}
		v.id = a.newID(o.Name)
		v.shard = int(v.id % uint32(max(count, 1)))
		v.rate, v.burst = o.Rate, o.Burst
		a.accounts[o.Name], a.byID[v.id] = v, v
	}
	a.reshard(count)
	a.admitUnlimited(c, before)
	a.wakeSoon(c)
}

// limitedAccounts returns the accounts with a limit, ordered by name.
func limitedAccounts(s *waxwingseam.Set) []waxwingseam.ClientAccount {
	var out []waxwingseam.ClientAccount
	for _, o := range s.ClientAccounts {
		if o.Rate > 0 {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(x, y waxwingseam.ClientAccount) int { return cmp.Compare(x.Name, y.Name) })
	return out
}

// newID returns the identifier of an account in messages, which is the same at all nodes
// with the same set.
func (a *Allocator) newID(name waxwingseam.AccountName) uint32 {
	id := uint32(xxhash.Sum64String(string(name)))
	for a.byID[id] != nil || id == 0 {
		id++
	}
	return id
}

// shardCount returns the number of shards for a number of accounts.
func shardCount(accounts int) int {
	if accounts == 0 {
		return 0
	}
	n := 1 << bits.Len(uint((accounts-1)/accountsPerShard))
	return min(max(n, minShards), maxShards)
}

// decayed counts what happens with an exponential decay, which yields a rate.
type decayed struct {
	sum float64
	at  time.Time
}

// add counts n at a time.
func (d *decayed) add(now time.Time, memory time.Duration, n float64) {
	d.sum = d.at0(now, memory) + n
	d.at = now
}

// rate returns the rate per second.
func (d *decayed) rate(now time.Time, memory time.Duration) float64 {
	return d.at0(now, memory) / memory.Seconds()
}

func (d *decayed) at0(now time.Time, memory time.Duration) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp(-max(now.Sub(d.at), 0).Seconds()/memory.Seconds())
}
