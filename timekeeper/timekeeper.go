// Package timekeeper measures the latency that the system adds to a call. It
// applies the same load to a stand-in twice: directly, and through two nodes.
package timekeeper

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"
	vegeta "github.com/tsenart/vegeta/v12/lib"

	"waxwingseam.example/waxwingseam/launcher"
)

const (
	// maxLatency is the largest latency that the histograms record; calls that
	// take longer are left out.
	maxLatency = 10 * time.Second
	// significantFigures is the precision of the histograms in decimal digits.
	significantFigures = 3
	// warmUpDuration is how long load is applied before each measurement.
	warmUpDuration = time.Second
)

// configuration has one service and one request class.
const configuration = `
[service echo]
slots = 200
connections = 400
[retry-limit none]
allowance = 0
[wait-limit usual]
wait = 250ms
waiting = 100
[request-class echoes]
service = echo
path = /{rest...}
importance = 5
repeat = idempotent
deadline = 5s
retry-limit = none
wait-limit = usual
`

// Config describes a measurement.
type Config struct {
	// Rate is the number of calls per second.
	Rate int
	// Duration is how long each of the two loads is measured, after a warm-up.
	Duration time.Duration
	// ServiceTime is the mean service time of the stand-in.
	ServiceTime time.Duration
}

// Measurement holds the results of one load.
type Measurement struct {
	Name string
	// Latencies holds the latencies of the calls that succeeded, in nanoseconds.
	Latencies *hdrhistogram.Histogram
	// Failed counts the calls that failed.
	Failed int
}

// Run measures a stand-in directly, then through its own node and another one.
func Run(ctx context.Context, config Config) ([]Measurement, error) {
	folder, err := os.MkdirTemp("", "waxwingseam-overhead-")
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	ctx, cancel := context.WithCancel(ctx)
	fleet, err := launcher.Start(ctx, launcher.Config{
		Objects:   []byte(configuration),
		Services:  []launcher.Service{{Name: "echo", Servers: 2, Slots: 200, ServiceTime: config.ServiceTime}},
		Folder:    folder,
		WithLayer: true,
	})
	if err != nil {
		cancel()
		return nil, trace.Wrap(err)
	}
	first := fleet.StandIns[0]
	measurements := []Measurement{
		config.load("directly to the stand-in", "http://"+first.Address().String()+"/a"),
		config.load("through the nodes", "http://"+first.Entry.String()+"/echo/a"),
	}
	cancel()
	return measurements, trace.Wrap(fleet.Wait())
}

// load sends requests at a constant rate and records their latencies.
func (c Config) load(name, url string) Measurement {
	measurement := Measurement{
		Name:      name,
		Latencies: hdrhistogram.New(1, maxLatency.Nanoseconds(), significantFigures),
	}
	target := vegeta.NewStaticTargeter(vegeta.Target{Method: "GET", URL: url})
	rate := vegeta.Rate{Freq: c.Rate, Per: time.Second}
	for range vegeta.NewAttacker().Attack(target, rate, warmUpDuration, "warm-up") {
		continue
	}
	for r := range vegeta.NewAttacker().Attack(target, rate, c.Duration, name) {
		if r.Error != "" {
			measurement.Failed++
			continue
		}
		_ = measurement.Latencies.RecordValue(r.Latency.Nanoseconds())
	}
	return measurement
}

// Print writes the measurements, of which there must be at least two, and the
// difference and ratio of the second to the first.
func Print(w io.Writer, measurements []Measurement) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	text := "path\tsucceeded\tfailed\tp50\tp99\tp99.9\n"
	for _, m := range measurements {
		text += fmt.Sprintf("%s\t%d\t%d\t%v\t%v\t%v\n", m.Name, m.Latencies.TotalCount(), m.Failed, m.quantile(50), m.quantile(99), m.quantile(99.9))
	}
	a, b := measurements[0], measurements[1]
	text += fmt.Sprintf("added\t\t\t%v\t%v\t%v\n", b.quantile(50)-a.quantile(50), b.quantile(99)-a.quantile(99), b.quantile(99.9)-a.quantile(99.9))
	text += fmt.Sprintf("ratio\t\t\t%.2f\t%.2f\t%.2f\n", ratio(a, b, 50), ratio(a, b, 99), ratio(a, b, 99.9))
	if _, err := io.WriteString(t, text); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(t.Flush())
}

func (m Measurement) quantile(percent float64) time.Duration {
	return time.Duration(m.Latencies.ValueAtQuantile(percent)).Round(time.Microsecond)
}

func ratio(a, b Measurement, percent float64) float64 {
	return float64(b.Latencies.ValueAtQuantile(percent)) / float64(max(a.Latencies.ValueAtQuantile(percent), 1))
}
