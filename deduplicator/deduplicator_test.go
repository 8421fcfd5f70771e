package deduplicator_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/deduplicator"
)

// harness applies steps to a deduplicator and logs the results.
type harness struct {
	records waxwingseam.Deduplicator
	c       *waxwingseam.Context
	now     time.Time
	log     []string
}

func newHarness() *harness {
	h := &harness{
		records: deduplicator.New(deduplicator.Config{ReplyBytes: 100, TotalBytes: 400}),
		c:       waxwingseam.NewContext(waxwingseam.Server{}),
		now:     time.Unix(1000, 0),
	}
	h.advance(0)
	return h
}

func (h *harness) advance(t time.Duration) {
	h.now = h.now.Add(t)
	h.c.Begin(waxwingseam.Stamp{Now: h.now})
}

func (h *harness) logf(format string, args ...any) {
	h.log = append(h.log, fmt.Sprintf(format, args...))
}

func id(n uint64) waxwingseam.CallID { return waxwingseam.NewCallID(n, 0) }

// arrive logs the state of a call, and whether the call joined another.
func (h *harness) arrive(n uint64, key string, resumed bool) {
	r := h.records.Arrive(h.c, waxwingseam.Call{
		ID: id(n), Class: "marks", Key: key, Resumed: resumed, Deadline: h.now.Add(10 * time.Second),
	})
	names := []string{"new", "waiting", "running", "finished", "dropped", "fenced"}
	text := names[r.State]
	if r.Owner != id(n) {
		text += " joined"
	}
	h.logf("%s", text)
}

func (h *harness) start(n uint64) { h.records.Start(h.c, id(n)) }

func (h *harness) finish(n uint64, outcome waxwingseam.Outcome, length int64) {
	h.logf("%v", h.records.Finish(h.c, id(n), waxwingseam.Result{Outcome: outcome, Length: length}))
}

func (h *harness) fence(n uint64) { h.logf("%v", h.records.Fence(h.c, id(n), h.now.Add(time.Second))) }

// TestCallsAndResends guards against a second run of a resent call, and against a
// call that cannot be sent again although it did not run.
func TestCallsAndResends(t *testing.T) {
	done, partial, notRun := waxwingseam.OutcomeCompleted, waxwingseam.OutcomeMayHaveRun, waxwingseam.OutcomeDidNotRun
	run := func(h *harness, n uint64, key string) {
		h.arrive(n, key, false)
		h.start(n)
		h.finish(n, done, 10)
	}
	for _, v := range []struct {
		name  string
		steps func(h *harness)
		want  string
	}{
		{"a resend joins the run, then gets its reply", func(h *harness) {
			h.arrive(1, "", false)
			h.arrive(1, "", false)
			h.start(1)
			h.arrive(1, "", true)
			h.finish(1, done, 10)
			h.arrive(1, "", true)
		}, "new waiting running true finished"},
		{"a refused call may be sent again", func(h *harness) {
			h.arrive(1, "", false)
			h.records.Refuse(h.c, id(1))
			h.arrive(1, "", false)
		}, "new new"},
		{"a refused call that was resumed is fenced", func(h *harness) {
			h.arrive(1, "", true)
			h.records.Refuse(h.c, id(1))
			h.arrive(1, "", false)
		}, "new fenced"},
		{"a call resumed while waiting is fenced when refused", func(h *harness) {
			h.arrive(1, "", false)
			h.arrive(1, "", true)
			h.records.Refuse(h.c, id(1))
			h.arrive(1, "", false)
		}, "new waiting fenced"},
		{"a fence arrives before the call", func(h *harness) {
			h.fence(1)
			h.arrive(1, "", false)
			h.advance(30 * time.Second)
			h.arrive(1, "", false)
		}, "false fenced fenced"},
		{"a waiting call is fenced", func(h *harness) {
			h.arrive(1, "", false)
			h.fence(1)
			h.start(1)
			h.arrive(1, "", false)
		}, "new false fenced"},
		{"a fence reports a call that has started", func(h *harness) {
			run(h, 1, "")
			h.fence(1)
		}, "new true true"},
		{"two calls with one key join", func(h *harness) {
			run(h, 1, "lot-7")
			h.arrive(2, "lot-7", false)
			h.fence(2)
			h.arrive(3, "lot-8", false)
		}, "new true finished joined true new"},
		{"the key of a call that did not run is free", func(h *harness) {
			h.arrive(1, "lot-7", false)
			h.start(1)
			h.finish(1, notRun, 0)
			h.arrive(2, "lot-7", false)
		}, "new false new"},
		{"a run without a whole reply stays recorded", func(h *harness) {
			h.arrive(1, "lot-7", false)
			h.start(1)
			h.finish(1, partial, 0)
			h.arrive(2, "lot-7", false)
		}, "new false dropped joined"},
		{"replies expire before records", func(h *harness) {
			run(h, 1, "")
			h.advance(10 * time.Second)
			h.logf("%d", len(h.records.Expire(h.c)))
			h.arrive(1, "", false)
			h.advance(2 * time.Minute)
			h.logf("%d", len(h.records.Expire(h.c)))
			h.arrive(1, "", false)
		}, "new true 1 dropped 0 new"},
		{"the record of a running call does not expire", func(h *harness) {
			h.arrive(1, "", false)
			h.start(1)
			h.advance(time.Hour)
			h.records.Expire(h.c)
			h.arrive(1, "", false)
		}, "new running"},
		{"the oldest replies are evicted", func(h *harness) {
			for n := range uint64(5) {
				h.arrive(n, "", false)
				h.start(n)
				h.finish(n, done, 1000)
			}
			h.logf("%d", len(h.records.Expire(h.c)))
			h.arrive(0, "", false)
			h.arrive(3, "", false)
			h.arrive(4, "", false)
		}, "new true new true new true new true new false 2 dropped finished dropped"},
	} {
		t.Run(v.name, func(t *testing.T) {
			h := newHarness()
			v.steps(h)
			qt.Assert(t, strings.Join(h.log, " "), qt.Equals, v.want)
		})
	}
}
