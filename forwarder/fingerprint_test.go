package forwarder_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/runner"
)

// fingerprints records the fingerprints in the events of a node.
type fingerprints struct {
	mu       sync.Mutex
	arrivals []waxwingseam.Fingerprint
	arrived  []time.Time
	runs     []waxwingseam.Fingerprint
}

// Observe implements runner.Observer.
func (f *fingerprints) Observe(e waxwingseam.Event, _ []waxwingseam.Effect) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch v := e.(type) {
	case waxwingseam.AttemptArrived:
		f.arrivals = append(f.arrivals, v.Fingerprint)
		f.arrived = append(f.arrived, v.Now)
	case waxwingseam.RunEnded:
		f.runs = append(f.runs, v.Fingerprint)
	}
}

func (f *fingerprints) lastArrival() (waxwingseam.Fingerprint, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.arrivals[len(f.arrivals)-1], f.arrived[len(f.arrived)-1]
}

// slowBody is a body that arrives in parts, one a second.
type slowBody struct{ parts []string }

func (s *slowBody) Read(p []byte) (int, error) {
	if len(s.parts) == 0 {
		return 0, io.EOF
	}
	time.Sleep(time.Second)
	n := copy(p, s.parts[0])
	s.parts = s.parts[1:]
	return n, nil
}

// TestWatchedRequestRunsUnrecognized sends a watched request in all ways. Its digest must be
// known before it is reported, must not depend on the way, and must differ from that of other
// requests.
func TestWatchedRequestRunsUnrecognized(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t)
		seen := &fingerprints{}
		b := tb.newBackend(echo)
		front := tb.newNode(nodeConfig{})
		back := tb.newNode(nodeConfig{service: "ledger", name: "ledger-1", backend: b.address, observers: []runner.Observer{seen}})
		front.updateServers(back)
		send := func(r request) waxwingseam.Fingerprint {
			qt.Assert(t, front.call(r).outcome(), qt.Equals, "completed")
			f, _ := seen.lastArrival()
			return f
		}
		lot := func() io.Reader { return strings.NewReader("lot") }
		unknownLength := func(r io.Reader) io.Reader { return io.MultiReader(r) }

		qt.Assert(t, send(request{body: lot()}), qt.Equals, waxwingseam.Fingerprint{})
		back.Execute(waxwingseam.WatchRequests{Heads: []uint64{seen.runs[0].Head}})
		want := send(request{body: lot()}).Digest
		qt.Assert(t, want.IsZero(), qt.IsFalse)
		qt.Assert(t, send(request{body: unknownLength(lot())}).Digest, qt.Equals, want)
		qt.Assert(t, send(request{body: &slowBody{[]string{"l", "o", "t"}}}).Digest, qt.Equals, want)
		other := send(request{body: unknownLength(strings.NewReader("los"))}).Digest
		qt.Assert(t, other.IsZero(), qt.IsFalse)
		qt.Assert(t, other, qt.Not(qt.Equals), want)
		qt.Assert(t, send(request{body: lot(), header: map[string]string{"Authorization": "another"}}).Digest, qt.Not(qt.Equals), want)
		qt.Assert(t, send(request{method: http.MethodPut, body: lot()}).Digest, qt.Not(qt.Equals), want)

		// A long body need not arrive completely.
		part := strings.Repeat("b", 16<<10)
		start := time.Now()
		long := send(request{body: &slowBody{[]string{part, part, part, part, part, part, part, part}}}).Digest
		_, arrived := seen.lastArrival()
		qt.Assert(t, arrived.Sub(start) < 5*time.Second, qt.IsTrue, qt.Commentf("%v", arrived.Sub(start)))
		qt.Assert(t, send(request{body: bytes.NewReader(bytes.Repeat([]byte("b"), 1<<20))}).Digest, qt.Equals, long)
	})
}

// TestUnwatchedRequestWaitsForItsBody checks that a request with a body that is still arriving
// is reported at once unless it is watched.
func TestUnwatchedRequestWaitsForItsBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t)
		seen := &fingerprints{}
		b := tb.newBackend(echo)
		front := tb.newNode(nodeConfig{})
		back := tb.newNode(nodeConfig{service: "ledger", name: "ledger-1", backend: b.address, observers: []runner.Observer{seen}})
		front.updateServers(back)
		back.Execute(waxwingseam.WatchRequests{Heads: []uint64{1}})
		start := time.Now()
		qt.Assert(t, front.call(request{body: &slowBody{[]string{"l", "o", "t"}}}).outcome(), qt.Equals, "completed")
		_, arrived := seen.lastArrival()
		qt.Assert(t, arrived.Sub(start) < time.Second, qt.IsTrue)
	})
}
