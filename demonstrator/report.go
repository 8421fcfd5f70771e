package demonstrator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/imitator"
	"waxwingseam.example/waxwingseam/launcher"
)

const (
	// windowWidth is the width of the time windows in which requests are counted.
	windowWidth = 500 * time.Millisecond
	// recoveredShare is the smallest share of completed requests that counts as
	// recovered, as a fraction of the share before the surge.
	recoveredShare = 0.95
	// percentFactor converts a share to a percentage.
	percentFactor = 100
)

// KindReport counts the requests of one kind that began during the surge.
type KindReport struct {
	Name      string
	Offered   int
	Completed int
	// DidNotRun, MayHaveRun and Other count the requests that did not complete, by
	// the answer to their last try.
	DidNotRun  int
	MayHaveRun int
	Other      int
}

// Report is the result of one part of a demonstration.
type Report struct {
	WithLayer  bool
	Deployment string
	// Goodput is the rate of completed requests that began during the surge, as a
	// fraction of saturation.
	Goodput float64
	// Recovery is the time from the end of the surge until the share of completed
	// requests reaches at least recoveredShare of the share before the surge, and
	// stays there until the end. It is valid if Recovered is set.
	Recovery  time.Duration
	Recovered bool
	// TriesPerRequest is the mean number of tries that callers made for a request.
	TriesPerRequest float64
	// RunsPerRequest is the mean number of runs at the stand-ins for a request.
	RunsPerRequest float64
	// RanTwice counts, for each service, the POST requests that ran more than once
	// there. No POST request is repeatable.
	RanTwice int
	// Wasted is the share of runs whose requests failed.
	Wasted float64
	Kinds  []KindReport
	// Audit lists the broken guarantees. It is nil if there are none, and without
	// the layer.
	Audit error
	// Completed counts the completed requests by the time window in which they
	// began.
	Completed []int
}

// answerIdentity returns the fields of an answer that identify the request, or a
// fixed text if the data is not an answer.
func answerIdentity(data []byte) string {
	var answer imitator.Answer
	if err := json.Unmarshal(data, &answer); err != nil {
		return "not an answer"
	}
	return fmt.Sprintf("%s %s %d", answer.Path, answer.Tag, answer.BodyDigest)
}

// newReport computes a report from the outcomes of the load and the runs of the
// stand-ins.
func newReport(f *launcher.Fleet, l *load, withLayer bool) Report {
	r := Report{
		WithLayer:  withLayer,
		Deployment: l.deployment.Name,
		Completed:  make([]int, l.schedule.duration/windowWidth),
	}
	offered := make([]int, len(r.Completed))
	done := map[string]bool{}
	tries := 0
	for _, k := range l.deployment.Requests {
		r.Kinds = append(r.Kinds, KindReport{Name: k.Name})
	}
	for _, o := range l.outcomes {
		tries += o.tries
		done[o.tag] = o.succeeded
		n := min(int(o.began/windowWidth), len(offered)-1)
		offered[n]++
		if o.succeeded {
			r.Completed[n]++
		}
		if o.began >= l.schedule.surgeStart && o.began < l.schedule.surgeEnd {
			r.Kinds[o.kind].add(o)
		}
	}
	r.TriesPerRequest = float64(tries) / float64(max(len(l.outcomes), 1))
	r.measureGoodput(l.schedule)
	r.measureRecovery(l.schedule, offered)
	r.measureRuns(f, done)
	return r
}

func (k *KindReport) add(o outcome) {
	k.Offered++
	switch {
	case o.succeeded:
		k.Completed++
	case o.lastResult == waxwingseam.OutcomeDidNotRun.String():
		k.DidNotRun++
	case o.lastResult == waxwingseam.OutcomeMayHaveRun.String():
		k.MayHaveRun++
	default:
		k.Other++
	}
}

func (r *Report) measureGoodput(s schedule) {
	completed := 0
	for _, k := range r.Kinds {
		completed += k.Completed
	}
	r.Goodput = float64(completed) / (s.surgeEnd - s.surgeStart).Seconds() / s.saturation
}

// measureRecovery sets the recovery to the first window after the surge from which
// the share of completed requests stays at or above recoveredShare of the share
// before the surge.
func (r *Report) measureRecovery(s schedule, offered []int) {
	before := share(r.Completed, offered, 0, int(s.surgeStart/windowWidth))
	first := int(s.surgeEnd / windowWidth)
	recovered := len(offered)
	for n := len(offered) - 1; n >= first; n-- {
		if share(r.Completed, offered, n, n+1) < recoveredShare*before {
			break
		}
		recovered = n
	}
	r.Recovered = recovered < len(offered)
	r.Recovery = time.Duration(recovered)*windowWidth - s.surgeEnd
}

// share returns the share of completed requests in the windows from (included) to
// to (excluded), or 1 if no request was offered in them.
func share(completed, offered []int, from, to int) float64 {
	completedSum, offeredSum := 0, 0
	for n := from; n < to; n++ {
		completedSum += completed[n]
		offeredSum += offered[n]
	}
	if offeredSum == 0 {
		return 1
	}
	return float64(completedSum) / float64(offeredSum)
}

// measureRuns sets the numbers that are derived from the runs of the stand-ins.
func (r *Report) measureRuns(f *launcher.Fleet, done map[string]bool) {
	runs, wasted := 0, 0
	runsByKey := map[runKey]int{}
	for _, s := range f.StandIns {
		for _, v := range s.Ledger().Runs() {
			runs++
			if !done[v.Tag] {
				wasted++
			}
			if v.Method == http.MethodPost {
				runsByKey[runKey{s.Service.Name, v.Tag}]++
			}
		}
	}
	for _, n := range runsByKey {
		if n > 1 {
			r.RanTwice++
		}
	}
	r.RunsPerRequest = float64(runs) / float64(max(len(done), 1))
	r.Wasted = float64(wasted) / float64(max(runs, 1))
}

// runKey identifies a request at one service.
type runKey struct {
	service waxwingseam.ServiceName
	tag     string
}

// tableRow is one row of the first table that Print writes. It has a value for each
// report.
type tableRow struct {
	name  string
	value func(r Report) string
}

// tableRows lists the rows of the first table.
var tableRows = []tableRow{
	{"layer", Report.layerText},
	{"goodput in the surge, % of saturation", func(r Report) string { return percent(r.Goodput) }},
	{"recovery after the surge", Report.recoveryText},
	{"callers' tries per request", func(r Report) string { return fmt.Sprintf("%.2f", r.TriesPerRequest) }},
	{"runs at backend servers per request", func(r Report) string { return fmt.Sprintf("%.2f", r.RunsPerRequest) }},
	{"not-repeatable requests run twice", func(r Report) string { return fmt.Sprint(r.RanTwice) }},
	{"runs for requests that failed, %", func(r Report) string { return percent(r.Wasted) }},
	{"broken guarantees found by the audit", Report.auditText},
}

// Print writes two tables: one with a column for each report, and one with a row
// for each report and kind of request.
func Print(w io.Writer, reports []Report) error {
	var b strings.Builder
	for _, v := range tableRows {
		b.WriteString(v.name)
		for _, r := range reports {
			b.WriteString("\t" + v.value(r))
		}
		b.WriteString("\n")
	}
	b.WriteString("\nrequests begun in the surge\tlayer\toffered\tcompleted\tdid-not-run\tmay-have-run\tother\n")
	for _, r := range reports {
		for _, k := range r.Kinds {
			fmt.Fprintf(&b, "%s\t%s\t%d\t%d\t%d\t%d\t%d\n", k.Name, r.layerText(), k.Offered, k.Completed, k.DidNotRun, k.MayHaveRun, k.Other)
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(t, b.String()); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(t.Flush())
}

func (r Report) layerText() string {
	if r.WithLayer {
		return "on"
	}
	return "off"
}

func (r Report) recoveryText() string {
	if !r.Recovered {
		return "not within the demonstration"
	}
	return r.Recovery.String()
}

func (r Report) auditText() string {
	if !r.WithLayer {
		return "not audited"
	}
	if r.Audit == nil {
		return "none"
	}
	return r.Audit.Error()
}

func percent(share float64) string {
	return fmt.Sprintf("%.1f", percentFactor*share)
}

// Failed reports whether a part with the layer broke a guarantee.
func Failed(reports []Report) bool {
	return slices.ContainsFunc(reports, func(r Report) bool {
		return r.WithLayer && (r.Audit != nil || r.RanTwice > 0)
	})
}
