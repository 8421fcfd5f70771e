package retrier

import "waxwingseam.example/waxwingseam"

const (
	// leafRuns is how many runs of a class in a row must have made no calls until
	// the next is taken to make none: one in twenty is worth keeping a retry for.
	leafRuns = 20
	// failureStatus is the least HTTP status that counts as a failure.
	failureStatus = 500
)

// leaf reports whether the runs of a class make no calls, so that no allowance
// needs to go along with them. Load pattern: several calls of one run at once,
// of which one fails while another holds the only retry that is left.
func (r *retrier) leaf(class waxwingseam.ClassName) bool {
	return r.alone[class] >= leafRuns
}

// learn takes in whether a run of a class made calls. A failure may have come
// before the first one, and tells nothing.
func (r *retrier) learn(class waxwingseam.ClassName, result waxwingseam.Result) {
	switch {
	case result.MadeCalls:
		r.alone[class] = 0
	case result.Status < failureStatus:
		r.alone[class] = min(r.alone[class]+1, leafRuns)
	}
}
