package experimenter

import (
	"math"
	"math/rand/v2"
	"time"
)

// Uneven describes backend servers of different and changing speed, and requests of
// different cost.
type Uneven struct {
	// Slowest and Fastest bound the speeds of the servers, which are spread evenly
	// between them; 1 is usual.
	Slowest, Fastest float64
	// SlowShare is the share of the time for which a server is slowed by SlowFactor, in
	// periods of SlowTime on average.
	SlowShare  float64
	SlowFactor float64
	SlowTime   time.Duration
	// TailShare is the share of the requests that take TailFactor times as long as the
	// others.
	TailShare  float64
	TailFactor float64
	// Swing is the relative amplitude of the demand of each data centre, over periods of
	// SwingPeriod.
	Swing       float64
	SwingPeriod time.Duration
	// StatesPace makes the backend servers state their load with each answer.
	StatesPace bool
}

// uneven is the state of an Uneven in a run. Its random source is apart from that of the
// world, so that each layer meets the same servers and costs.
type uneven struct {
	Uneven
	world  *World
	random *rand.Rand
}

func newUneven(w *World, config Uneven) *uneven {
	return &uneven{Uneven: config, world: w, random: rand.New(rand.NewPCG(w.config.Seed, 1))}
}

// MeanSpeed returns the mean speed of the servers over time.
func (u Uneven) MeanSpeed() float64 {
	slow := 1.0
	if u.SlowShare > 0 {
		slow = 1 - u.SlowShare + u.SlowShare/u.SlowFactor
	}
	return (u.Slowest + u.Fastest) / 2 * slow
}

// MeanCost returns the mean work of requests, as a multiple of the usual work.
func (u Uneven) MeanCost() float64 {
	return 1 + u.TailShare*(u.TailFactor-1)
}

// start sets the speeds of the servers.
func (u *uneven) start() {
	for i, n := range u.world.nodes {
		speed := u.Slowest
		if last := len(u.world.nodes) - 1; last > 0 {
			// Consecutive servers are in different data centres.
			speed += (u.Fastest - u.Slowest) * float64(i) / float64(last)
		}
		n.backend.usualSpeed = speed
		n.SetSpeed(speed)
		if u.SlowShare > 0 {
			u.scheduleSlow(n)
		}
	}
}

// scheduleSlow schedules the next period in which a server is slow.
func (u *uneven) scheduleSlow(n *Node) {
	length := time.Duration(float64(u.SlowTime) * (0.5 + u.random.Float64()))
	gap := time.Duration(u.random.ExpFloat64() * float64(u.SlowTime) * (1 - u.SlowShare) / u.SlowShare)
	u.world.After(gap, func() {
		n.SetSpeed(n.backend.usualSpeed / u.SlowFactor)
		u.world.After(length, func() {
			n.SetSpeed(n.backend.usualSpeed)
			u.scheduleSlow(n)
		})
	})
}

// workOf returns the work of a visit.
func (u *uneven) workOf(v *Visit) time.Duration {
	work := float64(v.Work) * (0.5 + 0.5*u.random.ExpFloat64())
	if u.random.Float64() < u.TailShare {
		work *= u.TailFactor
	}
	return max(time.Duration(work), 1)
}

// nodeOf returns the index of the node to which a caller sends, of n nodes.
func (u *uneven) nodeOf(n int) int {
	for {
		i := u.random.IntN(n)
		if u.Swing == 0 {
			return i
		}
		phase := 2 * math.Pi * (u.world.Elapsed().Seconds()/u.SwingPeriod.Seconds() + float64(i%dataCentres)/dataCentres)
		if u.random.Float64() < (1+u.Swing*math.Sin(phase))/(1+u.Swing) {
			return i
		}
	}
}
