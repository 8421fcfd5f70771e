package assembler

import (
	"bytes"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRefusalsAreLogged checks that a malformed request is logged in one line with
// its cause, which is truncated if it is long, and that other requests are not
// logged.
func TestRefusalsAreLogged(t *testing.T) {
	for _, v := range []struct {
		status int
		text   string
		lines  int
	}{
		{http.StatusOK, "{}", 0},
		{http.StatusPreconditionFailed, "another version is in force", 0},
		{http.StatusBadRequest, "route \"a\": has 0 attempts", 1},
		{http.StatusBadRequest, strings.Repeat("x", 2000), 1},
	} {
		var out bytes.Buffer
		h := newRefusalLogger(
			http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { http.Error(w, v.text, v.status) }),
			slog.New(slog.NewTextHandler(&out, nil)),
		)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodPut, "/config", nil))
		qt.Assert(t, w.Code, qt.Equals, v.status)
		qt.Assert(t, w.Body.String(), qt.Equals, v.text+"\n")
		qt.Assert(t, strings.Count(out.String(), "\n"), qt.Equals, v.lines)
		if v.lines > 0 {
			qt.Assert(t, strings.Contains(out.String(), v.text[:6]), qt.IsTrue)
			qt.Assert(t, out.Len() < 600, qt.IsTrue)
		}
	}
}

// TestRepeatedRefusalFloodsTheLog guards against a line for each time that another writer sends
// the same malformed entry. Another entry has its own line.
func TestRepeatedRefusalFloodsTheLog(t *testing.T) {
	var out bytes.Buffer
	h := newRefusalLogger(
		http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { http.Error(w, r.URL.Path, http.StatusBadRequest) }),
		slog.New(slog.NewTextHandler(&out, nil)),
	)
	for range 50 {
		for _, path := range []string{"/instances/a", "/instances/b"} {
			h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(t.Context(), http.MethodPut, path, nil))
		}
	}
	qt.Assert(t, strings.Count(out.String(), "\n"), qt.Equals, 2)
}
