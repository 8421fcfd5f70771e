// Package tracer makes OpenTelemetry spans for each hop of a call from the
// events and effects of the reducer: the caller's edge, each attempt between
// nodes, the wait in the queue and the run at the backend server.
package tracer

import (
	"context"
	"encoding/binary"
	"net/url"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	api "go.opentelemetry.io/otel/trace"

	"waxwingseam.example/waxwingseam"
)

const (
	// exportTimeout bounds one export to the collector.
	exportTimeout = 2 * time.Second
	// queueSize bounds the spans that wait for an export; more are dropped.
	queueSize = 4096
	// wholePercent is the whole, in hundredths.
	wholePercent = 100
)

// Config holds the settings of the traces.
type Config struct {
	// Endpoint is the OTLP collector's URL.
	Endpoint *url.URL
	// Server names the node's backend server in each span.
	Server waxwingseam.ServerName
}

// Tracer is an observer that makes spans.
type Tracer struct {
	provider *sdk.TracerProvider
	tracer   api.Tracer
	open     map[spanKey]api.Span
	begin    map[waxwingseam.Kind]func(e waxwingseam.Event)
	effects  map[waxwingseam.Kind]func(now time.Time, e waxwingseam.Effect)
}

// New returns a tracer that exports over HTTP in the background. A slow or
// absent collector costs spans and nothing else.
func New(ctx context.Context, config Config) (*Tracer, error) {
	exporter, err := otlptracehttp.New(ctx,
		otlptracehttp.WithEndpointURL(config.Endpoint.JoinPath("v1", "traces").String()),
		otlptracehttp.WithTimeout(exportTimeout),
		otlptracehttp.WithRetry(otlptracehttp.RetryConfig{Enabled: false}),
	)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	provider := sdk.NewTracerProvider(
		sdk.WithBatcher(exporter, sdk.WithMaxQueueSize(queueSize), sdk.WithExportTimeout(exportTimeout)),
		sdk.WithSampler(sdk.ParentBased(sdk.AlwaysSample())),
		sdk.WithIDGenerator(generator{}),
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "waxwingseam"),
			attribute.String("waxwingseam.server", string(config.Server)),
		)),
	)
	return newTracer(provider), nil
}

func newTracer(provider *sdk.TracerProvider) *Tracer {
	t := &Tracer{
		provider: provider,
		tracer:   provider.Tracer("waxwingseam"),
		open:     map[spanKey]api.Span{},
	}
	t.begin = map[waxwingseam.Kind]func(waxwingseam.Event){
		waxwingseam.KindCallArrived:      t.callArrived,
		waxwingseam.KindAttemptArrived:   t.attemptArrived,
		waxwingseam.KindAttemptEnded:     t.attemptEnded,
		waxwingseam.KindAttemptCancelled: t.attemptCancelled,
		waxwingseam.KindRunEnded:         t.runEnded,
	}
	t.effects = map[waxwingseam.Kind]func(time.Time, waxwingseam.Effect){
		waxwingseam.KindDispatch:      t.dispatched,
		waxwingseam.KindReply:         t.replied,
		waxwingseam.KindRun:           t.started,
		waxwingseam.KindAnswerAttempt: t.answered,
	}
	return t
}

// Close exports what is left, for as long as the context lasts.
func (t *Tracer) Close(ctx context.Context) error {
	return trace.Wrap(t.provider.Shutdown(ctx))
}

// Observe implements runner.Observer.
func (t *Tracer) Observe(e waxwingseam.Event, effects []waxwingseam.Effect) {
	if handle, ok := t.begin[e.Kind()]; ok {
		handle(e)
	}
	now := e.Stamped().Now
	for _, v := range effects {
		if handle, ok := t.effects[v.Kind()]; ok {
			handle(now, v)
		}
	}
}

// stage is the part of a call that a span covers.
type stage uint8

const (
	stageEdge stage = iota + 1
	stageAttempt
	stageQueue
	stageRun
)

// stageNames are the names of the spans.
var stageNames = [...]string{
	stageEdge:    "caller edge",
	stageAttempt: "node to node",
	stageQueue:   "queue wait",
	stageRun:     "backend server",
}

// spanKey names a span. Every node derives the same span identifier from it,
// so that spans of different nodes are joined without more bytes on the wire.
type spanKey struct {
	call    waxwingseam.CallID
	attempt waxwingseam.Attempt
	stage   stage
}

// id returns the span's identifier.
func (k spanKey) id() api.SpanID {
	var data [waxwingseam.IDSize + 3]byte
	copy(data[:], k.call[:])
	binary.BigEndian.PutUint16(data[waxwingseam.IDSize:], uint16(k.attempt))
	data[waxwingseam.IDSize+2] = byte(k.stage)
	var id api.SpanID
	binary.BigEndian.PutUint64(id[:], xxhash.Sum64(data[:])|1)
	return id
}
