package tracer

import (
	"context"
	"encoding/binary"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	api "go.opentelemetry.io/otel/trace"

	"waxwingseam.example/waxwingseam"
)

// callArrived starts the span of a call at its sending node.
func (t *Tracer) callArrived(e waxwingseam.Event) {
	v, ok := e.(waxwingseam.CallArrived)
	if !ok {
		return
	}
	trace, parent := t.parentOf(v)
	if !trace.Sampled {
		return
	}
	key := spanKey{call: v.ID, stage: stageEdge}
	t.start(v.Now, key, trace.TraceID, parent,
		attribute.String("waxwingseam.service", string(v.Service)),
		attribute.String("http.request.method", v.Method),
		attribute.String("url.path", v.Path),
	)
}

// parentOf returns the trace and the parent span ID of an arriving call. A child
// call belongs to the trace of the run that made it, if that run has a span.
func (t *Tracer) parentOf(v waxwingseam.CallArrived) (waxwingseam.TraceContext, api.SpanID) {
	if v.Parent.IsZero() {
		return v.Trace, v.Trace.SpanID
	}
	run, ok := t.open[spanKey{call: v.Parent, stage: stageRun}]
	if !ok {
		return waxwingseam.TraceContext{}, api.SpanID{}
	}
	return waxwingseam.TraceContext{
		TraceID: run.SpanContext().TraceID(),
		Sampled: true,
	}, run.SpanContext().SpanID()
}

// NewTrace returns the trace of a root whose caller sent none. The given percentage
// of roots is sampled.
func NewTrace(root waxwingseam.RootID, percent int) waxwingseam.TraceContext {
	bucket := binary.BigEndian.Uint64(root[:]) % maxPercent
	return waxwingseam.TraceContext{
		TraceID: root,
		Sampled: bucket < uint64(max(percent, 0)),
	}
}

func (t *Tracer) dispatched(now time.Time, e waxwingseam.Effect) {
	v, ok := e.(waxwingseam.Dispatch)
	if !ok || !v.Call.Trace.Sampled {
		return
	}
	key := spanKey{call: v.Call.ID, attempt: v.Attempt, stage: stageAttempt}
	t.start(now, key, v.Call.Trace.TraceID, spanKey{call: v.Call.ID, stage: stageEdge}.id(),
		attribute.String("waxwingseam.target", string(v.Server.Name)),
		attribute.Int("waxwingseam.attempt", int(v.Attempt)),
		attribute.Int("waxwingseam.allowance", int(v.Call.Allowance)),
	)
}

func (t *Tracer) attemptArrived(e waxwingseam.Event) {
	v, ok := e.(waxwingseam.AttemptArrived)
	if !ok || !v.Call.Trace.Sampled {
		return
	}
	key := spanKey{call: v.Call.ID, stage: stageQueue}
	parent := spanKey{call: v.Call.ID, attempt: v.Attempt, stage: stageAttempt}
	t.start(v.Now, key, v.Call.Trace.TraceID, parent.id(),
		attribute.Int("waxwingseam.importance", int(v.Call.Rank.Importance)),
		attribute.Int("waxwingseam.depth", int(v.Call.Depth)),
	)
}

func (t *Tracer) runStarted(now time.Time, e waxwingseam.Effect) {
	v, ok := e.(waxwingseam.Run)
	if !ok || !v.Call.Trace.Sampled {
		return
	}
	t.end(now, spanKey{call: v.Call.ID, stage: stageQueue}, waxwingseam.Result{})
	parent := spanKey{call: v.Call.ID, attempt: v.Attempt, stage: stageAttempt}
	t.start(now, spanKey{call: v.Call.ID, stage: stageRun}, v.Call.Trace.TraceID, parent.id())
}

func (t *Tracer) runEnded(e waxwingseam.Event) {
	if v, ok := e.(waxwingseam.RunEnded); ok {
		t.end(v.Now, spanKey{call: v.ID, stage: stageRun}, v.Result)
	}
}

func (t *Tracer) attemptAnswered(now time.Time, e waxwingseam.Effect) {
	if v, ok := e.(waxwingseam.AnswerAttempt); ok {
		t.end(now, spanKey{call: v.ID, stage: stageQueue}, v.Result)
	}
}

func (t *Tracer) attemptEnded(e waxwingseam.Event) {
	if v, ok := e.(waxwingseam.AttemptEnded); ok {
		t.end(v.Now, spanKey{call: v.ID, attempt: v.Attempt, stage: stageAttempt}, v.Result)
	}
}

// attemptCancelled ends the queue span of a call that may have left the queue
// without an answer.
func (t *Tracer) attemptCancelled(e waxwingseam.Event) {
	if v, ok := e.(waxwingseam.AttemptCancelled); ok {
		t.end(v.Now, spanKey{call: v.ID, stage: stageQueue}, waxwingseam.Result{Reason: waxwingseam.ReasonCancelled})
	}
}

func (t *Tracer) replied(now time.Time, e waxwingseam.Effect) {
	v, ok := e.(waxwingseam.Reply)
	if !ok {
		return
	}
	// A cancelled or fenced attempt has no AttemptEnded event, so its span ends here.
	for n := waxwingseam.Attempt(1); n <= v.Attempt; n++ {
		t.end(now, spanKey{call: v.ID, attempt: n, stage: stageAttempt}, v.Result)
	}
	t.end(now, spanKey{call: v.ID, stage: stageEdge}, v.Result)
}

// start starts a span whose ID is derived from its key, unless it is open already.
func (t *Tracer) start(now time.Time, key spanKey, traceID api.TraceID, parent api.SpanID, attributes ...attribute.KeyValue) {
	if _, open := t.open[key]; open {
		return
	}
	ctx := context.WithValue(context.Background(), spanIDsKey{}, spanIDs{trace: traceID, span: key.id()})
	if parent.IsValid() {
		ctx = api.ContextWithRemoteSpanContext(ctx, api.NewSpanContext(api.SpanContextConfig{
			TraceID:    traceID,
			SpanID:     parent,
			TraceFlags: api.FlagsSampled,
			Remote:     true,
		}))
	}
	attributes = append(attributes, attribute.String("waxwingseam.call", key.call.String()))
	_, span := t.tracer.Start(ctx, stageNames[key.stage], api.WithTimestamp(now), api.WithAttributes(attributes...))
	t.open[key] = span
}

// end ends a span. It does nothing if the span is not open.
func (t *Tracer) end(now time.Time, key spanKey, r waxwingseam.Result) {
	span, ok := t.open[key]
	if !ok {
		return
	}
	delete(t.open, key)
	span.SetAttributes(attribute.String("waxwingseam.outcome", r.Outcome.String()))
	if r.Reason != waxwingseam.ReasonNone {
		span.SetStatus(codes.Error, string(r.Reason))
	}
	span.End(api.WithTimestamp(now))
}
