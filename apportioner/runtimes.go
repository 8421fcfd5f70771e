package apportioner

import (
	"maps"
	"math"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// runTimeDivisor divides the difference of a run from the mean time of its class
	// that is added to the mean.
	runTimeDivisor = 32
	// minSlowdownTime is the least time in which the weight of a run falls to 1/e in the
	// slowdown; slowdownRuns mean times of a run are longer for slow services.
	minSlowdownTime = 250 * time.Millisecond
	slowdownRuns    = 3
	// maxSlowdown bounds the slowdown, which is unknown while no run ends.
	maxSlowdown = 10
	// minSlowdown is the slowdown that is told from chance.
	minSlowdown = 1.5
)

// runTimes holds the mean time for which the runs of each class hold a slot.
type runTimes struct {
	byClass map[waxwingseam.ClassName]runTime
	// mean is that of the runs of all classes.
	mean time.Duration
	// held is the time for which runs held slots, and expected the sum of the mean
	// times of the ended runs, both in seconds; older ones weigh less.
	held     float64
	expected float64
	updated  time.Time
}

// runTime is the mean time of a class.
type runTime struct {
	updated time.Time
	mean    time.Duration
}

func newRunTimes() runTimes {
	return runTimes{byClass: map[waxwingseam.ClassName]runTime{}}
}

// observe records an ended run.
func (r *runTimes) observe(now time.Time, class waxwingseam.ClassName, slotTime time.Duration) {
	v, ok := r.byClass[class]
	if !ok {
		maps.DeleteFunc(r.byClass, func(_ waxwingseam.ClassName, v runTime) bool { return now.Sub(v.updated) >= classLifetime })
		v.mean = slotTime
	}
	r.decay(now, 0)
	r.expected += v.mean.Seconds()
	r.byClass[class] = runTime{updated: now, mean: v.mean + (slotTime-v.mean)/runTimeDivisor}
	if r.mean == 0 {
		r.mean = slotTime
	}
	r.mean += (slotTime - r.mean) / runTimeDivisor
}

// observeRunning records how many runs are in progress.
func (r *runTimes) observeRunning(now time.Time, running int) {
	r.decay(now, running)
}

func (r *runTimes) decay(now time.Time, running int) {
	elapsed := now.Sub(r.updated)
	timeConstant := max(minSlowdownTime, slowdownRuns*r.mean)
	if running > 0 && !r.updated.IsZero() {
		r.held += float64(running) * min(elapsed, timeConstant).Seconds()
	}
	if running == 0 {
		return
	}
	r.updated = now
	factor := math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
	r.held *= factor
	r.expected *= factor
}

// slowdown returns how much longer runs hold slots at present than the mean of the
// ended runs tells, at least 1. It shows before the first slow runs have ended.
func (r *runTimes) slowdown() float64 {
	if r.expected <= 0 {
		return 1
	}
	slowdown := r.held / r.expected
	if slowdown < minSlowdown {
		return 1
	}
	return min(slowdown, maxSlowdown)
}

// of returns the mean time of a class, or that of all classes before its first run.
func (r *runTimes) of(class waxwingseam.ClassName) time.Duration {
	if v, ok := r.byClass[class]; ok {
		return v.mean
	}
	return r.mean
}
