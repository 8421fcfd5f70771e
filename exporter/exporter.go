// Package exporter exports spans to an OpenTelemetry collector. It is apart from package
// tracer because its libraries add a third to the code of a program that only serves.
package exporter

import (
	"context"
	"net/url"
	"time"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	sdk "go.opentelemetry.io/otel/sdk/trace"
)

// New returns an exporter that sends spans over HTTP to the collector at a base URL, to
// which /v1/traces is appended. An export ends after the timeout.
func New(ctx context.Context, endpoint *url.URL, timeout time.Duration) (sdk.SpanExporter, error) {
	exporter, err := otlptracehttp.New(ctx,
		otlptracehttp.WithEndpointURL(endpoint.JoinPath("v1", "traces").String()),
		otlptracehttp.WithTimeout(timeout),
		otlptracehttp.WithRetry(otlptracehttp.RetryConfig{Enabled: false}),
	)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return exporter, nil
}
