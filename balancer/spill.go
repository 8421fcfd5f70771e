package balancer

import (
	"math"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// spillPeriod is the time between two steps of the spilled share.
	spillPeriod = 100 * time.Millisecond
	// spillMin is the share that always leaves the data centre, spillMax the most
	// that does, so that the servers of both sides are known; spillUp and
	// spillKeep are the steps.
	spillMin  = 0.02
	spillMax  = 0.95
	spillUp   = 0.05
	spillKeep = 0.85
	// spillLatency is how many times longer near calls take before they spill.
	spillLatency = 1.25
	// holdLatency is the ratio below which the share shrinks.
	holdLatency = 1.1
	// spillRefusals is by how much more of the near calls are refused.
	spillRefusals = 0.02
)

// side is what the calls within the data centre, or those out of it, came to.
type side struct {
	latency  average
	refusals average
}

func (s *side) observe(now time.Time, f waxwingseam.Feedback) {
	refused := 0.0
	if refusedForLoad(f.Result) {
		refused = 1
	}
	s.refusals.add(now, refused)
	if succeeded(f.Result) {
		s.latency.add(now, f.Elapsed.Seconds())
	}
}

// spill keeps the share of calls that leave the data centre. It moves in small
// steps on what the node's own calls came to, so that nodes do not herd.
type spill struct {
	share     float64
	next      time.Time
	near, far side
}

// step moves the share toward the side that does better.
func (s *spill) step(now time.Time) {
	if now.Before(s.next) {
		return
	}
	s.next = now.Add(spillPeriod)
	refused := s.near.refusals.value > s.far.refusals.value+spillRefusals
	switch {
	case refused || s.ratio() > spillLatency:
		s.share = min(s.share+spillUp, spillMax)
	case s.ratio() < holdLatency:
		s.share = max(s.share*spillKeep, spillMin)
	}
}

// ratio is how many times longer near calls take than far ones.
func (s *spill) ratio() float64 {
	if !s.far.latency.known() {
		return 0
	}
	return s.near.latency.value / s.far.latency.value
}

// out reports whether a call is to leave the data centre.
func (s *spill) out(c *waxwingseam.Context, random float64) bool {
	s.step(c.Now)
	return random < math.Max(s.share, spillMin)
}
