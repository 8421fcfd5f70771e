// Package demonstrator shows a deployment under a surge, in one process on
// loopback, without the layer and with it: real control and node code,
// stand-ins for the backend servers, and callers that retry hard.
package demonstrator

import (
	"bytes"
	"context"
	"io"
	"os"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/auditor"
	"waxwingseam.example/waxwingseam/imitator"
	"waxwingseam.example/waxwingseam/launcher"
)

// Config describes a demonstration.
type Config struct {
	Deployment Deployment
	// Surge is the load of the surge in parts of saturation.
	Surge float64
	// Length is the time of each of the two parts.
	Length time.Duration
	// Progress is told how far a part has come; it must not block.
	Progress func(on bool, at time.Duration)
	Seed     uint64
}

// Run shows the deployment without the layer, then with it.
func Run(ctx context.Context, config Config) ([]Report, error) {
	var reports []Report
	for _, on := range []bool{false, true} {
		r, err := show(ctx, config, on)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		reports = append(reports, r)
	}
	return reports, nil
}

// show runs one part of a demonstration.
func show(ctx context.Context, config Config, on bool) (Report, error) {
	folder, err := os.MkdirTemp("", "waxwingseam-demo-")
	if err != nil {
		return Report{}, trace.ConvertSystemError(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := launcher.Start(ctx, launcher.Config{
		Objects:  config.Deployment.Objects,
		Services: config.Deployment.Services,
		Folder:   folder,
		On:       on,
		Record:   on,
	})
	if err != nil {
		return Report{}, err
	}
	l := newLoad(f, config.Deployment, newSchedule(config.Length, config.Surge, config.Deployment.Saturation()), on, config.Seed)
	l.run(ctx, func(at time.Duration) { config.Progress(on, at) })
	report := newReport(f, l, on)
	if on {
		report.Audit, err = audit(f, l)
	}
	cancel()
	_ = f.Wait()
	return report, err
}

// audit checks the promises against the nodes' event logs and the stand-ins'
// own lists of runs.
func audit(f *launcher.Fleet, l *load) (findings, err error) {
	input := auditor.Input{Answers: l.answers}
	for _, s := range f.StandIns {
		data, err := s.Log()
		if err != nil {
			return nil, err
		}
		input.Logs = append(input.Logs, io.Reader(bytes.NewReader(data)))
		input.Runs = append(input.Runs, runsOf(s)...)
	}
	return auditor.Audit(input), nil
}

func runsOf(s *launcher.StandIn) []auditor.Run {
	var runs []auditor.Run
	for _, v := range s.Ledger().Runs() {
		call, err := waxwingseam.ParseCallID(v.Context)
		if err != nil {
			continue
		}
		runs = append(runs, auditor.Run{
			Server:      s.Name,
			Call:        call,
			Began:       v.Began,
			Interrupted: v.State == imitator.RunInterrupted,
		})
	}
	return runs
}
