package apportioner

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the time in which the weight of a call falls to 1/e.
	demandTimeConstant = 250 * time.Millisecond
	// longTimeConstant replaces it as far as fewer than enoughCalls arrive in it.
	longTimeConstant = 750 * time.Millisecond
	enoughCalls      = 40
)

// demand estimates the demand of one importance for a resource. A call whose root was
// admitted while a share r of the roots was refused counts 1/(1-r) times (Horvitz and
// Thompson, 1952), so that the estimate does not depend on what first nodes refuse.
type demand struct {
	short decayingSum
	long  decayingSum
}

func (d *demand) add(now time.Time, use, weight float64) {
	d.short.add(now, demandTimeConstant, use*weight)
	d.long.add(now, longTimeConstant, use*weight)
}

// rate returns the demand per second and its standard deviation, if calls arrive
// independently of each other.
func (d *demand) rate(now time.Time) (rate, deviation float64) {
	d.short.decay(now, demandTimeConstant)
	d.long.decay(now, longTimeConstant)
	share := min(d.short.count/enoughCalls, 1)
	short, long := demandTimeConstant.Seconds(), longTimeConstant.Seconds()
	rate = share*d.short.sum/short + (1-share)*d.long.sum/long
	deviation = share*math.Sqrt(d.short.squares/2)/short + (1-share)*math.Sqrt(d.long.squares/2)/long
	return rate, deviation
}

// roots returns the number of recent roots.
func (d *demand) roots(now time.Time) float64 {
	d.long.decay(now, longTimeConstant)
	return d.long.count
}

// decayingSum sums values; older ones weigh less.
type decayingSum struct {
	updated time.Time
	count   float64
	sum     float64
	squares float64
}

func (s *decayingSum) decay(now time.Time, timeConstant time.Duration) {
	elapsed := now.Sub(s.updated)
	if elapsed <= 0 {
		return
	}
	s.updated = now
	factor := math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
	s.count *= factor
	s.sum *= factor
	s.squares *= factor
}

func (s *decayingSum) add(now time.Time, timeConstant time.Duration, value float64) {
	s.decay(now, timeConstant)
	s.count++
	s.sum += value
	s.squares += value * value
}
