package pacer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam/pacer"
)

var start = time.Unix(1000, 0)

// ExampleNew shows a rate of four calls a second.
func ExampleNew() {
	p := pacer.New()
	p.SetLimit(start, 4)
	fmt.Println(p.Delay(start, 1))
	p.Take(start.Add(250 * time.Millisecond))
	fmt.Println(p.Delay(start.Add(250*time.Millisecond), 2))
	// Output:
	// 250ms
	// 500ms
}

// greedy hands over each call as soon as the pacer allows, from one time to another.
func greedy(at func(time.Time) bool, from, to time.Time) []time.Time {
	var out []time.Time
	for t := from; t.Before(to); t = t.Add(time.Millisecond) {
		for at(t) {
			out = append(out, t)
		}
	}
	return out
}

// TestRateIsKeptAndUsed guards against bursts above the named rate, after a pause or a
// change of the limit too, and against a rate that is not used up.
func TestRateIsKeptAndUsed(t *testing.T) {
	for _, rate := range []float64{0.3, 1, 14.5, 220} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			p := pacer.New()
			p.SetLimit(start, rate)
			take := func(now time.Time) bool {
				if p.Delay(now, 1) > 0 {
					return false
				}
				p.Take(now)
				return true
			}
			const span = 20 * time.Second
			first := greedy(take, start, start.Add(span))
			qt.Check(t, float64(len(first)) <= rate*span.Seconds()+1, qt.IsTrue, qt.Commentf("%d", len(first)))
			qt.Check(t, float64(len(first)) >= rate*span.Seconds()-2, qt.IsTrue, qt.Commentf("%d", len(first)))

			afterPause := start.Add(2 * span)
			saved := greedy(take, afterPause, afterPause.Add(time.Millisecond))
			qt.Check(t, float64(len(saved)) <= max(rate/4, 1)+1, qt.IsTrue, qt.Commentf("%d", len(saved)))
		})
	}
}

// TestChangesGrantNoCalls guards against a server that gets more than its rate because
// it names another one in each answer.
func TestChangesGrantNoCalls(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	p := pacer.New()
	p.SetLimit(start, 10)
	handedOver := 0
	const span = 20 * time.Second
	for now := start; now.Before(start.Add(span)); now = now.Add(time.Millisecond) {
		p.SetLimit(now, 9+2*random.Float64())
		if p.Delay(now, 1) == 0 {
			p.Take(now)
			handedOver++
		}
	}
	qt.Check(t, handedOver <= 205, qt.IsTrue, qt.Commentf("%d", handedOver))
	qt.Check(t, handedOver >= 180, qt.IsTrue, qt.Commentf("%d", handedOver))
}

// TestLowLimitsEnd guards against a server that names a limit of 0 and gets no call
// whose answer could end the limit, and against a lower limit that waits for the time
// of a higher one.
func TestLowLimitsEnd(t *testing.T) {
	p := pacer.New()
	p.SetLimit(start, 0)
	qt.Check(t, p.Delay(start, 1), qt.Equals, 4*time.Second)
	p.SetLimit(start, 10)
	qt.Check(t, p.Delay(start, 1), qt.Equals, 100*time.Millisecond)
	p.Unlimit()
	qt.Check(t, p.Delay(start, 100), qt.Equals, time.Duration(0))
}
