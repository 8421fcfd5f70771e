package admitter

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/limiter"
)

// load is an admitter with one slot taken and a number of calls waiting.
type load struct {
	admitter waxwingseam.Admitter
	context  *waxwingseam.Context
	next     uint64
	running  waxwingseam.CallID
}

func newLoad(waiting int) *load {
	l := &load{
		admitter: New(Config{Limiter: limiter.NewFixed(), Roots: limiter.NewFixed()}),
		context:  waxwingseam.NewContext(waxwingseam.Server{}),
	}
	l.context.Begin(waxwingseam.Stamp{Now: time.Unix(1000, 0)})
	l.admitter.Configure(1)
	l.running = l.offer(5, waiting)
	for range waiting {
		l.offer(5, waiting)
	}
	return l
}

// offer offers a call and returns its identifier.
func (l *load) offer(importance waxwingseam.Importance, places int) waxwingseam.CallID {
	l.next++
	id := waxwingseam.NewCallID(0, l.next)
	l.admitter.Offer(l.context, waxwingseam.Ticket{
		ID: id, Rank: waxwingseam.Rank{Importance: importance, Order: l.next}, Arrived: l.context.Now,
		Deadline: l.context.Now.Add(time.Hour), MaxWait: time.Hour, MaxWaiting: places,
	})
	return id
}

// serve ends the running call, which starts the first that waits, and lets
// another one wait.
func (l *load) serve(waiting int) {
	for _, v := range l.admitter.Finish(l.context, waxwingseam.RunEnd{ID: l.running}) {
		l.running = v.ID
	}
	l.offer(5, waiting)
}

func BenchmarkServe(b *testing.B) {
	for _, waiting := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			l := newLoad(waiting)
			b.ReportAllocs()
			for b.Loop() {
				l.serve(waiting)
			}
		})
	}
}

func BenchmarkRefuse(b *testing.B) {
	for _, waiting := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			l := newLoad(waiting)
			b.ReportAllocs()
			for b.Loop() {
				l.offer(1, waiting)
			}
		})
	}
}

// maxAllocations bounds the allocations of one decision, however many wait.
const maxAllocations = 3

func TestAllocationsOfDecisions(t *testing.T) {
	for _, waiting := range []int{10, 1000} {
		l := newLoad(waiting)
		refuse := testing.AllocsPerRun(100, func() { l.offer(1, waiting) })
		qt.Check(t, refuse <= maxAllocations, qt.IsTrue, qt.Commentf("refuse with %d waiting: %v", waiting, refuse))
		serve := testing.AllocsPerRun(100, func() { l.serve(waiting) })
		qt.Check(t, serve <= 2*maxAllocations, qt.IsTrue, qt.Commentf("serve with %d waiting: %v", waiting, serve))
	}
}
