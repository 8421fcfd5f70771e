package forwarder

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// TestIdentityHasTheAccount guards against a quarantine that takes requests of different
// client accounts for the same one, once their keys are removed.
func TestIdentityHasTheAccount(t *testing.T) {
	identity := func(account waxwingseam.AccountName, key string) string {
		o := &opening{Method: http.MethodGet, Target: "/lots/5", Service: "desk", Account: account, Header: http.Header{}}
		if key != "" {
			o.Header.Set("Authorization", key)
		}
		h := &hostedCall{forwarder: &Forwarder{config: Config{Callers: nativeCallers{}}}, opening: o}
		return string(h.identity())
	}
	seen := map[string]bool{}
	for _, v := range []struct {
		account waxwingseam.AccountName
		key     string
	}{{"", ""}, {"", "Bearer archive"}, {"archive", ""}, {"bureau", ""}} {
		seen[identity(v.account, v.key)] = true
	}
	qt.Assert(t, seen, qt.HasLen, 4)
	qt.Assert(t, seen[identity("archive", "")], qt.IsTrue)
}

// TestAccountProblems guards against a refusal of a client account that names no cause, no
// time to return at, or another status.
func TestAccountProblems(t *testing.T) {
	refusal := &waxwingseam.Refusal{
		Call: waxwingseam.Call{Account: "archive"}, Basis: waxwingseam.BasisAccountLimit,
		Used: 1024.5, Limit: 842, BasisAge: 120 * time.Millisecond,
	}
	for _, v := range []struct {
		reason     waxwingseam.Reason
		refusal    *waxwingseam.Refusal
		status     int
		retryAfter string
		detail     string
	}{
		{waxwingseam.ReasonAccountLimit, refusal, http.StatusTooManyRequests, "3", "account archive uses 1024.5 of 842.0 requests per second over all nodes, as known 120ms ago"},
		{waxwingseam.ReasonUnauthenticated, nil, http.StatusUnauthorized, "", `"reason":"unauthenticated"`},
		{waxwingseam.ReasonSetUnconfirmed, nil, http.StatusServiceUnavailable, "3", `"outcome":"did-not-run"`},
	} {
		w := httptest.NewRecorder()
		result := didNotRun(v.reason)
		result.RetryAfter = 2500 * time.Millisecond
		writeProblem(w, result, refusalDetail(v.refusal))
		qt.Check(t, w.Code, qt.Equals, v.status)
		qt.Check(t, w.Header().Get("Retry-After"), qt.Equals, v.retryAfter)
		qt.Check(t, w.Header().Get("WWW-Authenticate") != "", qt.Equals, v.status == http.StatusUnauthorized)
		qt.Check(t, w.Body.String(), qt.Contains, v.detail)
		qt.Check(t, titles[v.reason] != "", qt.IsTrue)
	}
}
