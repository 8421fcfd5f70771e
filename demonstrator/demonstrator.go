// Package demonstrator shows a deployment under a surge, in one process on
// loopback, without the layer and with it: real control and node code,
// stand-ins for the backend servers, and callers that retry hard.
package demonstrator

import (
	"context"
	"os"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam/launcher"
)

// Config describes a demonstration.
type Config struct {
	Deployment Deployment
	// Surge is the load of the surge in parts of saturation.
	Surge float64
	// Duration is the time of each of the two parts.
	Duration time.Duration
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
	l := newLoad(f, config.Deployment, newSchedule(config.Duration, config.Surge, config.Deployment.Saturation()), on, config.Seed)
	l.run(ctx, func(at time.Duration) { config.Progress(on, at) })
	report := newReport(f, l, on)
	if on {
		report.Audit, err = f.Audit(l.answers)
	}
	cancel()
	_ = f.Wait()
	return report, err
}
