package soaker

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/auditor"
	"waxwingseam.example/waxwingseam/imitator"
)

// TestSoak checks that the real program keeps all guarantees in short soaks of
// fixed seeds.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "waxwingseam")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, "waxwingseam.example/waxwingseam/cmd/waxwingseam").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	for _, seed := range []uint64{1, 2} {
		report, err := Run(t.Context(), Config{Program: program, Folder: t.TempDir(), Seed: seed, Duration: 4 * time.Second})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, report.Completed > 0, qt.IsTrue)
		qt.Assert(t, report.Findings, qt.HasLen, 0, qt.Commentf("%s", report))
	}
}

// TestSoakOfControl guards against changes that are lost, and replicas that do not vote again, when
// control replicas lose their disks in turn, between stops, kills and pauses of control.
func TestSoakOfControl(t *testing.T) {
	program := filepath.Join(t.TempDir(), "waxwingseam")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, "waxwingseam.example/waxwingseam/cmd/waxwingseam").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	lost := 0
	for _, seed := range []uint64{3, 4, 5} {
		report, err := Run(t.Context(), Config{
			Program: program, Folder: t.TempDir(), Seed: seed, Duration: 12 * time.Second,
			Only: []Fault{FaultControlDiskLost, FaultControlStop, FaultControlKill, FaultControlPause},
		})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, report.Findings, qt.HasLen, 0, qt.Commentf("%s", report))
		for _, s := range report.Steps {
			if s.Fault == FaultControlDiskLost {
				lost++
			}
		}
	}
	qt.Assert(t, lost > 0, qt.IsTrue)
}

// TestGuaranteeChecks checks that each check reports evidence that violates its
// guarantee, and accepts similar evidence that does not.
func TestGuaranteeChecks(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	stoppingHost := &host{process: &process{stopping: []interval{{at(1), at(3)}}}}
	killedHost := &host{process: &process{stopping: []interval{{at(1), at(3)}}, disturbed: []interval{{at(2), at(4)}}}}
	desk := &host{process: &process{name: "desk-1"}}
	errReset := errors.New("connection reset")
	run := imitator.Run{Path: prefixNotRepeatable + "a", Tag: "a"}
	for _, v := range []struct {
		guarantee  string
		violating  evidence
		satisfying evidence
	}{
		{
			"at-most-once",
			evidence{runs: []imitator.Run{run, run}},
			evidence{runs: []imitator.Run{run, {Path: prefixRepeatable + "b"}, {Path: prefixRepeatable + "b"}}},
		},
		{
			"did-not-run",
			evidence{runs: []imitator.Run{run}, requests: []*request{{tag: "a", outcome: "did-not-run"}}},
			evidence{runs: []imitator.Run{run}, requests: []*request{{tag: "a", outcome: "may-have-run"}, {tag: "b", outcome: "did-not-run"}}},
		},
		{
			"own-bytes",
			evidence{requests: []*request{{status: 200, answer: auditor.Answer{Want: 1, Got: 2}}}},
			evidence{requests: []*request{{status: 200, answer: auditor.Answer{Want: 1, Got: 1}}, {status: 503, answer: auditor.Answer{Want: 1}}}},
		},
		{
			"ends-few-servers",
			evidence{endings: map[waxwingseam.ServiceName]endingEvidence{serviceDesk: {
				ends:     []time.Time{at(1), at(2), at(3)},
				arrivals: []endingArrival{{desk, at(7)}, {desk, at(7)}, {desk, at(8)}, {desk, at(9)}},
			}}},
			evidence{endings: map[waxwingseam.ServiceName]endingEvidence{serviceDesk: {
				ends:     []time.Time{at(1), at(2), at(3)},
				arrivals: []endingArrival{{desk, at(5)}, {desk, at(7)}, {desk, at(8)}, {killedHost, at(6)}, {desk, at(9)}},
			}, serviceLedger: {ends: []time.Time{at(1), at(2)}, arrivals: []endingArrival{{desk, at(7)}, {desk, at(8)}, {desk, at(9)}, {desk, at(10)}}}}},
		},
		{
			"answered-in-time",
			evidence{requests: []*request{{host: stoppingHost, sent: at(0), ended: at(15)}}},
			evidence{requests: []*request{{host: stoppingHost, sent: at(0), ended: at(14)}, {host: killedHost, sent: at(0), ended: at(15)}}},
		},
		{
			"uninterrupted",
			evidence{runs: []imitator.Run{run}, requests: []*request{{tag: "a", host: stoppingHost, sent: at(0), ended: at(2), connected: true, err: errReset}}},
			evidence{runs: []imitator.Run{run}, requests: []*request{
				{tag: "a", host: killedHost, sent: at(0), ended: at(2), connected: true, err: errReset},
				{tag: "a", host: stoppingHost, sent: at(4), ended: at(5), connected: true, err: errReset},
				{tag: "b", host: stoppingHost, sent: at(0), ended: at(2), connected: true, err: errReset},
				{tag: "a", host: stoppingHost, sent: at(0), ended: at(2), err: errReset},
			}},
		},
		{
			"not-begun-for-nobody",
			evidence{
				runs:     []imitator.Run{{Tag: "a", Began: at(3)}},
				requests: []*request{{tag: "a", host: desk, sent: at(1), left: at(2)}},
			},
			evidence{
				runs: []imitator.Run{{Tag: "a", Began: at(2)}, {Tag: "b", Began: at(3)}, {Tag: "c", Began: at(3)}},
				requests: []*request{
					{tag: "a", host: desk, sent: at(1), left: at(2)},
					{tag: "b", host: killedHost, sent: at(1), left: at(2)},
					{tag: "c", host: desk, sent: at(1), ended: at(2)},
				},
			},
		},
		{
			"kept-limits",
			statedEvidence(desk, start, waxwingseam.Statement{Limited: true, Rate: 1}, 4*time.Second, 12),
			statedEvidence(desk, start, waxwingseam.Statement{Limited: true, Rate: 1}, 4*time.Second, 11),
		},
		{
			"kept-leaving",
			statedEvidence(desk, start, waxwingseam.Statement{Leaving: true}, 3100*time.Millisecond, 1),
			statedEvidence(desk, start, waxwingseam.Statement{Leaving: true}, 2900*time.Millisecond, 1),
		},
		{
			"account-limits",
			accountRuns(start, 0, 34),
			accountRuns(start, 34, 33),
		},
		{
			"own-account",
			evidence{
				requests: []*request{{tag: "a", account: "wide"}},
				runs:     []imitator.Run{{Tag: "a", Account: "open"}, {Tag: "a", Account: "wide"}},
				accounts: accountEvidence{secrets: []string{"secret"}},
			},
			evidence{
				requests: []*request{{tag: "a", account: "wide"}},
				runs:     []imitator.Run{{Tag: "a", Account: "wide"}, {Account: "open"}},
				accounts: accountEvidence{secrets: []string{"secret"}},
			},
		},
		{
			"kept-keys",
			keyEvidence(start, nil, keyUse{desk, "removed", 3 * time.Second}),
			keyEvidence(start, nil, keyUse{desk, "removed", time.Second}, keyUse{desk, "held", 9 * time.Second}, keyUse{desk, "removed", 11 * time.Second}),
		},
		{
			"kept-keys",
			keyEvidence(start, []interval{{at(1), at(2)}}, keyUse{desk, "removed", 6 * time.Second}),
			keyEvidence(start, []interval{{at(1), at(2)}}, keyUse{desk, "removed", 4 * time.Second}),
		},
		{
			"kept-keys",
			keyEvidence(start, nil, keyUse{killedHost, "removed", 7 * time.Second}),
			keyEvidence(start, nil, keyUse{killedHost, "removed", 5 * time.Second}),
		},
		{
			"kept-keys",
			keyEvidence(start, nil, keyUse{desk, "unknown", time.Second}),
			keyEvidence(start, nil),
		},
		{
			"kept-keys",
			evidence{requests: []*request{{key: "held", status: 401}}},
			evidence{requests: []*request{{key: "held", status: 503}, {key: "", status: 401}}},
		},
		{
			"hidden-keys",
			evidence{accounts: accountEvidence{secrets: []string{"secret"}, logs: map[string][]byte{"desk-1": []byte("a\nkey secret\nb\n")}}},
			evidence{accounts: accountEvidence{secrets: []string{"secret"}, logs: map[string][]byte{"desk-1": []byte("a\nkey hidden\n")}}},
		},
		{
			"acknowledged-changes",
			evidence{acknowledged: map[waxwingseam.SubmissionID]waxwingseam.Revision{"x": 2}},
			evidence{
				acknowledged: map[waxwingseam.SubmissionID]waxwingseam.Revision{"x": 2},
				recorded:     map[waxwingseam.SubmissionID]waxwingseam.Revision{"x": 2, "y": 3},
			},
		},
	} {
		t.Run(v.guarantee, func(t *testing.T) {
			for _, g := range guarantees() {
				if g.name == v.guarantee {
					qt.Check(t, len(g.check(v.violating)), qt.Equals, 1)
					qt.Check(t, g.check(v.satisfying), qt.HasLen, 0)
				}
			}
		})
	}
}

// statedEvidence returns evidence of a server that states something from start on, which
// its own node passes on 1 s later, and of runs from a time on, 100 ms apart.
func statedEvidence(h *host, start time.Time, s waxwingseam.Statement, first time.Duration, runs int) evidence {
	span := statedSpan{interval: interval{start, start.Add(time.Minute)}, host: h, statement: s}
	e := evidence{requests: []*request{{tag: "told", host: h, server: h.name, stated: s, sent: start, ended: start.Add(time.Second)}}}
	for i := range runs {
		sent := start.Add(first + time.Duration(i)*100*time.Millisecond)
		tag := fmt.Sprint(i)
		e.requests = append(e.requests, &request{tag: tag, host: h, sent: sent, ended: sent.Add(time.Second)})
		span.runs = append(span.runs, imitator.Run{Tag: tag, Began: sent})
	}
	e.spans = []statedSpan{span}
	return e
}

// accountRuns returns evidence of an account with a limit of 2 a second from 10 s after the
// start on, of as many roots of it that run in the 5 s before that as given first, and of as
// many in 5 s after it as given second, each of which runs twice and makes a call.
func accountRuns(start time.Time, before, after int) evidence {
	bound := start.Add(10 * time.Second)
	e := evidence{accounts: accountEvidence{spans: []limitSpan{{interval{bound, bound.Add(accountWindow)}, accountLowered, loweredRate}}}}
	add := func(tag string, began time.Time) {
		e.runs = append(e.runs,
			imitator.Run{Account: string(accountLowered), Path: prefixRepeatable + tag, Tag: tag, Began: began},
			imitator.Run{Account: string(accountLowered), Path: prefixRepeatable + tag, Tag: tag, Began: began.Add(time.Millisecond)},
			imitator.Run{Account: string(accountLowered), Path: prefixRepeatable + "read", Tag: tag, Began: began})
	}
	for i := range before {
		add(fmt.Sprint("before-", i), bound.Add(-accountWindow))
	}
	for i := range after {
		add(fmt.Sprint("after-", i), bound.Add(time.Duration(i)*time.Millisecond))
	}
	return e
}

// keyUse is a run with a key.
type keyUse struct {
	node *host
	key  string
	sent time.Duration
}

// keyEvidence returns evidence of runs with keys, one of which is removed until 10 s after the
// start, and of disturbances of control.
func keyEvidence(start time.Time, control []interval, uses ...keyUse) evidence {
	e := evidence{accounts: accountEvidence{
		removable: "removed", unknown: "unknown", control: control,
		removals: []interval{{start, start.Add(10 * time.Second)}},
	}}
	for i, u := range uses {
		tag, sent := fmt.Sprint(i), start.Add(u.sent)
		e.requests = append(e.requests, &request{tag: tag, host: u.node, key: u.key, sent: sent})
		e.runs = append(e.runs, imitator.Run{Tag: tag, Began: sent})
	}
	return e
}

// TestAccountPlanDiffers guards against soaks of one seed with different faults of client
// accounts, and against soaks without one of their kinds.
func TestAccountPlanDiffers(t *testing.T) {
	for seed := range uint64(50) {
		steps := PlanAccounts(seed, 4*time.Second)
		qt.Assert(t, steps, qt.DeepEquals, PlanAccounts(seed, 4*time.Second))
		kinds := map[Fault]bool{}
		for _, s := range steps {
			kinds[s.Fault] = true
		}
		qt.Assert(t, kinds, qt.HasLen, 3)
	}
}

// TestStatementPlanLeavesServers checks that a seed always yields the same statements,
// and that one server at any time states nothing.
func TestStatementPlanLeavesServers(t *testing.T) {
	kinds := map[Fault]bool{}
	for seed := range uint64(50) {
		steps := PlanStatements(seed, 15*time.Second, 3)
		qt.Assert(t, steps, qt.DeepEquals, PlanStatements(seed, 15*time.Second, 3))
		for i, s := range steps {
			kinds[s.Fault] = true
			busy := map[int]bool{}
			for _, other := range steps[:i+1] {
				if other.At+other.Duration > s.At {
					busy[other.Target] = true
				}
			}
			qt.Assert(t, len(busy) < 3, qt.IsTrue)
		}
	}
	qt.Assert(t, kinds, qt.HasLen, 2)
}

// TestPlanIsReproducible checks that a seed always yields the same faults, that times
// and durations are within bounds, that targets are below the number of nodes, and
// that every kind occurs.
func TestPlanIsReproducible(t *testing.T) {
	kinds := map[Fault]bool{}
	for seed := range uint64(50) {
		steps := Plan(seed, 15*time.Second, 6, 3)
		qt.Assert(t, steps, qt.DeepEquals, Plan(seed, 15*time.Second, 6, 3))
		last := time.Duration(0)
		for _, s := range steps {
			qt.Assert(t, s.At >= last && s.At < 15*time.Second && s.Duration >= minFaultDuration && s.Duration < maxFaultDuration, qt.IsTrue, qt.Commentf("%v", s))
			qt.Assert(t, s.Target >= 0 && s.Target < 6, qt.IsTrue)
			last = s.At
			kinds[s.Fault] = true
		}
	}
	qt.Assert(t, kinds, qt.HasLen, len(Faults()))
}

// TestRelayForwardsAndResets checks that a relay forwards bytes, also after a
// block has ended, and resets connections.
func TestRelayForwardsAndResets(t *testing.T) {
	var lc net.ListenConfig
	target, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = target.Close() })
	go func() {
		for {
			conn, err := target.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	r, err := listenRelay(t.Context(), netip.MustParseAddrPort(target.Addr().String()))
	qt.Assert(t, err, qt.IsNil)
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", r.address().String())
	qt.Assert(t, err, qt.IsNil)
	echo := func(text string) (string, error) {
		if _, err := conn.Write([]byte(text)); err != nil {
			return "", err
		}
		got := make([]byte, len(text))
		_, err := io.ReadFull(conn, got)
		return string(got), err
	}
	got, err := echo("one")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, "one")
	r.block(0, toCaller)
	got, err = echo("two")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, "two")
	r.reset()
	_, err = echo("three")
	qt.Assert(t, err, qt.IsNotNil)
}

// TestBlockedRelayDeliversAfterReset guards against a stand-in of a silent path that, other
// than a kernel, delivers what its sender has taken back by a reset.
func TestBlockedRelayDeliversAfterReset(t *testing.T) {
	var lc net.ListenConfig
	target, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = target.Close() })
	r, err := listenRelay(t.Context(), netip.MustParseAddrPort(target.Addr().String()))
	qt.Assert(t, err, qt.IsNil)
	unblocked := make(chan struct{})
	r.blocked[toTarget] = unblocked
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", r.address().String())
	qt.Assert(t, err, qt.IsNil)
	served, err := target.Accept()
	qt.Assert(t, err, qt.IsNil)
	_, err = conn.Write([]byte("taken back"))
	qt.Assert(t, err, qt.IsNil)
	abort(conn)
	close(unblocked)
	got, _ := io.ReadAll(served)
	qt.Assert(t, string(got), qt.Equals, "")
}
