package administrator

import (
	"net/http"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/publisher"
)

// AccountsAnswer lists the client accounts of the set in force with their use over all
// nodes.
type AccountsAnswer struct {
	Revision waxwingseam.Revision `json:"revision"`
	// Replicas counts the control replicas whose nodes are included, of Members.
	Replicas int `json:"replicas"`
	Members  int `json:"members"`
	// Nodes counts the nodes that have answered roots of client accounts in the last
	// seconds.
	Nodes    int             `json:"nodes"`
	Accounts []AccountStatus `json:"accounts"`
}

// AccountStatus describes one client account. The last one of an answer has no name if
// nodes have reported accounts together.
type AccountStatus struct {
	waxwingseam.AccountUsage
	// Rate and Burst are the limits in the set; 0 for none.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Known is set if the set in force has the account.
	Known bool `json:"known"`
}

// accounts serves the use of client accounts over all nodes.
func (a *administrator) accounts(w http.ResponseWriter, _ *http.Request) {
	head, _ := a.config.Historian.Head()
	summaries := a.config.Cluster.AccountUsages()
	sum := publisher.AddUsages(summaries...)
	byName := make(map[waxwingseam.AccountName]waxwingseam.AccountUsage, len(sum.Accounts))
	for _, u := range sum.Accounts {
		byName[u.Account] = u
	}
	answer := AccountsAnswer{
		Revision: head.Revision,
		Replicas: len(summaries),
		Members:  max(len(a.config.Cluster.ReplicaStatus().Members), 1),
		Nodes:    sum.Nodes,
		Accounts: make([]AccountStatus, 0, len(head.ClientAccounts)+1),
	}
	for _, o := range head.ClientAccounts {
		status := AccountStatus{AccountUsage: byName[o.Name], Rate: o.Rate, Burst: o.Burst, Known: true}
		status.Account = o.Name
		answer.Accounts = append(answer.Accounts, status)
		delete(byName, o.Name)
	}
	// What is left belongs to accounts that were removed, or to several together.
	for _, u := range sum.Accounts {
		if _, left := byName[u.Account]; left && u.Account != "" {
			answer.Accounts = append(answer.Accounts, AccountStatus{AccountUsage: u})
		}
	}
	if others, ok := byName[""]; ok {
		answer.Accounts = append(answer.Accounts, AccountStatus{AccountUsage: others})
	}
	writeJSON(w, answer)
}
