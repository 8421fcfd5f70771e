package administrator_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/administrator"
	"waxwingseam.example/waxwingseam/publisher"
)

// usageCluster is a cluster of which only the use of client accounts is known.
type usageCluster struct {
	administrator.Cluster
	usages []publisher.UsageSummary
}

func (c usageCluster) AccountUsages() []publisher.UsageSummary { return c.usages }

func (usageCluster) ReplicaStatus() waxwingseam.ReplicaStatus { return waxwingseam.ReplicaStatus{} }

// TestAccountsOverReplicas guards against accounts without roots, removed accounts and
// accounts reported together that are missing in the answer, and against keys in it.
func TestAccountsOverReplicas(t *testing.T) {
	summary := publisher.UsageSummary{Nodes: 1, Accounts: []waxwingseam.AccountUsage{
		{Ran: 1, Nodes: 1}, {Account: "archive", Ran: 4, Refused: 2, Nodes: 1}, {Account: "former", Refused: 3, Nodes: 1},
	}}
	api := newAPI(t, "", usageCluster{usages: []publisher.UsageSummary{summary, summary}},
		waxwingseam.ClientAccount{Name: "archive", Keys: []string{"secret-key"}, Rate: 10, Burst: 5},
		waxwingseam.ClientAccount{Name: "bureau", Keys: []string{"secret-key-2"}})
	w := httptest.NewRecorder()
	api.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/v1/accounts", nil))
	qt.Assert(t, strings.Contains(w.Body.String(), "secret"), qt.IsFalse)
	var got administrator.AccountsAnswer
	qt.Assert(t, json.Unmarshal(w.Body.Bytes(), &got), qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, administrator.AccountsAnswer{
		Revision: 1, Replicas: 2, Members: 1, Nodes: 2,
		Accounts: []administrator.AccountStatus{
			{AccountUsage: waxwingseam.AccountUsage{Account: "archive", Ran: 8, Refused: 4, Nodes: 2}, Rate: 10, Burst: 5, Known: true},
			{AccountUsage: waxwingseam.AccountUsage{Account: "bureau"}, Known: true},
			{AccountUsage: waxwingseam.AccountUsage{Account: "former", Refused: 6, Nodes: 2}},
			{AccountUsage: waxwingseam.AccountUsage{Ran: 2, Nodes: 2}},
		},
	})
}
