package admitter

import "waxwingseam.example/waxwingseam"

// minLeafRuns is the number of runs in a row without calls after which a class
// counts as one that makes none.
const minLeafRuns = 16

// leafClasses counts, by class, the runs since the last one that made a call. The
// limit on roots follows the queues below the roots. It does not apply to classes
// that make no calls: there is no queue below them, and the limit would follow only
// the changes of their demand.
type leafClasses map[waxwingseam.ClassName]int

// observe records a run that did not fail.
func (l leafClasses) observe(class waxwingseam.ClassName, madeCalls bool) {
	if madeCalls {
		l[class] = 0
		return
	}
	l[class] = min(l[class]+1, minLeafRuns)
}

// contains reports whether the recent runs of a class made no calls.
func (l leafClasses) contains(class waxwingseam.ClassName) bool {
	return l[class] >= minLeafRuns
}
