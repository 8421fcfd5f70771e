package retrier

import "waxwingseam.example/waxwingseam"

const (
	// minLeafRuns is the number of successive runs without calls after which a
	// class counts as a leaf class. A class in which every twentieth run makes
	// calls still gets an allowance.
	minLeafRuns = 20
	// callsBelowWeight is the weight of one more run in the mean number of
	// calls.
	callsBelowWeight = 0.05
)

// classCalls describes the calls below the runs of a class.
type classCalls struct {
	// leafRuns is the number of successive runs without calls, up to
	// minLeafRuns.
	leafRuns int
	// meanCallsBelow is the moving average of the number of calls below a run.
	meanCallsBelow float64
}

func (r *retrier) classCalls(class waxwingseam.ClassName) *classCalls {
	c, ok := r.callsByClass[class]
	if !ok {
		c = &classCalls{}
		r.callsByClass[class] = c
	}
	return c
}

// IsLeafClass implements waxwingseam.Retrier. A call of a leaf class is sent
// without allowance, because its run makes no calls that could spend it.
// Otherwise, of several concurrent calls of one run, one may fail while another
// has the only remaining retry.
func (r *retrier) IsLeafClass(class waxwingseam.ClassName) bool {
	return r.classCalls(class).leafRuns >= minLeafRuns
}

// observe updates the counts from the result of a run. It ignores a failure,
// which may have occurred before the first call of the run.
func (c *classCalls) observe(result waxwingseam.Result) {
	if result.Failed() {
		return
	}
	c.meanCallsBelow += callsBelowWeight * (float64(result.CallsBelow) - c.meanCallsBelow)
	c.leafRuns = min(c.leafRuns+1, minLeafRuns)
	if result.CallsBelow > 0 {
		c.leafRuns = 0
	}
}

// cost returns the cost of a retry in hundredths of a retry: one retry, plus one
// for each call that the repeated run is expected to make again. After an attempt
// that did not run, it is one retry. This protects services further down, which
// have the least spare capacity, while servers fail whose requests make many
// calls to them.
func (r *retrier) cost(q waxwingseam.RetryQuestion) int {
	if q.Result.Outcome == waxwingseam.OutcomeDidNotRun {
		return retryCost
	}
	c := r.classCalls(q.Call.Class)
	return min(int((1+c.meanCallsBelow)*retryCost), maxRetries*retryCost)
}
