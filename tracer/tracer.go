// Package tracer creates OpenTelemetry spans from the events and effects of the
// reducer: for a call at its sending node, each attempt between nodes, the wait in
// the queue and the run at the backend server.
package tracer

import (
	"context"
	"encoding/binary"
	"net/url"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	api "go.opentelemetry.io/otel/trace"

	"waxwingseam.example/waxwingseam"
)

const (
	// exportTimeout bounds one export to the collector.
	exportTimeout = 2 * time.Second
	// exportQueueSize bounds the spans that wait for export; more are dropped.
	exportQueueSize = 4096
	// maxPercent is the percentage at which every root is sampled.
	maxPercent = 100
)

// NewExporter returns an exporter to the collector at a base URL; timeout bounds one
// export.
type NewExporter func(ctx context.Context, endpoint *url.URL, timeout time.Duration) (sdk.SpanExporter, error)

// Config holds the settings of a Tracer.
type Config struct {
	NewExporter NewExporter
	// Endpoint is the base URL of the OTLP collector.
	Endpoint *url.URL
	// Server is the node's backend server, an attribute of the spans' resource.
	Server waxwingseam.ServerName
}

// Tracer is a runner.Observer that creates spans.
type Tracer struct {
	provider       *sdk.TracerProvider
	tracer         api.Tracer
	open           map[spanKey]api.Span
	eventHandlers  map[waxwingseam.Kind]func(e waxwingseam.Event)
	effectHandlers map[waxwingseam.Kind]func(now time.Time, e waxwingseam.Effect)
}

// New returns a Tracer that exports in the background. If the collector
// is slow or unreachable, spans are lost, but calls are not delayed.
func New(ctx context.Context, config Config) (*Tracer, error) {
	exporter, err := config.NewExporter(ctx, config.Endpoint, exportTimeout)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	provider := sdk.NewTracerProvider(
		sdk.WithBatcher(exporter, sdk.WithMaxQueueSize(exportQueueSize), sdk.WithExportTimeout(exportTimeout)),
		sdk.WithSampler(sdk.ParentBased(sdk.AlwaysSample())),
		sdk.WithIDGenerator(idGenerator{}),
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
	t.eventHandlers = map[waxwingseam.Kind]func(waxwingseam.Event){
		waxwingseam.KindCallArrived:      t.callArrived,
		waxwingseam.KindAttemptArrived:   t.attemptArrived,
		waxwingseam.KindAttemptEnded:     t.attemptEnded,
		waxwingseam.KindAttemptCancelled: t.attemptCancelled,
		waxwingseam.KindRunEnded:         t.runEnded,
	}
	t.effectHandlers = map[waxwingseam.Kind]func(time.Time, waxwingseam.Effect){
		waxwingseam.KindDispatch:      t.dispatched,
		waxwingseam.KindReply:         t.replied,
		waxwingseam.KindRun:           t.runStarted,
		waxwingseam.KindAnswerAttempt: t.attemptAnswered,
	}
	return t
}

// Close exports the remaining spans and shuts the exporter down. It gives up when the
// context is done.
func (t *Tracer) Close(ctx context.Context) error {
	return trace.Wrap(t.provider.Shutdown(ctx))
}

// Observe implements runner.Observer.
func (t *Tracer) Observe(e waxwingseam.Event, effects []waxwingseam.Effect) {
	if handle, ok := t.eventHandlers[e.Kind()]; ok {
		handle(e)
	}
	now := e.Stamped().Now
	for _, v := range effects {
		if handle, ok := t.effectHandlers[v.Kind()]; ok {
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

// stageNames holds the span name of each stage.
var stageNames = [...]string{
	stageEdge:    "caller edge",
	stageAttempt: "node to node",
	stageQueue:   "queue wait",
	stageRun:     "backend server",
}

// spanKey identifies a span. Every node derives the same span ID from it, so that
// spans of different nodes are linked without additional bytes on the wire.
type spanKey struct {
	call    waxwingseam.CallID
	attempt waxwingseam.Attempt
	stage   stage
}

// id returns the span ID. Its lowest bit is set, since 0 is invalid.
func (k spanKey) id() api.SpanID {
	var data [waxwingseam.IDSize + 3]byte
	copy(data[:], k.call[:])
	binary.BigEndian.PutUint16(data[waxwingseam.IDSize:], uint16(k.attempt))
	data[waxwingseam.IDSize+2] = byte(k.stage)
	var id api.SpanID
	binary.BigEndian.PutUint64(id[:], xxhash.Sum64(data[:])|1)
	return id
}
