package retrier

import "waxwingseam.example/waxwingseam"

const (
	// leafRuns is how many runs of a class in a row must have made no calls until
	// the next is taken to make none: one in twenty is worth keeping a retry for.
	leafRuns = 20
	// belowGain is the weight of one more run in the usual count of calls.
	belowGain = 0.05
)

// tree is what was seen of the calls below the runs of a class.
type tree struct {
	// alone counts the runs in a row that made no calls.
	alone int
	// below is the usual count of the calls below a run.
	below float64
}

func (r *retrier) tree(class waxwingseam.ClassName) *tree {
	t, ok := r.trees[class]
	if !ok {
		t = &tree{}
		r.trees[class] = t
	}
	return t
}

// IsLeafClass implements waxwingseam.Retrier. No allowance needs to go along with a
// leaf. Load pattern: several calls of one run at once, of which one fails while
// another holds the only retry that is left.
func (r *retrier) IsLeafClass(class waxwingseam.ClassName) bool {
	return r.tree(class).alone >= leafRuns
}

// learn takes in how many calls a run of a class made. A failure may have come
// before the first one, and tells nothing.
func (t *tree) learn(result waxwingseam.Result) {
	if result.Failed() {
		return
	}
	t.below += belowGain * (float64(result.CallsBelow) - t.below)
	t.alone = min(t.alone+1, leafRuns)
	if result.CallsBelow > 0 {
		t.alone = 0
	}
}

// cost is what a retry takes out of the budget, in hundredths: a run that is
// repeated makes its calls again. Load pattern: servers that fail while each
// request makes many calls further down, where there is least room.
func (r *retrier) cost(q waxwingseam.RetryQuestion) int {
	if q.Result.Outcome == waxwingseam.OutcomeDidNotRun {
		return retryCost
	}
	t := r.tree(q.Call.Class)
	return min(int((1+t.below)*retryCost), maxRetries*retryCost)
}
