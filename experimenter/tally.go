package experimenter

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"waxwingseam.example/waxwingseam"
)

const (
	// maxLatency is the highest latency recorded; longer ones count as this.
	maxLatency = time.Minute
	// latencyDigits is the precision of latencies in significant digits.
	latencyDigits = 3
)

// tally collects the results of one run.
type tally struct {
	requests []*request
	roots    []*root
	latency  *hdrhistogram.Histogram
	// served counts the requests served during the trigger, by kind.
	served []int
	// onTime counts those of them that met their objective.
	onTime []int
	// refusals counts the refused roots, by kind of request.
	refusals []int
	// refusalReasons counts the refused roots by reason.
	refusalReasons map[waxwingseam.Reason]int
	failures       int
	inversions     int
	overtaken      int
	slots          slotTally
	// supplies holds what the servers offered in each step of the trigger.
	supplies []*supply
}

func (t *tally) addRequest(r *request) {
	t.requests = append(t.requests, r)
}

func (t *tally) addRoot(r *root) {
	t.roots = append(t.roots, r)
}

// rootEnded records the answer to a root at its caller.
func (t *tally) rootEnded(w *World, r *root, result waxwingseam.Result) {
	kinds := len(w.config.Deployment.RequestKinds)
	if t.served == nil {
		t.served = make([]int, kinds)
		t.onTime = make([]int, kinds)
		t.refusals = make([]int, kinds)
		t.refusalReasons = map[waxwingseam.Reason]int{}
		t.latency = hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
	}
	if !succeeded(result) {
		if result.Outcome == waxwingseam.OutcomeDidNotRun || result.RefusedBelow {
			t.slots.countRefusal(w, r.request)
		}
		if result.Outcome == waxwingseam.OutcomeDidNotRun {
			t.refusals[r.request.kind]++
			t.refusalReasons[result.Reason]++
		} else {
			t.failures++
		}
		return
	}
	r.served = true
	r.fate = late
	limit := r.kind.Objective
	if limit == 0 {
		limit = r.kind.Deadline
	}
	if w.scheduler.now.Sub(r.request.issued) <= limit {
		r.fate = inTime
	}
	latency := w.scheduler.now.Sub(r.sent)
	_ = t.latency.RecordValue(min(latency, maxLatency).Microseconds())
	if r.request.served {
		return
	}
	r.request.served = true
	r.request.onTime = r.kind.Objective == 0 || w.scheduler.now.Sub(r.request.issued) <= r.kind.Objective
	r.request.answered = w.scheduler.now
	if elapsed := w.Elapsed(); elapsed >= w.config.TriggerStart && elapsed < w.config.TriggerEnd {
		t.served[r.request.kind]++
		if r.request.onTime {
			t.onTime[r.request.kind]++
		}
	}
}

// countInversion counts an inversion if a server refuses a call for overload
// and, since the call's arrival, has started a less important one. If only
// deeper ones were started, their roots were admitted earlier, and the call
// counts as overtaken.
func (t *tally) countInversion(n *Node, call *callState, in inbound, result waxwingseam.Result) {
	if result.Outcome != waxwingseam.OutcomeDidNotRun || !isOverload(result.Reason) || call == nil {
		return
	}
	overtaken := false
	for i := range int(call.root.kind.Importance) {
		for d, event := range n.lastStart[i] {
			if event <= in.eventsAtArrival {
				continue
			}
			if d <= int(in.depth) {
				t.inversions++
				return
			}
			overtaken = true
		}
	}
	if overtaken {
		t.overtaken++
	}
}

func isOverload(r waxwingseam.Reason) bool {
	switch r {
	case waxwingseam.ReasonOverloaded, waxwingseam.ReasonEvicted, waxwingseam.ReasonWaitLimit:
		return true
	}
	return false
}
