package soaker

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// FaultClients is a mix of untrusted clients at one node.
const FaultClients Fault = "untrusted-clients"

const (
	// meanClientGap is the mean time between the starts of two mixes.
	meanClientGap = 3 * time.Second
	// mixedClients is the number of clients of a mix.
	mixedClients = 40
	// mixReopenDelay is the time after which a client whose connection was closed opens
	// another one.
	mixReopenDelay = 300 * time.Millisecond
)

// PlanClients returns the mixes of untrusted clients of a soak. The same arguments give the
// same mixes.
func PlanClients(seed uint64, duration time.Duration, nodes int) []Step {
	return planApart(rand.New(rand.NewPCG(seed, 3)), FaultClients, meanClientGap, duration, nodes)
}

// playClients runs a mix of untrusted clients at a node.
func (d *deployment) playClients(s Step) {
	ctx, cancel := context.WithTimeout(context.Background(), s.Duration)
	defer cancel()
	trial := ClientTrial{Seed: d.config.Seed ^ uint64(s.At), ReopenDelay: mixReopenDelay, key: d.accounts.key(accountOpen)}
	var group sync.WaitGroup
	for n := range mixedClients {
		group.Go(func() { trial.playClient(ctx, d.hosts[s.Target], ClientKind{Name: "mix", play: playMix}, n) })
	}
	group.Wait()
}
