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

var update = flag.Bool("update", false, "write the golden files anew")

const golden = "testdata/drain.cbor"

// draining reduces drains; a broken one takes each for an undone one.
type draining struct {
	drainer waxwingseam.Drainer
	broken  bool
}

func (d *draining) Kinds() []waxwingseam.Kind { return []waxwingseam.Kind{waxwingseam.KindDrainAsked} }

func (d *draining) Reduce(c *waxwingseam.Context, e waxwingseam.Event) {
	d.drainer.Drain(c, e.(waxwingseam.DrainAsked).Undo || d.broken)
}

func newReducer(broken bool) waxwingseam.Reducer {
	return reducer.New(reducer.Config{
		Self:    waxwingseam.Server{Name: "fees-1", Service: "fees"},
		Workers: []waxwingseam.PrioritizedWorker{{Worker: &draining{drainer: drainer.New(drainer.Config{}), broken: broken}}},
	})
}

// record returns the log of a drain, a second one, and one undone.
func record(t *testing.T) []byte {
	var out bytes.Buffer
	r := recorder.New(recorder.Config{Writer: &out, Process: "node-1"})
	red := newReducer(false)
	now := time.Date(2026, 1, 1, 6, 0, 0, 123456789, time.UTC)
	for n, undo := range []bool{false, false, true} {
		e := waxwingseam.DrainAsked{
			Stamp: waxwingseam.Stamp{Now: now.Add(time.Duration(n) * time.Second), Random: uint64(n)},
			Undo:  undo,
		}
		r.Observe(e, red.Reduce(e))
	}
	qt.Assert(t, r.Flush(), qt.IsNil)
	return out.Bytes()
}

func replay(log []byte, broken bool) (waxwingseam.Findings, error) {
	return recorder.Replay(recorder.NewReader(bytes.NewReader(log), recorder.DefaultCatalog()), newReducer(broken))
}

// TestReplay checks that the same events give the same effects byte for byte,
// and that another reducer's differ.
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
		"node-1:1: [drain-asked] 1 effects were recorded, 0 come now\nnode-1:3: [drain-asked] 1 effects were recorded, 0 come now")
}

func TestTornLog(t *testing.T) {
	log := record(t)
	_, err := replay(log[:len(log)-1], false)
	qt.Assert(t, err, qt.ErrorMatches, "entry 3: unexpected EOF")
	_, err = recorder.Replay(recorder.NewReader(bytes.NewReader(log), recorder.NewCatalog()), newReducer(false))
	qt.Assert(t, err, qt.ErrorMatches, `entry 1: unknown event "drain-asked"`)
}
