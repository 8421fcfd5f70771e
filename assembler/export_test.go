package assembler_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	spans "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/exporter"
	"waxwingseam.example/waxwingseam/runner"
	"waxwingseam.example/waxwingseam/tracer"
)

// otlpReceiver is a minimal OTLP collector that stores the spans it receives.
type otlpReceiver struct {
	mu    sync.Mutex
	spans []*spans.Span
}

// ServeHTTP stores the spans of one export.
func (r *otlpReceiver) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	data, err := io.ReadAll(request.Body)
	var export collector.ExportTraceServiceRequest
	if err != nil || proto.Unmarshal(data, &export) != nil {
		http.Error(w, "not an export", http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, resource := range export.GetResourceSpans() {
		for _, scope := range resource.GetScopeSpans() {
			r.spans = append(r.spans, scope.GetSpans()...)
		}
	}
}

// TestChainExportsOneTrace sends one call over three hops and checks that the
// collector receives all spans, each with a parent in the trace. A second tracer,
// whose collector answers only with errors, must not affect the call.
func TestChainExportsOneTrace(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	receiver := &otlpReceiver{}
	working := httptest.NewServer(receiver)
	defer working.Close()
	broken := httptest.NewServer(http.NotFoundHandler())
	defer broken.Close()
	var workingTracers, brokenTracers []*tracer.Tracer
	hops := newChain(ctx, t, func() []runner.Observer {
		workingTracers = append(workingTracers, newTracer(ctx, t, working.URL))
		brokenTracers = append(brokenTracers, newTracer(ctx, t, broken.URL))
		return []runner.Observer{workingTracers[len(workingTracers)-1], brokenTracers[len(brokenTracers)-1]}
	})

	url := hops[2].entry.URL + "/front/orders/1"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	qt.Assert(t, err, qt.IsNil)
	request.Header.Set("Traceparent", "00-0102030405060708090a0b0c0d0e0f10-0102030405060708-01")
	response, err := http.DefaultClient.Do(request)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.Body.Close(), qt.IsNil)
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK)
	for n := range workingTracers {
		qt.Assert(t, workingTracers[n].Close(ctx), qt.IsNil)
		_ = brokenTracers[n].Close(ctx)
	}

	ids := map[string]bool{"\x01\x02\x03\x04\x05\x06\x07\x08": true}
	count := map[string]int{}
	for _, s := range receiver.spans {
		ids[string(s.GetSpanId())] = true
		count[s.GetName()]++
	}
	for _, s := range receiver.spans {
		qt.Check(t, ids[string(s.GetParentSpanId())], qt.IsTrue, qt.Commentf("%s has no parent", s.GetName()))
	}
	qt.Assert(t, count, qt.DeepEquals, map[string]int{
		"caller edge":    3,
		"node to node":   3,
		"queue wait":     3,
		"backend server": 3,
	})
}

// newTracer returns a tracer that exports to an endpoint.
func newTracer(ctx context.Context, t *testing.T, endpoint string) *tracer.Tracer {
	parsed, err := url.Parse(endpoint)
	qt.Assert(t, err, qt.IsNil)
	v, err := tracer.New(ctx, tracer.Config{NewExporter: exporter.New, Endpoint: parsed, Server: waxwingseam.ServerName("all")})
	qt.Assert(t, err, qt.IsNil)
	return v
}
