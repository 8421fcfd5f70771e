package soaker

import (
	"context"
	"encoding/hex"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"waxwingseam.example/waxwingseam"
)

// The client accounts of a soak.
const (
	// accountOpen has no limit, so that ordinary callers and untrusted clients, which hold its
	// key, are served as without accounts.
	accountOpen waxwingseam.AccountName = "open"
	// accountWide has a limit above what its callers send, and no fault concerns it.
	accountWide waxwingseam.AccountName = "wide"
	// accountSurging sends surgeFactor times as much during FaultAccountSurge.
	accountSurging waxwingseam.AccountName = "surging"
	// accountLowered has a lower limit during FaultLimitLowered.
	accountLowered waxwingseam.AccountName = "lowered"
	// accountRevoked loses one of its two keys during FaultKeyRemoved.
	accountRevoked waxwingseam.AccountName = "revoked"
)

// The kinds of faults that concern client accounts.
const (
	FaultAccountSurge Fault = "account-surge"
	FaultLimitLowered Fault = "limit-lowered"
	FaultKeyRemoved   Fault = "key-removed"
)

const (
	surgeFactor = 10
	// accountBodyBytes is the length of the bodies of the accounts' own callers.
	accountBodyBytes = 200
	// loweredRate is the rate, and the burst, of accountLowered during FaultLimitLowered.
	// Its callers send some ten times as much.
	loweredRate = 2
	// meanAccountGap is the mean time between the end of a fault and the next one of its kind.
	meanAccountGap = time.Second
	keyBytes       = 16
	// accountPlanStream is the random stream of PlanAccounts, and keyStream that of the keys.
	accountPlanStream = 2000
	keyStream         = 2001
	// accountCallerStream is added to the stream of an account's own caller.
	accountCallerStream = 3000
)

// accountProfile describes an account and its own callers.
type accountProfile struct {
	name waxwingseam.AccountName
	// rate is in requests per second, and also the burst; 0 for no limit.
	rate float64
	// callers is the number of own callers at each desk node, and think the mean time
	// between two requests of one.
	callers int
	think   time.Duration
}

// accountProfiles returns the accounts. The limits are 1.6 times what their callers send with
// answers that take no time.
func accountProfiles() []accountProfile {
	return []accountProfile{
		{name: accountOpen},
		{name: accountWide, rate: 48, callers: 1, think: 100 * time.Millisecond},
		{name: accountSurging, rate: 16, callers: 6, think: 1800 * time.Millisecond},
		{name: accountLowered, rate: 160, callers: 2, think: 60 * time.Millisecond},
		{name: accountRevoked, callers: 1, think: 100 * time.Millisecond},
	}
}

// PlanAccounts returns the faults of a soak that concern client accounts. The same arguments
// give the same faults. Lowered limits last longer than the window of 5 s after which they
// bind, and removed keys longer than removalTime.
func PlanAccounts(seed uint64, duration time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, accountPlanStream))
	var steps []Step
	// A surge lasts about as long as those of the measured load, 5 to 6 s.
	for _, v := range []struct {
		fault    Fault
		shortest time.Duration
		spread   time.Duration
	}{
		{FaultAccountSurge, 5 * time.Second, time.Second},
		{FaultLimitLowered, 8 * time.Second, 2 * time.Second},
		{FaultKeyRemoved, 6 * time.Second, 2 * time.Second},
	} {
		for at := time.Duration(random.Int64N(int64(meanAccountGap))); at < duration; at += time.Duration(random.Int64N(int64(2 * meanAccountGap))) {
			s := Step{At: at, Fault: v.fault, Duration: v.shortest + time.Duration(random.Int64N(int64(v.spread)))}
			steps = append(steps, s)
			at += s.Duration
		}
	}
	return steps
}

// limitSpan is a time in which a limit binds an account; open ends are unbounded.
type limitSpan struct {
	interval
	account waxwingseam.AccountName
	// rate is in requests per second, and also the burst.
	rate float64
}

// accounts holds the keys and the state of the client accounts. A nil value stands for a
// deployment without accounts.
type accounts struct {
	keys map[waxwingseam.AccountName]string
	// removable is the key that accountRevoked loses for a time, and unknown a key that no
	// set holds.
	removable, unknown string

	// serial serializes the faults of each kind.
	serial map[Fault]*sync.Mutex

	mu sync.Mutex
	// lowered, removed and surging say which faults are in effect.
	lowered, removed, surging bool
	spans                     []limitSpan
	// removals are the times from the acceptance of a set without the removable key to the
	// submission of one that holds it again.
	removals []interval
}

func newAccounts(seed uint64) *accounts {
	random := rand.New(rand.NewPCG(seed, keyStream))
	newKey := func() string {
		data := make([]byte, keyBytes)
		for i := range data {
			data[i] = byte(random.Uint32())
		}
		return "soak-" + hex.EncodeToString(data)
	}
	a := &accounts{
		keys: map[waxwingseam.AccountName]string{}, removable: newKey(), unknown: newKey(),
		serial: map[Fault]*sync.Mutex{FaultAccountSurge: {}, FaultLimitLowered: {}, FaultKeyRemoved: {}},
	}
	for _, p := range accountProfiles() {
		a.keys[p.name] = newKey()
		if p.rate > 0 {
			a.spans = append(a.spans, limitSpan{account: p.name, rate: p.rate})
		}
	}
	return a
}

// key returns the key of an account that is never removed; empty without accounts.
func (a *accounts) key(name waxwingseam.AccountName) string {
	if a == nil {
		return ""
	}
	return a.keys[name]
}

// secrets returns all keys that callers send.
func (a *accounts) secrets() []string {
	return append(slices.Collect(maps.Values(a.keys)), a.removable, a.unknown)
}

// objects returns the objects of the accounts in their present state.
func (a *accounts) objects() []byte {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	var text []byte
	for _, p := range accountProfiles() {
		keys, rate := a.keys[p.name], p.rate
		if p.name == accountRevoked && !a.removed {
			keys += ", " + a.removable
		}
		if p.name == accountLowered && a.lowered {
			rate = loweredRate
		}
		text = fmt.Appendf(text, "[client-account %s]\nkeys = %s\nrate = %g\nburst = %g\n", p.name, keys, rate, rate)
	}
	return text
}

// set sets one of the states.
func (a *accounts) set(state *bool, value bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	*state = value
}

// setKey sets the key of a request, if it has one.
func setKey(header http.Header, key string) {
	if key != "" {
		header.Set("Authorization", "Bearer "+key)
	}
}

// disturbAccounts applies a fault of the client accounts and returns when it has ended.
func (s *soak) disturbAccounts(ctx context.Context, step Step) {
	a := s.deployment.accounts
	a.serial[step.Fault].Lock()
	defer a.serial[step.Fault].Unlock()
	switch step.Fault {
	case FaultAccountSurge:
		a.set(&a.surging, true)
		time.Sleep(step.Duration)
		a.set(&a.surging, false)
	case FaultLimitLowered:
		revision := s.changeAccounts(ctx, step, &a.lowered, true)
		end := time.Now().Add(step.Duration)
		from := s.awaitNodes(ctx, revision, end)
		time.Sleep(time.Until(end))
		to := time.Now()
		s.changeAccounts(ctx, step, &a.lowered, false)
		if !from.IsZero() {
			a.mu.Lock()
			a.spans = append(a.spans, limitSpan{interval{from.Add(accountWindow), to}, accountLowered, loweredRate})
			a.mu.Unlock()
		}
	case FaultKeyRemoved:
		s.changeAccounts(ctx, step, &a.removed, true)
		from := time.Now()
		time.Sleep(step.Duration)
		to := time.Now()
		s.changeAccounts(ctx, step, &a.removed, false)
		a.mu.Lock()
		a.removals = append(a.removals, interval{from, to})
		a.mu.Unlock()
	}
}

// changeAccounts sets a state and submits sets until one with it is accepted. It returns the
// revision. Sets of other operators may bring the state into force earlier.
func (s *soak) changeAccounts(ctx context.Context, step Step, state *bool, value bool) waxwingseam.Revision {
	s.deployment.accounts.set(state, value)
	random := rand.New(rand.NewPCG(s.deployment.config.Seed, uint64(step.At)))
	for ctx.Err() == nil {
		if revision := s.operators.submit(ctx, random); revision > 0 {
			return revision
		}
		time.Sleep(pollInterval)
	}
	return 0
}

// awaitNodes waits until a replica knows that all nodes have a revision or a later one, and
// returns when it was known; zero if it was not in time.
func (s *soak) awaitNodes(ctx context.Context, revision waxwingseam.Revision, deadline time.Time) time.Time {
	for n := 0; ctx.Err() == nil && time.Now().Before(deadline); n++ {
		status, err := withTimeout(ctx, s.deployment.replicas[n%replicaCount].client().Status)
		nodes, reached := 0, err == nil && status.Current
		for _, v := range status.Nodes {
			nodes += v.Nodes
			reached = reached && (v.Nodes == 0 || v.Lowest >= revision)
		}
		if reached && nodes >= len(s.deployment.hosts) {
			return time.Now()
		}
		time.Sleep(pollInterval)
	}
	return time.Time{}
}

// runAccountCallers sends the requests of the accounts' own callers at a node.
func (c *callers) runAccountCallers(ctx context.Context, h *host) {
	var group sync.WaitGroup
	for i, p := range accountProfiles() {
		for n := range p.callers {
			group.Go(func() { c.runAccountCaller(ctx, h, p, uint64(accountCallerStream+10*i+n)) })
		}
	}
	group.Wait()
}

func (c *callers) runAccountCaller(ctx context.Context, h *host, p accountProfile, number uint64) {
	a := c.deployment.accounts
	random := rand.New(rand.NewPCG(c.deployment.config.Seed, uint64(h.number)<<hostStreamShift|number))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: callTimeout}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		r := &request{
			tag:           fmt.Sprintf("%s-%s-%d-%d", p.name, h.name, number, n),
			notRepeatable: random.IntN(2) == 0,
			host:          h,
			account:       p.name,
			key:           a.key(p.name),
		}
		if p.name == accountRevoked {
			r.key = []string{r.key, r.key, a.removable, a.removable, a.unknown}[random.IntN(5)]
		}
		r.send(client, make([]byte, random.IntN(accountBodyBytes)))
		c.add(r)
		a.think(ctx, p, random.ExpFloat64())
	}
}

// think waits for a multiple of the think time of an account's callers. The start of a surge
// shortens waits that have begun.
func (a *accounts) think(ctx context.Context, p accountProfile, multiple float64) {
	for began := time.Now(); ctx.Err() == nil; {
		mean := p.think
		a.mu.Lock()
		if a.surging && p.name == accountSurging {
			mean /= surgeFactor
		}
		a.mu.Unlock()
		left := time.Duration(multiple*float64(mean)) - time.Since(began)
		if left <= 0 {
			return
		}
		time.Sleep(min(left, pollInterval))
	}
}
