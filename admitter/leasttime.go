package admitter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// An estimate moves towards a longer run by the difference divided by
	// shortTimeRiseDivisor, and towards a shorter one by the difference divided
	// by shortTimeFallDivisor. It settles where about one run in ten is shorter.
	shortTimeRiseDivisor = 64
	shortTimeFallDivisor = 8
)

// shortRunTimes estimates, by class, a time that few runs fall below. It
// includes the calls that a run makes, but not their time in queues. Calls that
// cannot meet their deadlines are refused by this estimate and not by the
// average time. Under overload, the average exceeds short deadlines. If all
// calls of a class were then refused, no further run of the class would lower
// its average again.
type shortRunTimes map[waxwingseam.ClassName]time.Duration

// observe updates the estimate of a class with the time of a run that did not
// fail.
func (s shortRunTimes) observe(class waxwingseam.ClassName, elapsed time.Duration) {
	shortTime, ok := s[class]
	switch {
	case !ok:
		s[class] = elapsed
	case elapsed < shortTime:
		s[class] = shortTime - (shortTime-elapsed)/shortTimeFallDivisor
	default:
		s[class] = shortTime + (elapsed-shortTime)/shortTimeRiseDivisor
	}
}
