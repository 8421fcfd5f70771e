package predictor_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/predictor"
)

var start = time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)

// TestRestGrowsWithTails guards against a remaining time that shrinks with the time taken
// although most runs that took so long are of the few long ones.
func TestRestGrowsWithTails(t *testing.T) {
	p := predictor.New()
	call := predictor.Call{Class: "look-up"}
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 2000 {
		held := 20 * time.Millisecond
		if random.IntN(100) < 3 {
			held *= 7
		}
		p.Observe(start.Add(time.Duration(i)*time.Millisecond), call, predictor.Cost{Held: held, OwnShare: 1})
	}
	fresh, _ := p.Rest(call, 0)
	qt.Assert(t, fresh > 21*time.Millisecond && fresh < 27*time.Millisecond, qt.IsTrue, qt.Commentf("%v", fresh))
	old, _ := p.Rest(call, 40*time.Millisecond)
	qt.Assert(t, old > 80*time.Millisecond && old < 120*time.Millisecond, qt.IsTrue, qt.Commentf("%v", old))
	beyond, _ := p.Rest(call, time.Second)
	qt.Assert(t, beyond, qt.Equals, time.Second)
}

// TestAttributesAreUsedIfTheyPredict guards against estimates from an attribute whose
// values say nothing of the cost, and against the mean of the class where they do.
func TestAttributesAreUsedIfTheyPredict(t *testing.T) {
	p := predictor.New()
	random := rand.New(rand.NewPCG(1, 1))
	var long predictor.Call
	for i := range 2000 {
		call := predictor.Call{Class: "report", Values: [3]uint64{uint64(1 + random.IntN(4)), uint64(1 + i%2), 0}}
		held := time.Duration(10+random.IntN(10)) * time.Millisecond
		if i%2 == 1 {
			held *= 5
			long = call
		}
		p.Observe(start.Add(time.Duration(i)*time.Millisecond), call, predictor.Cost{Held: held})
	}
	e := p.Estimate(long)
	qt.Assert(t, e.Basis, qt.Equals, predictor.Basis{ByClass: true, ByAttribute: true, Attribute: predictor.AttributeSize})
	qt.Assert(t, e.Mean > 60*time.Millisecond, qt.IsTrue)
	long.Values[predictor.AttributeSize] = 0
	qt.Assert(t, p.Estimate(long).Basis, qt.Equals, predictor.Basis{ByClass: true})
}

// TestOldCostsAreForgotten guards against estimates that keep to costs of long ago.
func TestOldCostsAreForgotten(t *testing.T) {
	p := predictor.New()
	call := predictor.Call{Class: "look-up"}
	for i := range 1000 {
		p.Observe(start.Add(time.Duration(i)*time.Millisecond), call, predictor.Cost{Held: time.Second})
	}
	later := start.Add(10 * time.Minute)
	for i := range 20 {
		p.Observe(later.Add(time.Duration(i)*time.Millisecond), call, predictor.Cost{Held: 10 * time.Millisecond})
	}
	qt.Assert(t, p.Estimate(call).Mean < 15*time.Millisecond, qt.IsTrue)
}

// TestMemoryIsBounded guards against a table that grows with the values that callers
// choose.
func TestMemoryIsBounded(t *testing.T) {
	p := predictor.New()
	for i := range 20_000 {
		p.Observe(start, predictor.Call{
			Class:  waxwingseam.ClassName(strconv.Itoa(i % 400)),
			Values: [3]uint64{uint64(i + 1), uint64(i + 1), uint64(i + 1)},
		}, predictor.Cost{Held: time.Millisecond})
	}
	classes, values := p.Size()
	qt.Assert(t, classes <= 256, qt.IsTrue)
	qt.Assert(t, values <= 1024, qt.IsTrue)
}
