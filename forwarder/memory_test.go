package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// slowWriter is a caller who reads slowly.
type slowWriter struct {
	*httptest.ResponseRecorder
}

// Write implements io.Writer.
func (w slowWriter) Write(p []byte) (int, error) {
	time.Sleep(100 * time.Millisecond)
	return w.ResponseRecorder.Write(p)
}

// TestSlowReadersTakeAllMemory guards against replies to slow readers whose sum exceeds the
// budget of a node, and against a reply that is cut because of that.
func TestSlowReadersTakeAllMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound, callers, length = 1 << 20, 10, 250_000
		tb := newTestbed(t)
		tb.budgetBound = bound
		front, back, _ := tb.pair(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", length))
		})
		var group sync.WaitGroup
		for range callers {
			group.Go(func() {
				w := slowWriter{httptest.NewRecorder()}
				front.Entry().ServeHTTP(w, request{}.build(context.Background()))
				qt.Check(t, w.Code, qt.Equals, http.StatusOK, qt.Commentf("%.200s", w.Body))
				qt.Check(t, w.Body.Len(), qt.Equals, length)
			})
		}
		group.Wait()
		for _, n := range []*node{front, back} {
			// The first 32 KB of each reply wait for no memory.
			held, peak := n.budget.Held()
			qt.Check(t, peak <= bound+callers*32<<10, qt.IsTrue, qt.Commentf("peak %d", peak))
			qt.Check(t, held < bound/2, qt.IsTrue, qt.Commentf("held %d", held))
		}
	})
}

// TestAttemptWithoutMemoryMayHaveRun guards against a node without memory that runs further
// attempts, or answers them as if they might have run.
func TestAttemptWithoutMemoryMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t)
		tb.budgetBound = 1 << 20
		front, back, server := tb.pair(echo)
		back.budget.Add(1 << 20)
		got := front.call(request{name: "x"})
		qt.Assert(t, got.outcome(), qt.Equals, "did-not-run:overloaded")
		qt.Assert(t, server.runsOfX(), qt.Equals, 0)
		back.budget.Add(-1 << 20)
		// The first node avoids a server that has refused for a while.
		time.Sleep(10 * time.Second)
		qt.Assert(t, front.call(request{name: "x"}).outcome(), qt.Equals, "completed")
	})
}
