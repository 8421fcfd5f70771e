package balancer

import (
	"math"
	"net/http"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// sendRatio is how many calls go out for each that is accepted.
	sendRatio = 1.1
	// calmShare is the share of rejections up to which nothing is refused.
	calmShare = 0.02
	// minRejections is the count of rejections below which nothing is refused.
	minRejections = 2
	importances   = int(waxwingseam.MaxImportance) + 1
)

// pace is how fast a throttle forgets and asks again.
type pace struct {
	// memory is the time in which the counts fade.
	memory time.Duration
	// probes go out each second however many are rejected.
	probes float64
}

var (
	// servicePace is that of a service's own refusals, which cost it little.
	servicePace = pace{memory: 250 * time.Millisecond, probes: 10}
	// classPace is that of refusals further down, where each probe costs the
	// servers above them a run.
	classPace = pace{memory: 500 * time.Millisecond, probes: 5}
)

// throttle refuses calls in place of a service that would refuse them: it lets
// out a little more than are accepted, the most important first (adaptive
// throttling after Beyer et al., Site Reliability Engineering, 2016, ch. 21,
// with ranks in place of chance).
type throttle struct {
	pace     pace
	at       time.Time
	offers   [importances]float64
	accepts  float64
	rejects  float64
	offering float64
	// refusals counts the rejections by importance.
	refusals [importances]float64
}

func (t *throttle) fade(now time.Time) {
	elapsed := now.Sub(t.at)
	if elapsed <= 0 {
		return
	}
	t.at = now
	keep := math.Exp(-elapsed.Seconds() / t.pace.memory.Seconds())
	t.accepts *= keep
	t.rejects *= keep
	t.offering = 0
	for i := range t.offers {
		t.offers[i] *= keep
		t.offering += t.offers[i]
		t.refusals[i] *= keep
	}
}

func (t *throttle) accepted(now time.Time) {
	t.fade(now)
	t.accepts++
}

func (t *throttle) rejected(now time.Time, importance waxwingseam.Importance) {
	t.fade(now)
	t.rejects++
	t.refusals[level(importance)]++
}

// spared reports whether the service refuses no call of a level or above, so
// that it makes room for one whatever is offered below.
func (t *throttle) spared(level int) bool {
	refusals := 0.0
	for _, v := range t.refusals[level:] {
		refusals += v
	}
	return refusals < minRejections
}

func level(importance waxwingseam.Importance) int {
	return min(int(importance), importances-1)
}

// offer counts a call and reports whether it may be sent.
func (t *throttle) offer(now time.Time, r waxwingseam.Rank) bool {
	t.fade(now)
	level := level(r.Importance)
	t.offers[level]++
	t.offering++
	if t.calm() || t.spared(level) {
		return true
	}
	room := t.capacity()
	for i := importances - 1; i > level; i-- {
		room -= t.offers[i]
	}
	return fraction(r)*t.offers[level] < room
}

// calm reports whether too few calls are rejected to refuse any.
func (t *throttle) calm() bool {
	return t.rejects < minRejections || t.rejects < calmShare*(t.accepts+t.rejects)
}

// capacity is the calls that may be sent within the memory.
func (t *throttle) capacity() float64 {
	return sendRatio*t.accepts + t.pace.probes*t.pace.memory.Seconds()
}

// excess is how many times more calls are offered than may be sent.
func (t *throttle) excess() float64 {
	return t.offering / t.capacity()
}

// fraction places a root evenly between 0 and 1, the same at every hop.
func fraction(r waxwingseam.Rank) float64 {
	const (
		golden = 0x9e3779b97f4a7c15
		bits   = 53
	)
	mixed := r.Order * golden
	mixed = (mixed ^ mixed>>29) * golden
	return float64(mixed>>(64-bits)) / (1 << bits)
}

// refusedBelow reports whether a reply tells of a refusal further down.
func refusedBelow(r waxwingseam.Result) bool {
	switch r.Status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return r.RefusedBelow && r.Failed()
}
