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

// desk plays steps on the records and collects what they say.
type desk struct {
	records waxwingseam.Deduplicator
	c       *waxwingseam.Context
	now     time.Time
	said    []string
}

func newDesk() *desk {
	d := &desk{
		records: deduplicator.New(deduplicator.Config{ReplyBytes: 100, TotalBytes: 400}),
		c:       waxwingseam.NewContext(waxwingseam.Server{}),
		now:     time.Unix(1000, 0),
	}
	d.pass(0)
	return d
}

func (d *desk) pass(t time.Duration) {
	d.now = d.now.Add(t)
	d.c.Begin(waxwingseam.Stamp{Now: d.now})
}

func (d *desk) say(format string, args ...any) { d.said = append(d.said, fmt.Sprintf(format, args...)) }

func id(n uint64) waxwingseam.CallID { return waxwingseam.NewCallID(n, 0) }

// arrive says the standing, and the owner where it is another call.
func (d *desk) arrive(n uint64, key string, resumed bool) {
	r := d.records.Arrive(d.c, waxwingseam.Call{
		ID: id(n), Class: "marks", Key: key, Resumed: resumed, Deadline: d.now.Add(10 * time.Second),
	})
	names := []string{"new", "waiting", "running", "finished", "unkept", "fenced"}
	text := names[r.State]
	if r.Owner != id(n) {
		text += " elsewhere"
	}
	d.say("%s", text)
}

func (d *desk) start(n uint64) { d.records.Start(d.c, id(n)) }

func (d *desk) finish(n uint64, outcome waxwingseam.Outcome, length int64) {
	d.say("%v", d.records.Finish(d.c, id(n), waxwingseam.Result{Outcome: outcome, Length: length}))
}

func (d *desk) fence(n uint64) { d.say("%v", d.records.Fence(d.c, id(n), d.now.Add(time.Second))) }

// TestRecords plays what may happen to a call and its resends.
func TestRecords(t *testing.T) {
	done, lost, unrun := waxwingseam.OutcomeCompleted, waxwingseam.OutcomeMayHaveRun, waxwingseam.OutcomeDidNotRun
	run := func(d *desk, n uint64, key string) {
		d.arrive(n, key, false)
		d.start(n)
		d.finish(n, done, 10)
	}
	for _, v := range []struct {
		name string
		play func(d *desk)
		want string
	}{
		{"a resend joins, then collects", func(d *desk) {
			d.arrive(1, "", false)
			d.arrive(1, "", false)
			d.start(1)
			d.arrive(1, "", true)
			d.finish(1, done, 10)
			d.arrive(1, "", true)
		}, "new waiting running true finished"},
		{"a refused call may come again", func(d *desk) {
			d.arrive(1, "", false)
			d.records.Refuse(d.c, id(1))
			d.arrive(1, "", false)
		}, "new new"},
		{"a refused call that was resumed may not", func(d *desk) {
			d.arrive(1, "", true)
			d.records.Refuse(d.c, id(1))
			d.arrive(1, "", false)
		}, "new fenced"},
		{"resumed while it waited, then refused", func(d *desk) {
			d.arrive(1, "", false)
			d.arrive(1, "", true)
			d.records.Refuse(d.c, id(1))
			d.arrive(1, "", false)
		}, "new waiting fenced"},
		{"a fence comes first", func(d *desk) {
			d.fence(1)
			d.arrive(1, "", false)
			d.pass(30 * time.Second)
			d.arrive(1, "", false)
		}, "false fenced fenced"},
		{"a fence stops a waiting call", func(d *desk) {
			d.arrive(1, "", false)
			d.fence(1)
			d.start(1)
			d.arrive(1, "", false)
		}, "new false fenced"},
		{"a fence finds it started", func(d *desk) {
			run(d, 1, "")
			d.fence(1)
		}, "new true true"},
		{"one key joins two calls", func(d *desk) {
			run(d, 1, "lot-7")
			d.arrive(2, "lot-7", false)
			d.fence(2)
			d.arrive(3, "lot-8", false)
		}, "new true finished elsewhere true new"},
		{"a key whose call did not run is free", func(d *desk) {
			d.arrive(1, "lot-7", false)
			d.start(1)
			d.finish(1, unrun, 0)
			d.arrive(2, "lot-7", false)
		}, "new false new"},
		{"a run without its whole reply stays known", func(d *desk) {
			d.arrive(1, "lot-7", false)
			d.start(1)
			d.finish(1, lost, 0)
			d.arrive(2, "lot-7", false)
		}, "new false unkept elsewhere"},
		{"replies go, records stay, both go", func(d *desk) {
			run(d, 1, "")
			d.pass(10 * time.Second)
			d.say("%d", len(d.records.Expire(d.c)))
			d.arrive(1, "", false)
			d.pass(2 * time.Minute)
			d.say("%d", len(d.records.Expire(d.c)))
			d.arrive(1, "", false)
		}, "new true 1 unkept 0 new"},
		{"a run that goes on is never forgotten", func(d *desk) {
			d.arrive(1, "", false)
			d.start(1)
			d.pass(time.Hour)
			d.records.Expire(d.c)
			d.arrive(1, "", false)
		}, "new running"},
		{"the oldest replies make room", func(d *desk) {
			for n := range uint64(5) {
				d.arrive(n, "", false)
				d.start(n)
				d.finish(n, done, 1000)
			}
			d.say("%d", len(d.records.Expire(d.c)))
			d.arrive(0, "", false)
			d.arrive(3, "", false)
			d.arrive(4, "", false)
		}, "new true new true new true new true new false 2 unkept finished unkept"},
	} {
		t.Run(v.name, func(t *testing.T) {
			d := newDesk()
			v.play(d)
			qt.Assert(t, strings.Join(d.said, " "), qt.Equals, v.want)
		})
	}
}
