// Package pacer limits the rate at which calls are handed to a backend server.
package pacer

import (
	"math"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// minRate is the lowest rate in force. A server that names a lower limit still
	// gets calls, since only its answers tell when the limit ends.
	minRate = 0.25
	// burstTime times the rate is the number of calls that may follow each other
	// without spacing, but at least one.
	burstTime = 250 * time.Millisecond
)

// pacer is a token bucket.
type pacer struct {
	limited bool
	rate    float64
	// tokens is the number of calls that may be handed over at the time updated. It
	// is negative after calls that were handed over without a token.
	tokens  float64
	updated time.Time
}

// New returns a pacer without a limit.
func New() waxwingseam.Pacer {
	return &pacer{}
}

// SetLimit implements waxwingseam.Pacer.
func (p *pacer) SetLimit(now time.Time, rate float64) {
	if p.limited {
		p.refill(now)
	} else {
		p.limited, p.tokens, p.updated = true, 0, now
	}
	p.rate = max(rate, minRate)
	p.tokens = min(p.tokens, p.burst())
}

// Unlimit implements waxwingseam.Pacer.
func (p *pacer) Unlimit() {
	p.limited = false
}

// Limited implements waxwingseam.Pacer.
func (p *pacer) Limited() bool {
	return p.limited
}

// Take implements waxwingseam.Pacer.
func (p *pacer) Take(now time.Time) {
	if !p.limited {
		return
	}
	p.refill(now)
	p.tokens--
}

// Delay implements waxwingseam.Pacer.
func (p *pacer) Delay(now time.Time, n int) time.Duration {
	if !p.limited {
		return 0
	}
	p.refill(now)
	missing := float64(n) - p.tokens
	if missing <= tolerance {
		return 0
	}
	return time.Duration(math.Ceil(missing / p.rate * float64(time.Second)))
}

// tolerance is the part of a token that rounding may take.
const tolerance = 1e-6

// refill adds the tokens of the time since the last update. A clock that was set
// back adds none.
func (p *pacer) refill(now time.Time) {
	if elapsed := now.Sub(p.updated); elapsed > 0 {
		p.tokens = min(p.tokens+elapsed.Seconds()*p.rate, p.burst())
	}
	p.updated = now
}

// burst returns the largest number of tokens.
func (p *pacer) burst() float64 {
	return max(p.rate*burstTime.Seconds(), 1)
}
