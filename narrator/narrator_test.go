package narrator_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/narrator"
)

var update = flag.Bool("update", false, "rewrite the golden files")

var start = time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)

func stamp(after time.Duration) waxwingseam.Stamp {
	return waxwingseam.Stamp{Now: start.Add(after)}
}

// newNarrator returns a narrator that writes lines without a time field.
func newNarrator(out *bytes.Buffer) *narrator.Narrator {
	return narrator.New(narrator.Config{Logger: slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{
		ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == slog.TimeKey {
				return slog.Attr{}
			}
			return a
		},
	}))})
}

// TestLinesGolden checks that no kind of line loses or renames a field. docs/LOGS.md
// shows the golden file.
func TestLinesGolden(t *testing.T) {
	var out bytes.Buffer
	n := newNarrator(&out)
	id := waxwingseam.NewCallID(1, 2)
	call := waxwingseam.Call{
		ID: id, RequestID: "9c41d07be2a35f68", Class: "lots", Service: "desk", Revision: 7,
		Rank: waxwingseam.Rank{Importance: 7}, Deadline: start.Add(2 * time.Second), Allowance: 1,
	}
	load := waxwingseam.Load{InFlight: 8, Waiting: 3, Limit: 8, ServiceTime: 40 * time.Millisecond, Revision: 7}
	refused := waxwingseam.Result{
		Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonWaitLimit, Reached: true,
		Load: load, Waited: 375 * time.Millisecond, RetryAfter: time.Second,
	}
	server := waxwingseam.Server{Name: "desk-1", Service: "desk", Node: netip.MustParseAddrPort("10.0.0.1:7"), Since: start.Add(-time.Minute)}
	n.Observe(waxwingseam.SetAdopted{Stamp: stamp(0), Set: &waxwingseam.Set{Revision: 7, Number: 12}}, nil)
	n.Observe(waxwingseam.ServersUpdated{Stamp: stamp(0), Servers: []waxwingseam.Server{server}, Gone: []waxwingseam.ServerName{"desk-0"}}, nil)
	report := waxwingseam.BackendReport{Instance: "i-1", Service: "desk", State: waxwingseam.BackendReady, Slots: 8, Sequence: 1, Started: start}
	n.Observe(waxwingseam.BackendReported{Stamp: stamp(0), Report: report}, nil)
	report.Sequence = 2
	n.Observe(waxwingseam.BackendReported{Stamp: stamp(0), Report: report}, nil)
	n.Observe(waxwingseam.EndingsLearned{Stamp: stamp(0)}, []waxwingseam.Effect{
		waxwingseam.EndingsAdded{Endings: []waxwingseam.Ending{{Instance: "i-1", Started: start, At: start}}},
		waxwingseam.ServerKeptOut{Instance: "i-1", Started: start, Sequence: 2},
		waxwingseam.ServerAdmitted{Basis: waxwingseam.AdmittedByControl, After: 80 * time.Millisecond, Held: 1},
	})
	n.Observe(waxwingseam.RetryHistoryLearned{Stamp: stamp(0), History: waxwingseam.RetryHistory{
		Use: waxwingseam.RetryUse{Repeats: 7, Age: 2 * time.Second}, Covered: time.Hour, Left: []time.Duration{time.Second},
	}}, nil)
	n.Observe(waxwingseam.CallArrived{Stamp: stamp(0), ID: id, RequestID: call.RequestID}, []waxwingseam.Effect{
		waxwingseam.Dispatch{Call: call, Attempt: 1, Server: server},
	})
	n.Observe(waxwingseam.AttemptArrived{Stamp: stamp(0), Call: call, Attempt: 1}, nil)
	n.Observe(waxwingseam.TimerFired{Stamp: stamp(375 * time.Millisecond)}, []waxwingseam.Effect{
		waxwingseam.AnswerAttempt{ID: id, Attempt: 1, Result: refused},
	})
	server.Name = "desk-2"
	n.Observe(waxwingseam.AttemptEnded{Stamp: stamp(376 * time.Millisecond), ID: id, Attempt: 1, Result: refused}, []waxwingseam.Effect{
		waxwingseam.Dispatch{Call: call, Attempt: 2, Server: server},
	})
	n.Observe(waxwingseam.AttemptEnded{Stamp: stamp(380 * time.Millisecond), ID: id, Attempt: 2, Result: refused}, []waxwingseam.Effect{
		waxwingseam.Reply{ID: id, Attempt: 2, Result: refused},
	})
	unsent := waxwingseam.NewCallID(1, 3)
	n.Observe(waxwingseam.CallArrived{Stamp: stamp(400 * time.Millisecond), ID: unsent, RequestID: "51b2cc07aa0e9d11"}, []waxwingseam.Effect{
		waxwingseam.Reply{
			ID:     unsent,
			Result: waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonOverloaded, RetryAfter: time.Second},
			Refusal: &waxwingseam.Refusal{
				Call:  waxwingseam.Call{Class: "lots", Service: "desk", Revision: 7, Rank: waxwingseam.Rank{Importance: 7}, Deadline: start.Add(2 * time.Second), RefusedPermille: 420},
				Basis: waxwingseam.BasisStatedShare, BasisAge: 30 * time.Millisecond, Late: true,
			},
		},
	})
	limited := waxwingseam.NewCallID(1, 5)
	n.Observe(waxwingseam.CallArrived{Stamp: stamp(450 * time.Millisecond), ID: limited, RequestID: "7be2a35f689c41d0"}, []waxwingseam.Effect{
		waxwingseam.Reply{
			ID: limited, Account: "archive",
			Result: waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonAccountLimit, RetryAfter: time.Second},
			Refusal: &waxwingseam.Refusal{
				Call:  waxwingseam.Call{Class: "lots", Service: "desk", Account: "archive", Revision: 7, Rank: waxwingseam.Rank{Importance: 8}, Deadline: start.Add(2 * time.Second)},
				Basis: waxwingseam.BasisAccountLimit, BasisAge: 120 * time.Millisecond, Used: 1024.5, Limit: 842,
			},
		},
	})
	n.Observe(waxwingseam.BackendStated{Stamp: stamp(500 * time.Millisecond)}, []waxwingseam.Effect{waxwingseam.StatementChanged{
		Server: "desk-1", Backend: waxwingseam.BackendIncarnation{Instance: "i-1", Started: start},
		Statement: waxwingseam.Statement{Limited: true, Rate: 14.5}, Source: waxwingseam.StatementFromAnswer,
	}})
	n.Observe(waxwingseam.AttemptEnded{Stamp: stamp(510 * time.Millisecond)}, []waxwingseam.Effect{waxwingseam.Run{Call: call}})
	n.Observe(waxwingseam.RunEnded{Stamp: stamp(550 * time.Millisecond), ID: id, Result: waxwingseam.Result{Status: 200}, Elapsed: 40 * time.Millisecond}, nil)
	left := waxwingseam.Call{ID: waxwingseam.NewCallID(1, 4), RequestID: "0d3f6a1be2c84975", Class: "lots"}
	n.Observe(waxwingseam.AttemptEnded{Stamp: stamp(600 * time.Millisecond)}, []waxwingseam.Effect{waxwingseam.Run{Call: left}})
	n.Observe(waxwingseam.AttemptCancelled{Stamp: stamp(604 * time.Millisecond), ID: left.ID, Attempt: 1}, []waxwingseam.Effect{waxwingseam.CancelRun{ID: left.ID}})
	n.Observe(waxwingseam.RunEnded{Stamp: stamp(605 * time.Millisecond), ID: left.ID, Elapsed: 5 * time.Millisecond}, nil)
	request := waxwingseam.RequestDigest{0: 0x5e, 15: 0x01}
	n.Observe(waxwingseam.BackendProbed{Stamp: stamp(700 * time.Millisecond), Refused: true}, []waxwingseam.Effect{
		waxwingseam.BackendEnded{
			End: waxwingseam.ServerEnd{
				ID: waxwingseam.ServerEndID{Server: "desk-1", Number: 1}, Proven: true,
				Requests: []waxwingseam.EndedRequest{{Fingerprint: waxwingseam.Fingerprint{Digest: request}}},
			},
			Instance: "i-1", Proof: waxwingseam.EndProofRefused,
		},
		waxwingseam.QuarantineChanged{Request: waxwingseam.QuarantinedRequest{
			Digest: request, State: waxwingseam.QuarantineSet, Ends: 3, Servers: 3, Proven: 3, RunnerUp: 1, Until: start.Add(time.Hour),
		}},
	})
	n.Observe(waxwingseam.DrainAsked{Stamp: stamp(time.Second)}, nil)
	n.Observe(waxwingseam.TimerFired{Stamp: stamp(6 * time.Second)}, nil)
	if *update {
		qt.Assert(t, os.WriteFile("testdata/lines.golden", out.Bytes(), 0o600), qt.IsNil)
	}
	want, err := os.ReadFile("testdata/lines.golden")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, out.String(), qt.Equals, string(want))
}

// TestLinesAreBounded refuses ten thousand calls within a second and checks that
// rate and burst bound the lines, and that the summary counts the dropped ones.
func TestLinesAreBounded(t *testing.T) {
	var out bytes.Buffer
	n := newNarrator(&out)
	for i := range 10_000 {
		id := waxwingseam.NewCallID(1, uint64(i))
		now := time.Duration(i) * 100 * time.Microsecond
		n.Observe(waxwingseam.CallArrived{Stamp: stamp(now), ID: id}, []waxwingseam.Effect{
			waxwingseam.Reply{ID: id, Result: waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonOverloaded}},
		})
	}
	n.Observe(waxwingseam.TimerFired{Stamp: stamp(6 * time.Second)}, nil)
	lines := strings.Count(out.String(), "\n")
	qt.Assert(t, lines <= narrator.DefaultBurst+narrator.DefaultRate+1, qt.IsTrue, qt.Commentf("%d lines", lines))
	qt.Assert(t, out.String(), qt.Contains, `"refused":10000`)
	qt.Assert(t, strings.Contains(out.String(), `"lines-left-out":0`), qt.IsFalse)
}

// BenchmarkSuccessfulCall measures the time that the narrator adds to a successful
// call.
func BenchmarkSuccessfulCall(b *testing.B) {
	var out bytes.Buffer
	n := newNarrator(&out)
	call := waxwingseam.Call{Class: "lots", Service: "desk"}
	for i := range b.N {
		call.ID = waxwingseam.NewCallID(1, uint64(i))
		n.Observe(waxwingseam.CallArrived{Stamp: stamp(0), ID: call.ID}, []waxwingseam.Effect{waxwingseam.Dispatch{Call: call, Attempt: 1}})
		n.Observe(waxwingseam.AttemptEnded{Stamp: stamp(0), ID: call.ID}, []waxwingseam.Effect{
			waxwingseam.Reply{ID: call.ID, Result: waxwingseam.Result{Status: 200}},
		})
	}
}

// TestSummaryBoundsClasses checks that a summary names a bounded number of classes, and
// counts the attempts of all of them.
func TestSummaryBoundsClasses(t *testing.T) {
	var out bytes.Buffer
	n := newNarrator(&out)
	const classes = 1000
	for i := range classes {
		id := waxwingseam.NewCallID(1, uint64(i))
		call := waxwingseam.Call{ID: id, Class: waxwingseam.ClassName(fmt.Sprintf("class-%d", i))}
		n.Observe(waxwingseam.AttemptArrived{Stamp: stamp(0), Call: call, Attempt: 1}, []waxwingseam.Effect{
			waxwingseam.AnswerAttempt{ID: id, Attempt: 1, Result: waxwingseam.Result{Status: 200}},
		})
	}
	n.Observe(waxwingseam.TimerFired{Stamp: stamp(6 * time.Second)}, nil)
	var line struct {
		Classes map[string]struct{ Answered int } `json:"hosted-by-class"`
	}
	qt.Assert(t, json.Unmarshal(out.Bytes(), &line), qt.IsNil)
	qt.Assert(t, len(line.Classes) <= 33, qt.IsTrue, qt.Commentf("%d", len(line.Classes)))
	total := 0
	for _, v := range line.Classes {
		total += v.Answered
	}
	qt.Assert(t, total, qt.Equals, classes)
}
