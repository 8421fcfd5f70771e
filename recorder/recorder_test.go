package recorder_test

import (
	"bytes"
	"flag"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/drainer"
	"waxwingseam.example/waxwingseam/recorder"
	"waxwingseam.example/waxwingseam/reducer"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const golden = "testdata/drain.cbor"

// drainWorker passes DrainAsked events to a Drainer. If broken is set, it treats
// each of them as an undo.
type drainWorker struct {
	drainer waxwingseam.Drainer
	broken  bool
}

func (d *drainWorker) Kinds() []waxwingseam.Kind {
	return []waxwingseam.Kind{waxwingseam.KindDrainAsked}
}

func (d *drainWorker) Reduce(c *waxwingseam.Context, e waxwingseam.Event) {
	d.drainer.Drain(c, e.(waxwingseam.DrainAsked).Undo || d.broken)
}

func newReducer(broken bool) waxwingseam.Reducer {
	return reducer.New(reducer.Config{
		Self:    waxwingseam.Server{Name: "fees-1", Service: "fees"},
		Workers: []waxwingseam.PrioritizedWorker{{Worker: &drainWorker{drainer: drainer.New(drainer.Config{}), broken: broken}}},
	})
}

// record returns the log of a drain, a repeated drain, and an undo.
func record(t *testing.T) []byte {
	var out bytes.Buffer
	r := recorder.New(recorder.Config{Writer: &out, Process: "node-1"})
	drainReducer := newReducer(false)
	now := time.Date(2026, 1, 1, 6, 0, 0, 123456789, time.UTC)
	for n, undo := range []bool{false, false, true} {
		e := waxwingseam.DrainAsked{
			Stamp: waxwingseam.Stamp{Now: now.Add(time.Duration(n) * time.Second), Random: uint64(n)},
			Undo:  undo,
		}
		r.Observe(e, drainReducer.Reduce(e))
	}
	qt.Assert(t, r.Flush(), qt.IsNil)
	return out.Bytes()
}

func replay(log []byte, broken bool) (waxwingseam.Findings, error) {
	return recorder.Replay(recorder.NewReader(bytes.NewReader(log), recorder.DefaultCatalog()), newReducer(broken))
}

// TestReplay checks that a replay returns the recorded effects byte for byte,
// that it reports the different effects of a broken reducer, and that the
// encoding of the log does not change unintentionally.
func TestReplay(t *testing.T) {
	log := record(t)
	if *update {
		qt.Assert(t, os.WriteFile(golden, log, 0o600), qt.IsNil)
	}
	want, err := os.ReadFile(golden)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, log, qt.DeepEquals, want)
	findings, err := replay(log, false)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, findings, qt.HasLen, 0)
	findings, err = replay(log, true)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, findings.Error(), qt.Equals,
		"node-1:1: [drain-asked] 1 effects were recorded, but the replay returned 0\nnode-1:3: [drain-asked] 1 effects were recorded, but the replay returned 0")
}

func TestReplayFailsOnTruncatedLogAndUnknownEvent(t *testing.T) {
	log := record(t)
	_, err := replay(log[:len(log)-1], false)
	qt.Assert(t, err, qt.ErrorMatches, "entry 3: unexpected EOF")
	_, err = recorder.Replay(recorder.NewReader(bytes.NewReader(log), recorder.NewCatalog()), newReducer(false))
	qt.Assert(t, err, qt.ErrorMatches, `entry 1: unknown event "drain-asked"`)
}

// TestTargetIsNotReadBack guards against a log that can't be replayed because a caller sent a
// path or an identifier that is not UTF-8.
func TestTargetIsNotReadBack(t *testing.T) {
	var log bytes.Buffer
	r := recorder.New(recorder.Config{Writer: &log})
	sent := waxwingseam.CallArrived{Path: "/lots/\xff|%2F", RequestID: "\xfe"}
	r.Observe(sent, nil)
	qt.Assert(t, r.Flush(), qt.IsNil)
	_, event, err := recorder.NewReader(&log, recorder.DefaultCatalog()).Next()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, event.(waxwingseam.CallArrived).Path, qt.Equals, sent.Path)
	qt.Assert(t, event.(waxwingseam.CallArrived).RequestID, qt.Equals, sent.RequestID)
}
