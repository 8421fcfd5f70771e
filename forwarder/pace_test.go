package forwarder_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/forwarder"
	"waxwingseam.example/waxwingseam/runner"
)

// paces records the pace and reason of each attempt's end at a sending node.
type paces struct {
	mu      sync.Mutex
	paces   []uint16
	reasons []waxwingseam.Reason
}

// Observe implements runner.Observer.
func (p *paces) Observe(e waxwingseam.Event, _ []waxwingseam.Effect) {
	if v, ok := e.(waxwingseam.AttemptEnded); ok {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.paces = append(p.paces, v.Result.Load.Pace)
		p.reasons = append(p.reasons, v.Result.Reason)
	}
}

// TestStatedPaceReachesTheSender guards against a pace that is lost between the backend
// server's answer and the sending node, and against calls that fail, or run twice, when the
// node of a slow server sends them back.
func TestStatedPaceReachesTheSender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t)
		seen := &paces{}
		serve := func(load string) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(10 * time.Millisecond)
				w.Header().Set(forwarder.HeaderLoad, load)
				_, _ = io.Copy(w, r.Body)
			}
		}
		slow, quick := tb.newBackend(serve("1,0,8,250")), tb.newBackend(serve("1,0,8,100"))
		front := tb.newNode(nodeConfig{observers: []runner.Observer{seen}})
		one := tb.newNode(nodeConfig{service: "ledger", name: "ledger-1", backend: slow.address})
		two := tb.newNode(nodeConfig{service: "ledger", name: "ledger-2", backend: quick.address})
		front.updateServers(one, two)
		one.updateServers(one, two)
		two.updateServers(one, two)
		const calls = 60
		for range calls {
			got := front.call(request{method: http.MethodPost, path: "/ledger/marks", name: "x", body: strings.NewReader("lot 7")})
			qt.Assert(t, got.outcome(), qt.Equals, "completed")
		}
		qt.Assert(t, len(slow.runs)+len(quick.runs), qt.Equals, calls)
		qt.Assert(t, seen.paces, qt.Contains, uint16(250))
		qt.Assert(t, seen.paces, qt.Contains, uint16(100))
		qt.Assert(t, seen.reasons, qt.Contains, waxwingseam.ReasonServerSlow)
		qt.Assert(t, len(slow.runs) < calls/4, qt.IsTrue, qt.Commentf("%d of %d runs at the slow server", len(slow.runs), calls))
	})
}
