package dispatcher

import (
	"math"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// chanceTimeConstant is the time in which the weight of a root's result falls to 1/e.
	chanceTimeConstant = 500 * time.Millisecond
	// minChance is the chance of success below which the roots of a class are refused. Of
	// roots that need four calls, 0.04 succeed while 0.55 of all calls are refused, of those
	// that need eight 0.002.
	minChance = 0.02
	// minFailures is the number of recent failures needed to tell a chance.
	minFailures = 4
	// probeInterval is the time between two roots that are sent although their class has
	// no chance, so that a recovery is noticed within half a second.
	probeInterval = 100 * time.Millisecond
	// closedTime is how long a class stays refused without a result of a probe.
	closedTime = time.Second
	// callsGain is the weight of the newest success in the mean number of calls.
	callsGain = 0.05
)

// chances estimates the chance of success of the roots of each class while backend servers
// further down refuse a share of all calls whatever their load. A root that needs many calls
// then fails after most of its work is done, nearly always. The chance follows from the
// share of calls that are refused, which a few failed roots tell, and the number of calls
// that roots of the class usually make: waiting for successes that are rare takes longer
// than the refusals last.
type chances map[waxwingseam.ClassName]*chance

type chance struct {
	// calls is the mean number of calls of the roots that succeeded.
	calls   float64
	updated time.Time
	// failures counts the recent roots that failed because a call was refused, made the
	// calls that all recent roots made.
	failures float64
	made     float64
	// closed is set while roots are refused; probed is when the last one was sent.
	closed bool
	probed time.Time
}

// observe records how a root of a class ended. Its failure counts if a call below it was
// refused and no service asks to refuse roots for lack of capacity.
func (s chances) observe(now time.Time, class waxwingseam.ClassName, result waxwingseam.Result, short bool) {
	v, ok := s[class]
	if !ok {
		if result.CallsBelow == 0 {
			return
		}
		v = &chance{}
		s[class] = v
	}
	v.decay(now)
	made := float64(result.CallsBelow)
	switch {
	case result.Succeeded():
		if v.calls == 0 {
			v.calls = made
		}
		v.calls += callsGain * (made - v.calls)
		v.made += made
		if v.closed {
			*v = chance{calls: v.calls, updated: now}
		}
	case result.RefusedBelow && !short:
		v.made += max(made, 1)
		v.failures++
		if v.upperBound() < minChance {
			v.closed = true
		}
	}
}

func (v *chance) decay(now time.Time) {
	weight := math.Exp(-max(now.Sub(v.updated), 0).Seconds() / chanceTimeConstant.Seconds())
	if v.closed && now.Sub(v.updated) > closedTime {
		v.closed = false
	}
	v.updated = now
	v.failures *= weight
	v.made *= weight
}

// upperBound returns the chance of success if the share of the refused calls is a standard
// deviation lower than it seems.
func (v *chance) upperBound() float64 {
	if v.failures < minFailures {
		return 1
	}
	refused := min(v.failures/v.made, 1)
	deviation := math.Sqrt(refused * (1 - refused) / v.made)
	return math.Pow(1-max(refused-deviation, 0), v.calls)
}

// admits reports whether a root of a class is sent: there is a chance that it succeeds, or
// it is a probe.
func (s chances) admits(now time.Time, class waxwingseam.ClassName) bool {
	v, ok := s[class]
	if !ok || !v.closed || now.Sub(v.updated) > closedTime {
		return true
	}
	if now.Sub(v.probed) < probeInterval {
		return false
	}
	v.probed = now
	return true
}

// adopt removes the classes that a configuration no longer has.
func (s chances) adopt(set *waxwingseam.Set) {
	for name := range s {
		if _, ok := set.RequestClass(name); !ok {
			delete(s, name)
		}
	}
}
