package waxwingseam

// TraceContext is the W3C trace context that travels with a call.
type TraceContext struct {
	// TraceID is the trace's identifier; zero without one.
	TraceID [16]byte `cbor:"1,keyasint"`
	// SpanID is the parent span's identifier; zero without one.
	SpanID [8]byte `cbor:"2,keyasint"`
	// Sampled is set when the trace is recorded.
	Sampled bool `cbor:"3,keyasint"`
}
