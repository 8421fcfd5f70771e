package dispatcher

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// timeoutPeriod is how long the longest timeout of a class is remembered, at least.
	timeoutPeriod = 10 * time.Second
	// minAgeDivisor divides the objective to give the least age of a late root. Timeouts
	// of callers who send for the first time differ a little.
	minAgeDivisor = 10
	// runTimeGain is the weight of the newest root in the mean time of a class.
	runTimeGain = 0.1
)

// lateness tells which roots can't meet the latency objective of their class any more,
// because their callers were refused before. It answers a long surge in which refused
// callers return: what they get then is late, and takes the place of a request that
// could be on time.
//
// Callers of a class wait for about the same time in all, and send what is left of it.
// The longest of the recent timeouts is thus that of a request that is sent for the
// first time, and the difference to it is the time since the first sending. Callers who
// send no timeout are never late.
type lateness map[waxwingseam.ClassName]*classTimes

type classTimes struct {
	objective time.Duration
	// longest and longestBefore are the longest timeouts of the current period and of
	// the one before.
	longest, longestBefore time.Duration
	periodStart            time.Time
	// runTime is the mean time of the roots that were served.
	runTime time.Duration
}

// late notes the timeout of a root and reports whether the root is late.
func (l lateness) late(now time.Time, class waxwingseam.RequestClass, timeout time.Duration) bool {
	if timeout <= 0 || class.Objective <= 0 {
		return false
	}
	t, ok := l[class.Name]
	if !ok {
		t = &classTimes{periodStart: now}
		l[class.Name] = t
	}
	t.objective = class.Objective
	if now.Sub(t.periodStart) >= timeoutPeriod {
		t.longest, t.longestBefore = 0, t.longest
		t.periodStart = now
	}
	t.longest = max(t.longest, timeout)
	age := max(t.longest, t.longestBefore) - timeout
	return age > t.objective/minAgeDivisor && age+t.runTime > t.objective
}

// served notes how long a root took that was served.
func (l lateness) served(class waxwingseam.ClassName, elapsed time.Duration) {
	t, ok := l[class]
	if !ok {
		return
	}
	// A root that took longer than the objective says nothing of those that come first.
	elapsed = min(elapsed, t.objective)
	if t.runTime == 0 {
		t.runTime = elapsed
	}
	t.runTime += time.Duration(runTimeGain * float64(elapsed-t.runTime))
}

// adopt removes the classes that a configuration no longer has.
func (l lateness) adopt(set *waxwingseam.Set) {
	for name := range l {
		if _, ok := set.RequestClass(name); !ok {
			delete(l, name)
		}
	}
}
