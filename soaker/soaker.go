// Package soaker runs a deployment of real processes on loopback under faults
// from outside, and checks its promises from what callers, operators and backend
// servers see.
package soaker

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/administrator"
	"waxwingseam.example/waxwingseam/checker"
	"waxwingseam.example/waxwingseam/operator"
)

const (
	// recoverTimeout is how long after the last fault requests must be served.
	recoverTimeout = 30 * time.Second
	// recovered is how many requests in a row show that.
	recovered = 50
)

// Config describes a soak.
type Config struct {
	// Program is the waxwingseam binary.
	Program string
	// Folder holds the settings, logs and data of the processes.
	Folder string
	// Seed draws the faults and the load.
	Seed uint64
	// Duration is the time during which faults are started.
	Duration time.Duration
	// Unsafe declares what must not run twice as repeatable, to show that the
	// checks see it.
	Unsafe bool
}

// Report is what a soak came to.
type Report struct {
	Seed uint64
	// Steps are the faults in the order of their times.
	Steps []Step
	// Requests counts what callers sent, Completed what was served, Changes what
	// operators were told is in force.
	Requests, Completed, Changes int
	// Findings are broken promises.
	Findings waxwingseam.Findings
}

// String is the report in lines: the time line where something was found.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d faults, %d requests, %d completed, %d changes, %d findings\n",
		r.Seed, len(r.Steps), r.Requests, r.Completed, r.Changes, len(r.Findings))
	if len(r.Findings) == 0 {
		return b.String()
	}
	for _, s := range r.Steps {
		fmt.Fprintln(&b, s)
	}
	for _, f := range r.Findings {
		fmt.Fprintf(&b, "%s: %s\n", f.Section, f.Text)
	}
	return b.String()
}

// Run plays one soak. An error means that it could not be played.
func Run(ctx context.Context, config Config) (Report, error) {
	report := Report{Seed: config.Seed, Steps: Plan(config.Seed, config.Duration, 2*servers, replicas)}
	// The backend servers outlast the processes, which may still answer.
	serving, cancel := context.WithCancel(ctx)
	defer cancel()
	d, err := newDeployment(serving, config)
	if err != nil {
		return report, err
	}
	s := &soak{
		deployment: d,
		callers:    &callers{deployment: d},
		operators:  &operators{deployment: d, acknowledged: map[waxwingseam.SubmissionID]waxwingseam.Revision{}},
	}
	err = s.play(ctx, &report)
	for _, text := range d.end() {
		s.find("leaves-in-time", text)
	}
	for _, p := range d.programs() {
		_, _, broken := p.spans()
		for _, text := range broken {
			s.find("keeps-running", text)
		}
	}
	if err == nil {
		s.check(&report)
	}
	report.Findings = s.findings
	return report, err
}

// soak is one soak under way.
type soak struct {
	deployment *deployment
	callers    *callers
	operators  *operators
	kept       map[waxwingseam.SubmissionID]waxwingseam.Revision

	mu       sync.Mutex
	findings waxwingseam.Findings
}

func (s *soak) find(promise, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.findings = append(s.findings, waxwingseam.Finding{Section: promise, Text: text})
}

// play sets the deployment up, disturbs it under load and waits until it has
// recovered.
func (s *soak) play(ctx context.Context, report *Report) error {
	if err := s.configure(ctx); err != nil {
		return err
	}
	loading, stop := context.WithCancel(ctx)
	defer stop()
	var load, faults sync.WaitGroup
	load.Go(func() { s.callers.run(loading) })
	load.Go(func() { s.operators.run(loading) })
	start := time.Now()
	for _, step := range report.Steps {
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		case <-time.After(time.Until(start.Add(step.At))):
		}
		faults.Go(func() {
			if text := s.deployment.apply(step); text != "" {
				s.find("leaves-in-time", text)
			}
		})
	}
	faults.Wait()
	s.recover(ctx)
	stop()
	load.Wait()
	var err error
	s.kept, err = s.operators.history(ctx)
	return trace.Wrap(err)
}

// configure publishes the first objects and waits until all nodes hold them.
func (s *soak) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return trace.Wrap(operator.Establish(ctx, s.deployment.replicas[0].client(), administrator.Submission{
		ID:             "first",
		AcceptWarnings: true,
		Files:          []checker.File{{Name: "objects.ini", Data: s.deployment.set(leastDeadline)}},
	}, len(s.deployment.hosts)))
}

// recover waits until requests are served again.
func (s *soak) recover(ctx context.Context) {
	deadline := time.Now().Add(recoverTimeout)
	from := s.callers.count()
	for time.Now().Before(deadline) && ctx.Err() == nil {
		sent, served := s.callers.since(from)
		if sent >= recovered && served == sent {
			return
		}
		if sent >= recovered {
			from = s.callers.count()
		}
		time.Sleep(pollEvery)
	}
	s.find("recovers", fmt.Sprintf("%d requests in a row were not served within %v of the last fault", recovered, recoverTimeout))
}

// check compares what was seen with the promises.
func (s *soak) check(report *Report) {
	e := evidence{
		requests:     s.callers.requests,
		acknowledged: s.operators.acknowledged,
		kept:         s.kept,
	}
	for _, h := range s.deployment.hosts {
		e.runs = append(e.runs, h.server.Ledger().Runs()...)
	}
	report.Requests, report.Changes = len(e.requests), len(e.acknowledged)
	for _, r := range e.requests {
		if r.completed() {
			report.Completed++
		}
	}
	for _, p := range promises() {
		for _, text := range p.check(e) {
			s.find(p.name, text)
		}
	}
}
