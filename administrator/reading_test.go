package administrator_test

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/administrator"
	"waxwingseam.example/waxwingseam/authenticator"
	"waxwingseam.example/waxwingseam/checker"
	"waxwingseam.example/waxwingseam/historian"
)

// newAPI returns the operator API of a replica whose set has client accounts.
func newAPI(t *testing.T, operatorsFile string, cluster administrator.Cluster, accounts ...waxwingseam.ClientAccount) http.Handler {
	h := historian.New(historian.Config{})
	command, err := historian.Encode(historian.Command{Submission: "first", Change: checker.Change{Put: waxwingseam.Set{ClientAccounts: accounts}}})
	qt.Assert(t, err, qt.IsNil)
	h.Apply(1, command)
	logger := slog.New(slog.DiscardHandler)
	guard, err := authenticator.NewGuard(authenticator.GuardConfig{OperatorsFile: operatorsFile, Refuse: administrator.Refuse, Logger: logger})
	qt.Assert(t, err, qt.IsNil)
	return administrator.New(administrator.Config{Historian: h, Log: &testLog{historian: h}, Cluster: cluster, Guard: guard, Logger: logger})
}

// TestKeysNeedTheRightToWrite checks that an operator who may only read gets no key of a
// client account from the set or from differences, which would let the reader call as the
// account.
func TestKeysNeedTheRightToWrite(t *testing.T) {
	file := filepath.Join(t.TempDir(), "operators.ini")
	operators := fmt.Sprintf("[operator alice]\nrights = write\ntoken-digest = %s\n[operator bob]\nrights = read\ntoken-digest = %s\n",
		authenticator.Digest("alice"), authenticator.Digest("bob"))
	qt.Assert(t, os.WriteFile(file, []byte(operators), 0o600), qt.IsNil)
	api := newAPI(t, file, nil, waxwingseam.ClientAccount{Name: "archive", Keys: []string{"old-key"}})
	ask := func(operator, method, path, body string) string {
		r := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer "+operator)
		w := httptest.NewRecorder()
		api.ServeHTTP(w, r)
		qt.Assert(t, w.Code, qt.Equals, http.StatusOK, qt.Commentf("%s", w.Body))
		text, err := io.ReadAll(w.Body)
		qt.Assert(t, err, qt.IsNil)
		return string(text)
	}
	const next = `{"files":[{"name":"next.ini","data":"W2NsaWVudC1hY2NvdW50IGFyY2hpdmVdCmtleXMgPSBuZXcta2V5Cg=="}]}`
	for _, v := range []struct{ method, path, body, key string }{
		{http.MethodGet, "/v1/set", "", "old-key"},
		{http.MethodGet, "/v1/set?output=ini", "", "old-key"},
		{http.MethodPost, "/v1/differences", next, "old-key"},
		{http.MethodPost, "/v1/differences", next, "new-key"},
	} {
		qt.Check(t, strings.Contains(ask("alice", v.method, v.path, v.body), v.key), qt.IsTrue, qt.Commentf("%s", v.path))
		shown := ask("bob", v.method, v.path, v.body)
		qt.Check(t, strings.Contains(shown, v.key), qt.IsFalse, qt.Commentf("%s", v.path))
		qt.Check(t, strings.Contains(shown, "sha256:"), qt.IsTrue, qt.Commentf("%s", v.path))
	}
}
