package admitter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// An estimate moves towards a longer run by the difference divided by
	// minTimeRiseDivisor, and towards a shorter one by the difference divided
	// by minTimeFallDivisor. It settles where about one run in ten is shorter.
	minTimeRiseDivisor = 64
	minTimeFallDivisor = 8
)

// minRunTimes estimates, by class, the minimum time of a run, including the
// calls that it makes but not their time in queues. Calls that cannot meet
// their deadlines are refused by this estimate and not by the average time:
// under overload, the average exceeds short deadlines, and a server that then
// refused all calls of the classes concerned would observe no shorter run to
// lower the average again.
type minRunTimes map[waxwingseam.ClassName]time.Duration

// observe updates the estimate of a class with the time of a run that did not
// fail.
func (m minRunTimes) observe(class waxwingseam.ClassName, elapsed time.Duration) {
	minTime, ok := m[class]
	switch {
	case !ok:
		m[class] = elapsed
	case elapsed < minTime:
		m[class] = minTime - (minTime-elapsed)/minTimeFallDivisor
	default:
		m[class] = minTime + (elapsed-minTime)/minTimeRiseDivisor
	}
}
