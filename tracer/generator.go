package tracer

import (
	"context"

	api "go.opentelemetry.io/otel/trace"
)

// idsKey is the context key of the identifiers of the span to be started.
type idsKey struct{}

// ids are the identifiers of one span.
type ids struct {
	trace api.TraceID
	span  api.SpanID
}

// generator takes the identifiers of spans from the context.
type generator struct{}

// NewIDs implements the SDK's IDGenerator for a span without a parent.
func (generator) NewIDs(ctx context.Context) (api.TraceID, api.SpanID) {
	v, _ := ctx.Value(idsKey{}).(ids)
	return v.trace, v.span
}

// NewSpanID implements the SDK's IDGenerator for a span with a parent.
func (generator) NewSpanID(ctx context.Context, _ api.TraceID) api.SpanID {
	v, _ := ctx.Value(idsKey{}).(ids)
	return v.span
}
