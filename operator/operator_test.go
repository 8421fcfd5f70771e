package operator_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam/administrator"
	"waxwingseam.example/waxwingseam/operator"
)

// TestEndlessAnswer guards against a client that reads an answer without end into memory until
// its time is over.
func TestEndlessAnswer(t *testing.T) {
	const maxSent = 8 * administrator.MaxBody
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		var sent atomic.Int64
		part := []byte(strings.Repeat(" ", 64<<10))
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			for sent.Load() < 2*maxSent {
				n, err := w.Write(part)
				sent.Add(int64(n))
				if err != nil {
					return
				}
			}
		}))
		client := operator.New(operator.Config{Address: strings.TrimPrefix(server.URL, "http://"), Name: "dina"})
		_, err := client.Status(t.Context())
		qt.Assert(t, err, qt.ErrorMatches, ".*the answer has more than.*")
		server.Close()
		qt.Assert(t, sent.Load() < maxSent, qt.IsTrue, qt.Commentf("%d bytes", sent.Load()))
	}
}
