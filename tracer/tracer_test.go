package tracer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"waxwingseam.example/waxwingseam"
)

// TestSpansOfTwoNodesFormOneTrace passes the events of one call to the tracers of
// two nodes and checks that its four spans are linked in one trace.
func TestSpansOfTwoNodesFormOneTrace(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	provider := sdk.NewTracerProvider(sdk.WithSpanProcessor(recorder), sdk.WithIDGenerator(idGenerator{}))
	sender, receiver := newTracer(provider), newTracer(provider)
	stamp := waxwingseam.Stamp{Now: time.Unix(100, 0)}
	id := waxwingseam.NewCallID(1, 2)
	root := waxwingseam.RootID{7}
	trace := NewTrace(root, maxPercent)
	call := waxwingseam.Call{ID: id, Root: root, Service: "fees", Trace: trace}

	sender.Observe(
		waxwingseam.CallArrived{Stamp: stamp, ID: id, Root: root, Trace: trace},
		[]waxwingseam.Effect{waxwingseam.Dispatch{Call: call, Attempt: 1}},
	)
	receiver.Observe(
		waxwingseam.AttemptArrived{Stamp: stamp, Call: call, Attempt: 1},
		[]waxwingseam.Effect{waxwingseam.Run{Call: call, Attempt: 1}},
	)
	receiver.Observe(waxwingseam.RunEnded{Stamp: stamp, ID: id}, nil)
	sender.Observe(
		waxwingseam.AttemptEnded{Stamp: stamp, ID: id, Attempt: 1},
		[]waxwingseam.Effect{waxwingseam.Reply{ID: id, Attempt: 1}},
	)

	parents := map[string]string{}
	names := map[string]string{}
	for _, s := range recorder.Ended() {
		names[s.SpanContext().SpanID().String()] = s.Name()
		qt.Assert(t, s.SpanContext().TraceID().String(), qt.Equals, root.String())
	}
	for _, s := range recorder.Ended() {
		parents[s.Name()] = names[s.Parent().SpanID().String()]
	}
	qt.Assert(t, parents, qt.DeepEquals, map[string]string{
		"caller edge":    "",
		"node to node":   "caller edge",
		"queue wait":     "node to node",
		"backend server": "node to node",
	})
	qt.Assert(t, len(sender.open)+len(receiver.open), qt.Equals, 0)
}

func TestNewTraceSamplesGivenPercentage(t *testing.T) {
	sampled := 0
	for n := range 1000 {
		id := waxwingseam.NewCallID(uint64(n), 0)
		if NewTrace(waxwingseam.RootID(id), 30).Sampled {
			sampled++
		}
	}
	qt.Assert(t, sampled, qt.Equals, 300)
}

// TestSpansOfCancelledCallsEnd checks that all spans of a call end if its first
// attempt is fenced and its second one is cancelled in the queue.
func TestSpansOfCancelledCallsEnd(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	tracer := newTracer(sdk.NewTracerProvider(sdk.WithSpanProcessor(recorder), sdk.WithIDGenerator(idGenerator{})))
	stamp := waxwingseam.Stamp{Now: time.Unix(100, 0)}
	id := waxwingseam.NewCallID(3, 4)
	trace := NewTrace(waxwingseam.RootID{9}, maxPercent)
	call := waxwingseam.Call{ID: id, Trace: trace}
	tracer.Observe(
		waxwingseam.CallArrived{Stamp: stamp, ID: id, Root: waxwingseam.RootID{9}, Trace: trace},
		[]waxwingseam.Effect{waxwingseam.Dispatch{Call: call, Attempt: 1}},
	)
	tracer.Observe(waxwingseam.FenceAnswered{Stamp: stamp, ID: id, Attempt: 1}, []waxwingseam.Effect{waxwingseam.Dispatch{Call: call, Attempt: 2}})
	tracer.Observe(waxwingseam.AttemptArrived{Stamp: stamp, Call: call, Attempt: 2}, nil)
	tracer.Observe(waxwingseam.CallerLeft{Stamp: stamp, ID: id}, []waxwingseam.Effect{waxwingseam.Reply{ID: id, Attempt: 2}})
	tracer.Observe(waxwingseam.AttemptCancelled{Stamp: stamp, ID: id, Attempt: 2}, nil)
	qt.Assert(t, tracer.open, qt.HasLen, 0)
	qt.Assert(t, recorder.Ended(), qt.HasLen, 4)
}
