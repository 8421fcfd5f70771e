package experimenter

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"waxwingseam.example/waxwingseam"
)

const (
	// maxLatency bounds the latencies told apart.
	maxLatency = time.Minute
	// latencyDigits is the precision of latencies in significant digits.
	latencyDigits = 3
)

// tally counts what comes of the demand.
type tally struct {
	requests []*request
	roots    []*root
	latency  *hdrhistogram.Histogram
	// served counts served requests by completion in the trigger's time.
	served []int
	// refusals counts roots refused, by kind of request.
	refusals   []int
	failures   int
	inversions int
	overtaken  int
}

func (t *tally) requested(r *request) {
	t.requests = append(t.requests, r)
}

func (t *tally) sent(r *root) {
	t.roots = append(t.roots, r)
}

// ended counts the end of a root, as its caller sees it.
func (t *tally) ended(w *World, r *root, result waxwingseam.Result) {
	mixes := len(w.config.Deployment.RequestKinds)
	if t.served == nil {
		t.served = make([]int, mixes)
		t.refusals = make([]int, mixes)
		t.latency = hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
	}
	if !succeeded(result) {
		if result.Outcome == waxwingseam.OutcomeDidNotRun {
			t.refusals[r.request.mix]++
		} else {
			t.failures++
		}
		return
	}
	r.served = true
	took := w.agenda.now.Sub(r.sent)
	_ = t.latency.RecordValue(min(took, maxLatency).Microseconds())
	if r.request.done {
		return
	}
	r.request.done = true
	if since := w.Elapsed(); since >= w.config.TriggerStart && since < w.config.TriggerEnd {
		t.served[r.request.mix]++
	}
}

// answered looks for inversions: a call refused for overload at a server that,
// since the call's arrival, started a less important one. Where that one is
// deeper in its chain, its root was admitted before, and the call was only
// overtaken.
func (t *tally) answered(n *Node, call *callState, in inbound, result waxwingseam.Result) {
	if result.Outcome != waxwingseam.OutcomeDidNotRun || !overload(result.Reason) || call == nil {
		return
	}
	overtaken := false
	for i := range int(call.root.mix.Importance) {
		for d, event := range n.started[i] {
			if event <= in.arrived {
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

func overload(r waxwingseam.Reason) bool {
	switch r {
	case waxwingseam.ReasonOverloaded, waxwingseam.ReasonEvicted, waxwingseam.ReasonWaitLimit:
		return true
	}
	return false
}
