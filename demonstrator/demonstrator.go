// Package demonstrator runs a deployment under a surge, first without the overload
// control layer and then with it. Everything runs in one process on loopback:
// control replicas and nodes, stand-ins for the backend servers, and callers that
// retry each failed request immediately.
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
	// Surge is the load of the surge as a multiple of saturation.
	Surge float64
	// Duration is the duration of each of the two parts.
	Duration time.Duration
	// Progress is called repeatedly while a part runs, with the time since the
	// part started. It must not be nil, and must not block.
	Progress func(withLayer bool, at time.Duration)
	// Seed is the seed of the random kinds and targets of the requests.
	Seed uint64
}

// Run runs the deployment without the layer and then with it, and returns one
// report for each part.
func Run(ctx context.Context, config Config) ([]Report, error) {
	var reports []Report
	for _, withLayer := range []bool{false, true} {
		r, err := runPart(ctx, config, withLayer)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		reports = append(reports, r)
	}
	return reports, nil
}

// runPart runs one part of a demonstration.
func runPart(ctx context.Context, config Config, withLayer bool) (Report, error) {
	folder, err := os.MkdirTemp("", "waxwingseam-demo-")
	if err != nil {
		return Report{}, trace.ConvertSystemError(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := launcher.Start(ctx, launcher.Config{
		Objects:   config.Deployment.Objects,
		Services:  config.Deployment.Services,
		Folder:    folder,
		WithLayer: withLayer,
		Record:    withLayer,
	})
	if err != nil {
		return Report{}, err
	}
	l := newLoad(f, config.Deployment, newSchedule(config.Duration, config.Surge, config.Deployment.Saturation()), withLayer, config.Seed)
	l.run(ctx, func(at time.Duration) { config.Progress(withLayer, at) })
	report := newReport(f, l, withLayer)
	if withLayer {
		report.Audit, err = f.Audit(l.answers)
	}
	cancel()
	_ = f.Wait()
	return report, err
}
