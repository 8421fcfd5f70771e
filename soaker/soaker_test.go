package soaker

import (
	"errors"
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

// TestSoak plays short soaks of fixed seeds with the real program.
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

// TestPromises breaks each promise once in made-up evidence.
func TestPromises(t *testing.T) {
	start := time.Unix(1000, 0)
	now := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	leaves := &host{program: &program{leaving: []span{{now(1), now(3)}}}}
	killed := &host{program: &program{leaving: []span{{now(1), now(3)}}, hurt: []span{{now(2), now(4)}}}}
	cut := errors.New("connection reset")
	ran := imitator.Run{Path: prefixNever + "a", Tag: "a"}
	for _, v := range []struct {
		promise string
		broken  evidence
		kept    evidence
	}{
		{
			"at-most-once",
			evidence{runs: []imitator.Run{ran, ran}},
			evidence{runs: []imitator.Run{ran, {Path: prefixFree + "b"}, {Path: prefixFree + "b"}}},
		},
		{
			"did-not-run",
			evidence{runs: []imitator.Run{ran}, requests: []*request{{tag: "a", outcome: "did-not-run"}}},
			evidence{runs: []imitator.Run{ran}, requests: []*request{{tag: "a", outcome: "may-have-run"}, {tag: "b", outcome: "did-not-run"}}},
		},
		{
			"own-bytes",
			evidence{requests: []*request{{status: 200, answer: auditor.Answer{Want: 1, Got: 2}}}},
			evidence{requests: []*request{{status: 200, answer: auditor.Answer{Want: 1, Got: 1}}, {status: 503, answer: auditor.Answer{Want: 1}}}},
		},
		{
			"answered-in-time",
			evidence{requests: []*request{{host: leaves, sent: now(0), ended: now(15)}}},
			evidence{requests: []*request{{host: leaves, sent: now(0), ended: now(14)}, {host: killed, sent: now(0), ended: now(15)}}},
		},
		{
			"uninterrupted",
			evidence{runs: []imitator.Run{ran}, requests: []*request{{tag: "a", host: leaves, sent: now(0), ended: now(2), dialled: true, err: cut}}},
			evidence{runs: []imitator.Run{ran}, requests: []*request{
				{tag: "a", host: killed, sent: now(0), ended: now(2), dialled: true, err: cut},
				{tag: "a", host: leaves, sent: now(4), ended: now(5), dialled: true, err: cut},
				{tag: "b", host: leaves, sent: now(0), ended: now(2), dialled: true, err: cut},
				{tag: "a", host: leaves, sent: now(0), ended: now(2), err: cut},
			}},
		},
		{
			"acknowledged-changes",
			evidence{acknowledged: map[waxwingseam.SubmissionID]waxwingseam.Revision{"x": 2}},
			evidence{
				acknowledged: map[waxwingseam.SubmissionID]waxwingseam.Revision{"x": 2},
				kept:         map[waxwingseam.SubmissionID]waxwingseam.Revision{"x": 2, "y": 3},
			},
		},
	} {
		t.Run(v.promise, func(t *testing.T) {
			for _, p := range promises() {
				if p.name == v.promise {
					qt.Check(t, len(p.check(v.broken)), qt.Equals, 1)
					qt.Check(t, p.check(v.kept), qt.HasLen, 0)
				}
			}
		})
	}
}

// TestPlan checks that a seed always draws the same faults, at known targets and
// within the time.
func TestPlan(t *testing.T) {
	kinds := map[Fault]bool{}
	for seed := range uint64(50) {
		steps := Plan(seed, 15*time.Second, 6, 3)
		qt.Assert(t, steps, qt.DeepEquals, Plan(seed, 15*time.Second, 6, 3))
		last := time.Duration(0)
		for _, s := range steps {
			qt.Assert(t, s.At >= last && s.At < 15*time.Second && s.Duration >= shortest && s.Duration < longest, qt.IsTrue, qt.Commentf("%v", s))
			qt.Assert(t, s.Target >= 0 && s.Target < 6, qt.IsTrue)
			last = s.At
			kinds[s.Fault] = true
		}
	}
	qt.Assert(t, kinds, qt.HasLen, len(Faults()))
}

// TestRelay passes bytes, holds them in one direction, and resets connections.
func TestRelay(t *testing.T) {
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
	r.hold(0, toCaller)
	got, err = echo("two")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, "two")
	r.reset()
	_, err = echo("three")
	qt.Assert(t, err, qt.IsNotNil)
}
