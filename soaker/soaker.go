// Package soaker runs a deployment of real processes on loopback under injected
// faults, and checks the guarantees of the system against what callers, operators
// and backend servers observe.
package soaker

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"slices"
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
	// recoveryTimeout bounds the recovery after the last fault.
	recoveryTimeout = 30 * time.Second
	// recoveryRequests is the number of consecutive served requests that show a
	// recovery.
	recoveryRequests = 50
)

// Config holds the settings of a soak.
type Config struct {
	// Program is the path of the waxwingseam binary.
	Program string
	// Folder is where the settings, logs and data of the processes are stored.
	Folder string
	// Seed is the seed of the faults and the load.
	Seed uint64
	// Duration is the time during which faults are started.
	Duration time.Duration
	// ServersPerService is the number of desk servers and of ledger servers; 0 means 3. The
	// desk calls the ledger.
	ServersPerService int
	// MemoryMB is the memory limit of the nodes in MB; 0 for none.
	MemoryMB int
	// Only lists the kinds of faults that are injected; empty for all.
	Only []Fault
	// Unsafe declares requests that must not run twice as repeatable, to show that
	// the at-most-once check reports requests that run twice.
	Unsafe bool
}

// Report is the result of a soak.
type Report struct {
	Seed uint64
	// Steps are the faults in order of their start.
	Steps []Step
	// Requests counts the requests of callers, Completed those answered with status
	// 200, and Changes the accepted changes of operators.
	Requests, Completed, Changes int
	// Findings are violations of guarantees.
	Findings waxwingseam.Findings
}

// String returns a summary line, followed by all steps and findings if there are
// findings.
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

// Run runs one soak. Violations of guarantees are findings of the report; an error
// means that the soak could not be completed.
func Run(ctx context.Context, config Config) (Report, error) {
	if config.ServersPerService == 0 {
		config.ServersPerService = defaultServersPerService
	}
	report := Report{Seed: config.Seed, Steps: slices.Concat(
		Plan(config.Seed, config.Duration, 2*config.ServersPerService, replicaCount),
		PlanStatements(config.Seed, config.Duration, config.ServersPerService),
		PlanClients(config.Seed, config.Duration, config.ServersPerService),
		PlanAccounts(config.Seed, config.Duration),
		PlanBrokenAnswers(config.Seed, config.Duration, 2*config.ServersPerService),
		PlanLostDisks(config.Seed, config.Duration),
	)}
	if len(config.Only) > 0 {
		report.Steps = slices.DeleteFunc(report.Steps, func(s Step) bool { return !slices.Contains(config.Only, s.Fault) })
	}
	slices.SortStableFunc(report.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	// The backend servers outlive the processes, which may still answer requests.
	serveCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	d, err := newDeployment(serveCtx, config)
	if err != nil {
		return report, err
	}
	d.accounts = newAccounts(config.Seed)
	s := &soak{
		deployment: d,
		callers:    &callers{deployment: d},
		operators:  &operators{deployment: d, acknowledged: map[waxwingseam.SubmissionID]waxwingseam.Revision{}},
	}
	err = s.run(ctx, &report)
	for _, text := range d.stopAll() {
		s.addFinding("leaves-in-time", text)
	}
	for _, p := range d.processes() {
		_, _, unexpectedExits := p.intervals()
		for _, text := range unexpectedExits {
			s.addFinding("keeps-running", text)
		}
	}
	if err == nil {
		s.check(&report)
	}
	report.Findings = s.findings
	return report, err
}

// soak is a running soak.
type soak struct {
	deployment *deployment
	callers    *callers
	operators  *operators
	recorded   map[waxwingseam.SubmissionID]waxwingseam.Revision

	mu       sync.Mutex
	findings waxwingseam.Findings
}

func (s *soak) addFinding(guarantee, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.findings = append(s.findings, waxwingseam.Finding{Section: guarantee, Text: text})
}

// run configures the deployment, applies the faults under load and waits until
// the deployment has recovered.
func (s *soak) run(ctx context.Context, report *Report) error {
	if err := s.configure(ctx); err != nil {
		return err
	}
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var load, faults sync.WaitGroup
	load.Go(func() { s.callers.run(loadCtx) })
	load.Go(func() { s.operators.run(loadCtx) })
	endingsCtx, stopEndings := context.WithCancel(loadCtx)
	defer stopEndings()
	load.Go(func() { s.deployment.sendEndings(endingsCtx) })
	start := time.Now()
	for _, step := range report.Steps {
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		case <-time.After(time.Until(start.Add(step.At))):
		}
		faults.Go(func() {
			if text := s.apply(ctx, step); text != "" {
				s.addFinding("leaves-in-time", text)
			}
		})
	}
	faults.Wait()
	stopEndings()
	s.awaitRecovery(ctx)
	stop()
	load.Wait()
	var err error
	s.recorded, err = s.operators.history(ctx)
	return trace.Wrap(err)
}

// apply carries out a step and returns when the fault has ended. The result describes a
// process that did not stop or start; it is empty otherwise.
func (s *soak) apply(ctx context.Context, step Step) string {
	switch step.Fault {
	case FaultAccountSurge, FaultLimitLowered, FaultKeyRemoved:
		s.disturbAccounts(ctx, step)
		return ""
	case FaultControlDiskLost:
		if text := s.deployment.loseDisk(ctx, step); text != "" {
			s.addFinding("votes-again", text)
		}
		return ""
	}
	return s.deployment.apply(step)
}

// accountEvidence returns what the checks of the client accounts need.
func (s *soak) accountEvidence() accountEvidence {
	control := make([]interval, 0, replicaCount)
	for _, r := range s.deployment.replicas {
		stopping, disturbed, _ := r.intervals()
		control = append(control, slices.Concat(stopping, disturbed)...)
	}
	logs := map[string][]byte{}
	for _, p := range s.deployment.processes() {
		data, err := os.ReadFile(p.logPath)
		if err != nil {
			s.addFinding("hidden-keys", "the log of "+p.name+" is not readable: "+err.Error())
		}
		logs[p.name] = data
	}
	return s.deployment.accounts.evidence(control, logs)
}

// configure submits the first objects and waits until all nodes have them.
func (s *soak) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return trace.Wrap(operator.Establish(ctx, s.deployment.replicas[0].client(), administrator.Submission{
		ID:             "first",
		AcceptWarnings: true,
		Files:          []checker.File{{Name: "objects.ini", Data: s.deployment.objects(minDeadline)}},
	}, len(s.deployment.hosts)))
}

// awaitRecovery waits until requests are served again, or adds a finding.
func (s *soak) awaitRecovery(ctx context.Context) {
	deadline := time.Now().Add(recoveryTimeout)
	skip := s.callers.count()
	for time.Now().Before(deadline) && ctx.Err() == nil {
		sent, served := s.callers.countSince(skip)
		if sent >= recoveryRequests && served == sent {
			return
		}
		if sent >= recoveryRequests {
			skip = s.callers.count()
		}
		time.Sleep(pollInterval)
	}
	s.addFinding("recovers", fmt.Sprintf("no %d consecutive requests were served within %v of the last fault", recoveryRequests, recoveryTimeout))
}

// check checks the guarantees against the evidence.
func (s *soak) check(report *Report) {
	e := evidence{
		requests:     s.callers.requests,
		acknowledged: s.operators.acknowledged,
		recorded:     s.recorded,
		spans:        s.deployment.spans,
		endings:      s.deployment.endings(),
		accounts:     s.accountEvidence(),
	}
	for i := range e.spans {
		e.spans[i].runs = e.spans[i].host.server.Ledger().Runs()
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
	for _, g := range guarantees() {
		for _, text := range g.check(e) {
			s.addFinding(g.name, text)
		}
	}
}
