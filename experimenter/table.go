package experimenter

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
)

// WriteTable writes the reports of one case as a table, one row per layer, and the slot
// time of each service as another. Goodput is in percent of the saturation, which is in
// roots per second, slot time in percent of a service's usable slot time.
func WriteTable(out io.Writer, c Case, saturation float64, reports []Report) error {
	lines := append(make([]string, 0, 1+len(reports)), header)
	for _, r := range reports {
		lines = append(lines, row(r, saturation))
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, err := fmt.Fprintf(w, "%s, %s: saturation %.0f roots/s\n%s\n\n",
		c.Config.Deployment.Name, c.Name, saturation, strings.Join(lines, "\n"))
	if err != nil {
		return trace.Wrap(err)
	}
	if err := w.Flush(); err != nil {
		return trace.Wrap(err)
	}
	lines = []string{boundHeader}
	for _, r := range reports {
		lines = append(lines, boundRow(r))
	}
	if _, err := fmt.Fprintf(w, "%s\n\n", strings.Join(lines, "\n")); err != nil {
		return trace.Wrap(err)
	}
	if err := w.Flush(); err != nil {
		return trace.Wrap(err)
	}
	lines = []string{slotTimeHeader}
	for _, r := range reports {
		for _, s := range r.SlotTimes {
			lines = append(lines, slotTimeRow(r, s))
		}
	}
	if _, err := fmt.Fprintf(w, "%s\n\n", strings.Join(lines, "\n")); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(w.Flush())
}

// boundHeader names the columns of the table of shares, in percent of the requests of each
// class issued during the trigger.
const boundHeader = "shares by class\ton time\tbound"

func boundRow(r Report) string {
	return fmt.Sprintf("%s\t%s\t%s", r.Layer, shares(r.OnTimeByKind, r.IssuedByKind), shares(r.BoundByKind, r.IssuedByKind))
}

func shares(rates, of []float64) string {
	texts := make([]string, 0, len(rates))
	for i, v := range rates {
		texts = append(texts, fmt.Sprintf("%.0f", 100*v/max(of[i], 1e-9)))
	}
	return strings.Join(texts, "/")
}

// slotTimeHeader names the columns of the table of slot time.
const slotTimeHeader = "slot time by class\tservice\tin time\tlate\tlost\tidle while refused"

func slotTimeRow(r Report, s SlotTime) string {
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s", r.Layer, s.Service,
		slotShares(s.InTime, s.Usable), slotShares(s.Late, s.Usable), slotShares(s.Lost, s.Usable), slotShares(s.Idle, s.Usable))
}

func slotShares(times []time.Duration, usable time.Duration) string {
	seconds := make([]float64, 0, len(times))
	for _, v := range times {
		seconds = append(seconds, v.Seconds())
	}
	return percentages(seconds, max(usable.Seconds(), 1e-9))
}

// header names the columns.
const header = "layer\tgoodput\tby class\trecovery\twasted\tattempts/root\trefused by class\tfailed\tinversions\tovertaken\tp99"

func row(r Report, saturation float64) string {
	return fmt.Sprintf("%s\t%.0f%%\t%s\t%s\t%.1f%%\t%.2f\t%s\t%d\t%d\t%d\t%v",
		r.Layer, 100*r.Goodput/saturation, percentages(r.ByKind, saturation), recovery(r),
		100*r.Wasted, r.AttemptsPerRoot, counts(r.Refusals), r.Failures, r.Inversions, r.Overtaken,
		r.P99.Round(time.Millisecond))
}

func percentages(rates []float64, saturation float64) string {
	texts := make([]string, 0, len(rates))
	for _, v := range rates {
		texts = append(texts, fmt.Sprintf("%.0f", 100*v/saturation))
	}
	return strings.Join(texts, "/")
}

func counts(numbers []int) string {
	texts := make([]string, 0, len(numbers))
	for _, n := range numbers {
		texts = append(texts, fmt.Sprint(n))
	}
	return strings.Join(texts, "/")
}

func recovery(r Report) string {
	if !r.Recovered {
		return "none"
	}
	return fmt.Sprintf("%.1fs", r.Recovery.Seconds())
}
