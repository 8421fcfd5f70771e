package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam/forwarder"
	"waxwingseam.example/waxwingseam/pipeliner"
)

// TestBadInput sends requests that can't become calls or are too large. Each
// must be answered with a matching problem, and the next call must run.
func TestBadInput(t *testing.T) {
	forged := strings.Repeat("ab", 16)
	for _, v := range []struct {
		name    string
		r       request
		status  int
		outcome string
	}{
		{"no service", request{path: "/"}, 404, "did-not-run:unknown-service"},
		{"unknown service", request{path: "/bench/1"}, 404, "did-not-run:unknown-service"},
		{"unknown class", request{path: "/photos/1"}, 404, "did-not-run:unknown-class"},
		{"timeout that is no number", request{header: map[string]string{forwarder.HeaderTimeout: "soon"}}, 400, "did-not-run:bad-request"},
		{"zero timeout", request{header: map[string]string{forwarder.HeaderTimeout: "0"}}, 400, "did-not-run:bad-request"},
		{"negative timeout", request{header: map[string]string{forwarder.HeaderTimeout: "-1"}}, 400, "did-not-run:bad-request"},
		{"infinite timeout", request{header: map[string]string{forwarder.HeaderTimeout: "+Inf"}}, 400, "did-not-run:bad-request"},
		{"NaN timeout", request{header: map[string]string{forwarder.HeaderTimeout: "NaN"}}, 400, "did-not-run:bad-request"},
		{"timeout above the limit", request{header: map[string]string{forwarder.HeaderTimeout: "31536000"}}, 400, "did-not-run:bad-request"},
		{"empty key", request{header: map[string]string{forwarder.HeaderKey: `""`}}, 400, "did-not-run:bad-request"},
		{"long key", request{key: strings.Repeat("k", 256)}, 400, "did-not-run:bad-request"},
		{"key with control characters", request{key: "a\x01b"}, 400, "did-not-run:bad-request"},
		{"short context", request{header: map[string]string{forwarder.HeaderContext: "abc"}}, 400, "did-not-run:bad-request"},
		{"context that is not hexadecimal", request{header: map[string]string{forwarder.HeaderContext: strings.Repeat("x", 32)}}, 400, "did-not-run:bad-request"},
		{"forged context", request{header: map[string]string{forwarder.HeaderContext: forged}}, 400, "did-not-run:unknown-context"},
		{"body declared too long", request{body: strings.NewReader(strings.Repeat("b", 1<<20+1))}, 413, "did-not-run:too-large"},
		{"body too long", request{body: io.LimitReader(zeros{}, 1<<20+1)}, 413, "may-have-run:too-large"},
	} {
		t.Run(v.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := newTestbed(t)
				tb.maxBody = 1 << 20
				front, _, b := tb.pair(echo)
				got := front.call(v.r)
				qt.Assert(t, got.outcome(), qt.Equals, v.outcome)
				qt.Assert(t, got.status, qt.Equals, v.status)
				qt.Assert(t, got.problem.Status, qt.Equals, v.status)
				qt.Assert(t, got.problem.Title, qt.Not(qt.Equals), "")
				qt.Assert(t, front.call(request{name: "x"}).outcome(), qt.Equals, "completed")
				qt.Assert(t, b.runsOfX(), qt.Equals, 1)
			})
		})
	}
}

// TestRepeatedHeader checks that a request with two idempotency keys is refused.
func TestRepeatedHeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		front, _, _ := newTestbed(t).pair(echo)
		r := request{key: "a"}.build(context.Background())
		r.Header.Add(forwarder.HeaderKey, "b")
		qt.Assert(t, front.serve(r).outcome(), qt.Equals, "did-not-run:bad-request")
	})
}

// TestForwardedHeaders checks which headers are forwarded in both directions,
// and that the backend server receives a context header.
func TestForwardedHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
		var seen http.Header
		front, back, _ := newTestbed(t).pair(func(w http.ResponseWriter, r *http.Request) {
			seen = r.Header.Clone()
			w.Header().Set(forwarder.HeaderOutcome, "did-not-run")
			w.Header().Set("Lot", "7")
			w.WriteHeader(http.StatusTeapot)
		})
		back.updateServers(back)
		time.Sleep(5 * time.Second)
		got := front.call(request{key: `"lot-7"`, header: map[string]string{
			"Traceparent": parent, "Connection": "Hop", "Hop": "one", "Staff": "yes",
		}})
		qt.Assert(t, got.status, qt.Equals, http.StatusTeapot)
		qt.Assert(t, got.outcome(), qt.Equals, "completed")
		qt.Assert(t, got.header.Get("Lot"), qt.Equals, "7")
		qt.Assert(t, seen.Get("Traceparent")[:35], qt.Equals, parent[:35])
		qt.Assert(t, seen.Get("Idempotency-Key"), qt.Equals, `"lot-7"`)
		qt.Assert(t, seen.Get("Staff"), qt.Equals, "yes")
		qt.Assert(t, seen.Get("Hop"), qt.Equals, "")
		qt.Assert(t, seen.Get(forwarder.HeaderContext), qt.HasLen, 32)
	})
}

// TestWaitBehindAnotherRequestExtendsDeadline guards against a request that waits for the
// answer to an earlier one of its connection, and then gets its caller's whole timeout.
func TestWaitBehindAnotherRequestExtendsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		ended := make(chan time.Duration, 2)
		front, _, _ := newTestbed(t).pair(func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			ended <- time.Since(start)
		})
		server := pipeliner.New(pipeliner.Config{Handler: front.Entry()})
		listener := newFakeListener()
		go func() { _ = server.Serve(listener) }()
		caller, accepted := net.Pipe()
		listener.serve(accepted)
		go func() { _, _ = io.Copy(io.Discard, caller) }()
		for _, timeout := range []string{"0.6", "1"} {
			_, err := fmt.Fprintf(caller, "POST /ledger/marks HTTP/1.1\r\nHost: a\r\nRequest-Timeout: %s\r\nContent-Length: 0\r\n\r\n", timeout)
			qt.Assert(t, err, qt.IsNil)
		}
		qt.Check(t, <-ended, qt.Equals, 600*time.Millisecond)
		qt.Check(t, <-ended, qt.Equals, time.Second)
		qt.Assert(t, caller.Close(), qt.IsNil)
		qt.Assert(t, server.Close(), qt.IsNil)
	})
}
