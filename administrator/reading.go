package administrator

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/authenticator"
	"waxwingseam.example/waxwingseam/checker"
	"waxwingseam.example/waxwingseam/historian"
	"waxwingseam.example/waxwingseam/publisher"
)

// RevisionHeader is the header with the revision of the set in an answer.
const RevisionHeader = "Waxwingseam-Revision"

// SetAnswer is a set in JSON.
type SetAnswer struct {
	Revision waxwingseam.Revision `json:"revision"`
	// Digest is the set's digest as 16 hexadecimal digits.
	Digest  string           `json:"digest"`
	Objects []checker.Object `json:"objects"`
}

// HistoryAnswer is a part of the history, oldest first.
type HistoryAnswer struct {
	// Newest is the revision in force.
	Newest  waxwingseam.Revision `json:"newest"`
	Entries []historian.Entry    `json:"entries"`
}

// DifferencesRequest is the body of a request to compare files.
type DifferencesRequest struct {
	Files []checker.File `json:"files"`
}

// DifferencesAnswer lists the changes that files would make to a revision.
type DifferencesAnswer struct {
	Revision    waxwingseam.Revision `json:"revision"`
	Differences []checker.Difference `json:"differences"`
}

// StatusAnswer is the status of the cluster, as reported by one replica.
type StatusAnswer struct {
	// Replica is the replica that answers.
	Replica waxwingseam.ReplicaID `json:"replica"`
	// Current is set when a quorum confirmed that the answer is up to date.
	Current  bool                 `json:"current"`
	Revision waxwingseam.Revision `json:"revision"`
	// Digest is the digest of the set in force as 16 hexadecimal digits.
	Digest string `json:"digest"`
	// Log is the status of the replica of the log.
	Log waxwingseam.ReplicaStatus `json:"log"`
	// Nodes summarizes the nodes of each replica.
	Nodes   []publisher.RevisionSummary `json:"nodes"`
	Servers []ServerStatus              `json:"servers"`
	// Quarantined lists the requests that the nodes of this replica refuse.
	Quarantined []waxwingseam.QuarantinedRequest `json:"quarantined,omitempty"`
}

// ServerStatus describes one announced backend server.
type ServerStatus struct {
	Name        waxwingseam.ServerName  `json:"name"`
	Service     waxwingseam.ServiceName `json:"service"`
	DataCentre  waxwingseam.DataCentre  `json:"data-centre"`
	Node        string                  `json:"node"`
	Incarnation waxwingseam.Incarnation `json:"incarnation"`
	// State is present, leaving, lapsed or drained.
	State string `json:"state"`
	// Peer is the address of the control replica that the server announced
	// itself to; empty if that is the replica that answers.
	Peer string `json:"peer,omitempty"`
	// Finding describes a fault in the announcement; empty if there is none.
	Finding string `json:"finding,omitempty"`
}

// set serves the set of a revision.
func (a *administrator) set(w http.ResponseWriter, r *http.Request) {
	if !a.confirmCurrent(w, r) {
		return
	}
	set, ok := a.requestedSet(w, r)
	if !ok {
		return
	}
	set = shownTo(r, set)
	w.Header().Set(RevisionHeader, strconv.FormatUint(uint64(set.Revision), 10))
	if r.URL.Query().Get("output") == "ini" {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = w.Write(checker.Format(set))
		return
	}
	writeJSON(w, SetAnswer{
		Revision: set.Revision,
		Digest:   formatDigest(checker.Digest(set)),
		Objects:  checker.Objects(set),
	})
}

// requestedSet returns the set of the revision in the query, or the newest set if
// there is none. On failure it refuses the request and returns false.
func (a *administrator) requestedSet(w http.ResponseWriter, r *http.Request) (*waxwingseam.Set, bool) {
	head, _ := a.config.Historian.Head()
	text := r.URL.Query().Get("revision")
	if text == "" {
		return head, true
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		writeProblem(w, Problem{Status: http.StatusBadRequest, Reason: ReasonBadRequest, Detail: "revision is not a number"})
		return nil, false
	}
	set, err := a.config.Historian.Set(waxwingseam.Revision(n))
	if err != nil {
		writeProblem(w, Problem{Status: http.StatusNotFound, Reason: ReasonUnknownRevision, Detail: err.Error()})
		return nil, false
	}
	return set, true
}

// history serves the entries after a revision.
func (a *administrator) history(w http.ResponseWriter, r *http.Request) {
	if !a.confirmCurrent(w, r) {
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit <= 0 || limit > maxHistoryEntries {
		limit = maxHistoryEntries
	}
	head, _ := a.config.Historian.Head()
	writeJSON(w, HistoryAnswer{
		Newest:  head.Revision,
		Entries: a.config.Historian.Entries(waxwingseam.Revision(after), limit),
	})
}

// differences serves the differences between the newest set and files.
func (a *administrator) differences(w http.ResponseWriter, r *http.Request) {
	var q DifferencesRequest
	if !decode(w, r, &q) || !a.confirmCurrent(w, r) {
		return
	}
	set, findings := checker.Parse(q.Files...)
	if len(findings) > 0 {
		writeProblem(w, Problem{Status: http.StatusUnprocessableEntity, Reason: ReasonFindings, Findings: findings})
		return
	}
	head, _ := a.config.Historian.Head()
	writeJSON(w, DifferencesAnswer{
		Revision:    head.Revision,
		Differences: checker.Differences(shownTo(r, head), shownTo(r, set)),
	})
}

// shownTo returns a set as the operator of a request may see it: keys are secrets, shown
// only to operators who may change them.
func shownTo(r *http.Request, set *waxwingseam.Set) *waxwingseam.Set {
	if authenticator.OperatorOf(r.Context()).May(authenticator.RightWrite) {
		return set
	}
	return checker.WithoutKeys(set)
}

// status serves the status of the cluster. Without a quorum, the answer is marked
// as not current.
func (a *administrator) status(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), statusQuorumTimeout)
	defer cancel()
	err := a.config.Log.ReadIndex(ctx)
	head, digest := a.config.Historian.Head()
	writeJSON(w, StatusAnswer{
		Replica:  a.config.Replica,
		Current:  err == nil,
		Revision: head.Revision,
		Digest:   formatDigest(digest),
		Log:      a.config.Cluster.ReplicaStatus(),
		Nodes:    a.config.Cluster.RevisionSummaries(),
		Servers:  ServerStatuses(head, a.config.Cluster.Registrations()),

		Quarantined: a.config.Cluster.Quarantined(),
	})
}

// ServerStatuses returns the status of the announced backend servers, given the
// set in force.
func ServerStatuses(set *waxwingseam.Set, registrations []waxwingseam.Registration) []ServerStatus {
	list := make([]ServerStatus, 0, len(registrations))
	for _, v := range registrations {
		list = append(list, serverStatus(set, v))
	}
	return list
}

func serverStatus(set *waxwingseam.Set, v waxwingseam.Registration) ServerStatus {
	server := v.Announcement.Server
	status := ServerStatus{
		Name:        server.Name,
		Service:     server.Service,
		DataCentre:  server.DataCentre,
		Node:        server.Node.String(),
		Incarnation: server.Incarnation,
		State:       "present",
		Peer:        v.Peer,
	}
	object, _ := set.BackendServer(server.Name)
	switch {
	case server.Leaving:
		status.State = "leaving"
	case v.Lapsed:
		status.State = "lapsed"
	case object.Drained:
		status.State = "drained"
	}
	if _, ok := set.Service(server.Service); !ok {
		status.Finding = "names a service that is not in the set, and takes no calls"
	} else if object.Name != "" && object.Service != server.Service {
		status.Finding = "announces another service than its object names"
	}
	return status
}

func formatDigest(digest uint64) string {
	return fmt.Sprintf("%016x", digest)
}
