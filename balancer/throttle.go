package balancer

import (
	"math"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// sendRatio is how many calls are sent for each call that is accepted.
	sendRatio = 1.1
	// toleratedRejectionShare is the share of rejections that causes no refusals.
	toleratedRejectionShare = 0.02
	// minRejections is the count of rejections below which no call is refused.
	minRejections    = 2
	importanceLevels = int(waxwingseam.MaxImportance) + 1
)

// throttleConfig sets how fast a throttle reacts to rejections and to recovery.
type throttleConfig struct {
	// timeConstant is the time in which the counts decay to 1/e.
	timeConstant time.Duration
	// probesPerSecond is the rate of calls that are sent however many are rejected.
	probesPerSecond float64
}

// serviceThrottleConfig is for rejections by the nodes of a service, which cost them
// little.
var serviceThrottleConfig = throttleConfig{timeConstant: 250 * time.Millisecond, probesPerSecond: 10}

// throttle refuses calls in place of a service that would refuse them. It sends
// slightly more calls than are accepted, the most important first (adaptive
// throttling after Beyer et al., Site Reliability Engineering, 2016, ch. 21, by
// rank instead of at random).
type throttle struct {
	config        throttleConfig
	updated       time.Time
	offersByLevel [importanceLevels]float64
	accepts       float64
	rejects       float64
	totalOffers   float64
	// rejectsByLevel counts the rejections by importance.
	rejectsByLevel [importanceLevels]float64
}

func (t *throttle) decay(now time.Time) {
	elapsed := now.Sub(t.updated)
	if elapsed <= 0 {
		return
	}
	t.updated = now
	factor := math.Exp(-elapsed.Seconds() / t.config.timeConstant.Seconds())
	t.accepts *= factor
	t.rejects *= factor
	t.totalOffers = 0
	for i := range t.offersByLevel {
		t.offersByLevel[i] *= factor
		t.totalOffers += t.offersByLevel[i]
		t.rejectsByLevel[i] *= factor
	}
}

func (t *throttle) accepted(now time.Time) {
	t.decay(now)
	t.accepts++
}

func (t *throttle) rejected(now time.Time, importance waxwingseam.Importance) {
	t.decay(now)
	t.rejects++
	t.rejectsByLevel[level(importance)]++
}

// rejectsFew reports whether the service rejects almost no calls of a level or
// above, so that it has room for another call of that level regardless of the
// calls below it.
func (t *throttle) rejectsFew(level int) bool {
	rejects := 0.0
	for _, v := range t.rejectsByLevel[level:] {
		rejects += v
	}
	return rejects < minRejections
}

func level(importance waxwingseam.Importance) int {
	return min(int(importance), importanceLevels-1)
}

// admit counts an offered call and reports whether it may be sent.
func (t *throttle) admit(now time.Time, r waxwingseam.Rank) bool {
	t.offer(now, r)
	return t.covers(r)
}

// hasRoom reports what admit does, without counting the call.
func (t *throttle) hasRoom(now time.Time, r waxwingseam.Rank) bool {
	t.decay(now)
	offers := &t.offersByLevel[level(r.Importance)]
	*offers++
	defer func() { *offers-- }()
	return t.covers(r)
}

// covers reports whether a call that has been counted may be sent.
func (t *throttle) covers(r waxwingseam.Rank) bool {
	level := level(r.Importance)
	if t.fewRejections() || t.rejectsFew(level) {
		return true
	}
	room := t.capacity()
	for i := importanceLevels - 1; i > level; i-- {
		room -= t.offersByLevel[i]
	}
	return r.Fraction()*t.offersByLevel[level] < room
}

// offer counts an offered call.
func (t *throttle) offer(now time.Time, r waxwingseam.Rank) {
	t.decay(now)
	t.offersByLevel[level(r.Importance)]++
	t.totalOffers++
}

// fewRejections reports whether too few calls are rejected to refuse any.
func (t *throttle) fewRejections() bool {
	return t.rejects < minRejections || t.rejects < toleratedRejectionShare*(t.accepts+t.rejects)
}

// capacity returns how many calls may be sent within the time constant.
func (t *throttle) capacity() float64 {
	return sendRatio*t.accepts + t.config.probesPerSecond*t.config.timeConstant.Seconds()
}

// offerRatio returns the ratio of offered calls to calls that may be sent.
func (t *throttle) offerRatio() float64 {
	return t.totalOffers / t.capacity()
}
