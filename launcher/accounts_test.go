package launcher_test

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam/administrator"
	"waxwingseam.example/waxwingseam/checker"
	"waxwingseam.example/waxwingseam/launcher"
)

const (
	exemptClass = `
[request-class notices]
service = echo
path = /notices
importance = 5
repeat = never
deadline = 20s
authentication = exempt
`
	firstAccounts = "[client-account archive]\nkeys = first-key, second-key\nrate = 1000\n"
	laterAccounts = "[client-account archive]\nkeys = second-key\nrate = 1000\n[client-account bureau]\nkeys = third-key\n"
)

// eventually waits until a condition holds.
func eventually(t *testing.T, text string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not within 20 s: " + text)
		}
	}
}

// statusOf sends a call with a key to an entry point and returns the status.
func statusOf(t *testing.T, entry netip.AddrPort, path, key string) int {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+entry.String()+"/echo"+path, nil)
	qt.Assert(t, err, qt.IsNil)
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := http.DefaultClient.Do(r)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.Body.Close(), qt.IsNil)
	return response.StatusCode
}

// TestKeysOverAllNodes guards against keys of a replaced set that nodes still take, keys of
// the new set that they refuse, use that does not reach control, and keys in the records of
// events.
func TestKeysOverAllNodes(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	fleet, err := launcher.Start(ctx, launcher.Config{
		Objects:   []byte(objects + exemptClass + firstAccounts),
		Services:  []launcher.Service{{Name: "echo", Servers: 3, Slots: 64}},
		Folder:    t.TempDir(),
		WithLayer: true,
		Record:    true,
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		cancel()
		qt.Check(t, fleet.Wait(), qt.IsNil)
	})
	client := fleet.Operator()
	for _, s := range fleet.StandIns {
		// A node that has just started has no credit of the account's limit yet.
		eventually(t, "an account within its limit is served", func() bool {
			status := statusOf(t, s.Entry, "/a", "first-key")
			qt.Assert(t, status == http.StatusOK || status == http.StatusTooManyRequests, qt.IsTrue, qt.Commentf("%d", status))
			return status == http.StatusOK
		})
		qt.Assert(t, statusOf(t, s.Entry, "/a", "second-key"), qt.Equals, http.StatusOK)
		qt.Assert(t, statusOf(t, s.Entry, "/notices", ""), qt.Equals, http.StatusOK)
		qt.Assert(t, statusOf(t, s.Entry, "/a", ""), qt.Equals, http.StatusUnauthorized)
		eventually(t, "an unknown key is refused", func() bool {
			return statusOf(t, s.Entry, "/a", "third-key") == http.StatusUnauthorized
		})
	}
	_, err = client.Submit(ctx, administrator.Submission{
		ID: "later", BaseRevision: 1,
		Files: []checker.File{{Name: "later.ini", Data: []byte(objects + exemptClass + laterAccounts)}},
	})
	qt.Assert(t, err, qt.IsNil)
	for _, s := range fleet.StandIns {
		eventually(t, "the new key is taken", func() bool { return statusOf(t, s.Entry, "/a", "third-key") == http.StatusOK })
		eventually(t, "the removed key is refused", func() bool {
			return statusOf(t, s.Entry, "/a", "first-key") == http.StatusUnauthorized
		})
		qt.Assert(t, statusOf(t, s.Entry, "/a", "second-key"), qt.Equals, http.StatusOK)
	}
	eventually(t, "control knows the use of all accounts", func() bool {
		for _, s := range fleet.StandIns {
			qt.Assert(t, statusOf(t, s.Entry, "/a", "third-key"), qt.Equals, http.StatusOK)
		}
		answer, err := client.Accounts(ctx)
		qt.Assert(t, err, qt.IsNil)
		last := answer.Accounts[len(answer.Accounts)-1]
		return answer.Nodes == 3 && last.Account == "bureau" && last.Nodes == 3 && last.Ran > 0
	})
	for _, s := range fleet.StandIns {
		data, err := s.EventLog()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, bytes.Contains(data, []byte("archive")), qt.IsTrue)
		for _, key := range []string{"first-key", "second-key", "third-key"} {
			qt.Assert(t, bytes.Contains(data, []byte(key)), qt.IsFalse, qt.Commentf("%s", key))
		}
	}
	audit(t, fleet)
}
