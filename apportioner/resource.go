package apportioner

import (
	"math"
	"time"
)

const (
	// usableShare is the part of a capacity that is given out; with the rest, a queue
	// empties.
	usableShare = 0.95
	// backlogTime is the time in which waiting calls are to be served in addition to
	// the demand, and maxBacklogShare the largest part of the capacity for them.
	backlogTime     = 400 * time.Millisecond
	maxBacklogShare = 0.35
	// fullShare is the part of the slots in use from which on a server counts as full.
	fullShare = 0.9
	// shareTimeConstant smooths the refused shares.
	shareTimeConstant = 100 * time.Millisecond
	// cautiousDeviations is how many standard deviations are left off the demand while
	// nothing waits, to tell a shortage from chance. A queue of certainQueueTime is
	// certain enough.
	cautiousDeviations = 2
	certainQueueTime   = 50 * time.Millisecond
	// minRoots is how many recent roots are needed to estimate a demand.
	minRoots        = 45
	minRefusedRoots = 2
	// negligibleRefused is the share below which none is refused.
	negligibleRefused = 0.005
	// negligibleDemand is the part of the capacity that any demand counts for at least.
	negligibleDemand = 1e-6
	// correctionTime is the time in which the capacity that is given out grows by the
	// ratio of the usable part to the part in use, while a resource that is short is not
	// in full use and nothing waits. It falls in correctionFallTime once calls wait.
	correctionTime     = 300 * time.Millisecond
	correctionFallTime = 100 * time.Millisecond
	maxCorrection      = 10
	// minUse bounds the ratio.
	minUse = 0.1
)

// supply is what a resource can give.
type supply struct {
	// capacity is per second, in the unit of the demand.
	capacity float64
	// waiting counts the waiting calls by importance, and waitingUse is what each of
	// them needs.
	waiting    []int
	waitingUse float64
	// delay is for how long calls wait that are not in waiting, in seconds.
	delay float64
	// use is the part of the capacity that is in use.
	use float64
	// unlimited is set if there is no known capacity.
	unlimited bool
}

func (s *supply) waitingCalls() int {
	sum := 0
	for _, n := range s.waiting {
		sum += n
	}
	return sum
}

// queueTime returns how long the waiting calls keep the resource busy, in seconds.
func (s *supply) queueTime() float64 {
	return s.delay + float64(s.waitingCalls())*s.waitingUse/max(s.capacity, 1)
}

// resource gives a capacity out to the demand by importance.
type resource struct {
	demands [levels]demand
	refused [levels]float64
	// correction multiplies the capacity that is given out: the demand is known late,
	// and some of it does not come.
	correction float64
	updated    time.Time
	// accounts refines the demands; nil if it is in another unit.
	accounts *[levels]accounts
}

// apportion computes the refused shares, the most important demand first. A resource
// that is not in full use, and for which no demand is refused, is not short.
func (r *resource) apportion(now time.Time, s supply) {
	short := !s.unlimited && r.known(now) && (s.use >= fullShare || r.refusing())
	elapsed := min(now.Sub(r.updated), demandTimeConstant).Seconds()
	r.updated = now
	r.correct(elapsed, &s, short)
	gain := 1 - math.Exp(-elapsed/shareTimeConstant.Seconds())
	room := usableShare * r.correction * s.capacity
	caution := cautiousDeviations * max(1-s.queueTime()/certainQueueTime.Seconds(), 0)
	backlogRoom := maxBacklogShare * s.capacity
	for i := levels - 1; i >= 0; i-- {
		if i < len(s.waiting) {
			backlog := min(float64(s.waiting[i])*s.waitingUse/backlogTime.Seconds(), backlogRoom)
			backlogRoom -= backlog
			room -= backlog
		}
		rate, deviation := r.demands[i].rate(now)
		if r.accounts != nil {
			rate, deviation = r.accounts[i].refine(rate, deviation)
		}
		if rate > 0 {
			// Few calls of a refused importance come.
			rate = max(rate-caution*deviation, negligibleDemand*s.capacity)
		}
		admitted := 1.0
		if short && rate > 0 {
			admitted = min(max(room/rate, 1-maxRefused), 1)
		}
		r.refused[i] += gain * (1 - admitted - r.refused[i])
		if admitted == 1 && r.refused[i] < negligibleRefused {
			r.refused[i] = 0
		}
		room -= rate * admitted
	}
}

// correct adapts the correction to the use of the resource.
func (r *resource) correct(elapsed float64, s *supply, short bool) {
	switch {
	case !short:
		r.correction = 1
	case s.waitingCalls() > 0 || s.use >= usableShare:
		r.correction = 1 + (r.correction-1)*math.Exp(-elapsed/correctionFallTime.Seconds())
	default:
		r.correction *= math.Pow(usableShare/max(s.use, minUse), elapsed/correctionTime.Seconds())
	}
	r.correction = min(max(r.correction, 1), maxCorrection)
}

// known reports whether enough roots have called recently to estimate the demand.
func (r *resource) known(now time.Time) bool {
	count := 0.0
	for i := range r.demands {
		count += r.demands[i].roots(now)
	}
	if r.refusing() {
		// Fewer come while a share is refused.
		return count >= minRefusedRoots
	}
	return count >= minRoots
}

// refusing reports whether a share is refused.
func (r *resource) refusing() bool {
	for _, share := range r.refused {
		if share > 0 {
			return true
		}
	}
	return false
}
