package balancer

import (
	"math"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// spillPeriod is the time between two steps of the spilled share.
	spillPeriod = 100 * time.Millisecond
	// spillMin is the share that always leaves the data centre, so that the
	// servers elsewhere are known; spillUp and spillDown are the steps.
	spillMin  = 0.02
	spillUp   = 0.05
	spillDown = 0.02
	// spillLatency is how many times longer near calls take before they spill.
	spillLatency = 1.25
	// spillRefusals is by how much more of the near calls are refused.
	spillRefusals = 0.02
	// sideGain is the weight of one more end in what is known of a side.
	sideGain = 0.05
)

// side is what the calls within the data centre, or those out of it, came to.
type side struct {
	latency  float64
	refusals float64
	known    bool
}

func (s *side) observe(f waxwingseam.Feedback) {
	refused := 0.0
	if refusedForLoad(f.Result) {
		refused = 1
	}
	s.refusals += sideGain * (refused - s.refusals)
	if !succeeded(f.Result) {
		return
	}
	elapsed := f.Elapsed.Seconds()
	if !s.known {
		s.latency = elapsed
	}
	s.known = true
	s.latency += sideGain * (elapsed - s.latency)
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
	slower := s.far.known && s.near.latency > spillLatency*s.far.latency
	refused := s.near.refusals > s.far.refusals+spillRefusals
	if slower || refused {
		s.share = min(s.share+spillUp, 1)
		return
	}
	s.share = max(s.share-spillDown, spillMin)
}

// out reports whether a call is to leave the data centre.
func (s *spill) out(c *waxwingseam.Context, random float64) bool {
	s.step(c.Now)
	return random < math.Max(s.share, spillMin)
}
