package administrator

import (
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/authenticator"
	"waxwingseam.example/waxwingseam/checker"
	"waxwingseam.example/waxwingseam/historian"
)

// Submission is the body of a request that submits a whole set as INI files.
type Submission struct {
	ID             waxwingseam.SubmissionID `json:"submission-id"`
	BaseRevision   waxwingseam.Revision     `json:"base-revision"`
	AcceptWarnings bool                     `json:"accept-warnings,omitempty"`
	Files          []checker.File           `json:"files"`
}

// DrainRequest is the body of a request to drain one backend server.
type DrainRequest struct {
	ID             waxwingseam.SubmissionID `json:"submission-id"`
	BackendServer  waxwingseam.ServerName   `json:"backend-server"`
	Undo           bool                     `json:"undo,omitempty"`
	AcceptWarnings bool                     `json:"accept-warnings,omitempty"`
}

var submissionPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// checkID validates a submission id. If the id is invalid, it refuses the request
// and returns false.
func checkID(w http.ResponseWriter, id waxwingseam.SubmissionID) bool {
	if submissionPattern.MatchString(string(id)) {
		return true
	}
	writeProblem(w, Problem{
		Status: http.StatusBadRequest,
		Reason: ReasonBadRequest,
		Detail: "submission-id wants 1 to 64 letters, digits, dots, hyphens or underscores",
	})
	return false
}

// submit handles the submission of a whole set.
func (a *administrator) submit(w http.ResponseWriter, r *http.Request) {
	var s Submission
	if !decode(w, r, &s) || !checkID(w, s.ID) {
		return
	}
	set, findings := checker.Parse(s.Files...)
	if len(findings) > 0 {
		writeProblem(w, Problem{Status: http.StatusUnprocessableEntity, Reason: ReasonFindings, Findings: findings})
		return
	}
	content := contentDigest(strconv.FormatUint(uint64(s.BaseRevision), 10), string(checker.Format(set)))
	if earlier, ok := a.config.Historian.Answer(s.ID, content); ok {
		a.writeAnswer(w, earlier)
		return
	}
	base, ok := a.baseSet(w, r, s.BaseRevision)
	if !ok {
		return
	}
	warnings := checker.Warnings(base, set, a.announcedServers())
	if len(warnings) > 0 && !s.AcceptWarnings {
		writeProblem(w, Problem{Status: http.StatusUnprocessableEntity, Reason: ReasonWarnings, Findings: warnings})
		return
	}
	a.proposeCommand(w, r, historian.Command{
		Submission: s.ID,
		Base:       s.BaseRevision,
		Content:    content,
		Change:     checker.ChangeOf(base, set),
	})
}

// contentDigest returns a digest that distinguishes a resend from another
// submission with the same id.
func contentDigest(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// baseSet returns the set of the base revision. An unknown revision may have been
// accepted at another replica, so the state is brought up to date first. If the
// set is no longer kept, the submission conflicts in any case, and the set in
// force is returned instead. On failure it refuses the request and returns false.
func (a *administrator) baseSet(w http.ResponseWriter, r *http.Request, revision waxwingseam.Revision) (*waxwingseam.Set, bool) {
	head, _ := a.config.Historian.Head()
	if revision > head.Revision {
		if !a.confirmCurrent(w, r) {
			return nil, false
		}
		head, _ = a.config.Historian.Head()
	}
	if revision > head.Revision {
		writeProblem(w, Problem{
			Status: http.StatusConflict,
			Reason: ReasonUnknownRevision,
			Detail: "the newest revision is " + strconv.FormatUint(uint64(head.Revision), 10),
		})
		return nil, false
	}
	set, err := a.config.Historian.Set(revision)
	if err != nil {
		return head, true
	}
	return set, true
}

// announcedServers returns the backend servers that are announced.
func (a *administrator) announcedServers() []waxwingseam.Server {
	registrations := a.config.Cluster.Registrations()
	servers := make([]waxwingseam.Server, 0, len(registrations))
	for _, v := range registrations {
		servers = append(servers, v.Announcement.Server)
	}
	return servers
}

// drain handles a request to drain a backend server or to undo its drain.
func (a *administrator) drain(w http.ResponseWriter, r *http.Request) {
	var d DrainRequest
	if !decode(w, r, &d) || !checkID(w, d.ID) {
		return
	}
	content := contentDigest("drain", string(d.BackendServer), strconv.FormatBool(d.Undo))
	if earlier, ok := a.config.Historian.Answer(d.ID, content); ok {
		a.writeAnswer(w, earlier)
		return
	}
	if !a.confirmCurrent(w, r) {
		return
	}
	service, ok := a.serviceOf(d.BackendServer)
	if !ok {
		writeProblem(w, Problem{Status: http.StatusNotFound, Reason: ReasonUnknownServer})
		return
	}
	head, _ := a.config.Historian.Head()
	warnings := checker.DrainWarnings(head, d.BackendServer, service, a.announcedServers())
	if !d.Undo && !d.AcceptWarnings && len(warnings) > 0 {
		writeProblem(w, Problem{Status: http.StatusUnprocessableEntity, Reason: ReasonWarnings, Findings: warnings})
		return
	}
	a.proposeCommand(w, r, historian.Command{
		Submission: d.ID,
		Content:    content,
		Drain:      &historian.Drain{Server: d.BackendServer, Service: service, Undo: d.Undo},
	})
}

// serviceOf returns the service of a server that is announced or has an
// object.
func (a *administrator) serviceOf(name waxwingseam.ServerName) (waxwingseam.ServiceName, bool) {
	head, _ := a.config.Historian.Head()
	if object, ok := head.BackendServer(name); ok {
		return object.Service, true
	}
	for _, v := range a.announcedServers() {
		if v.Name == name {
			return v.Service, true
		}
	}
	return "", false
}

// proposeCommand submits a command to the log and writes the answer.
func (a *administrator) proposeCommand(w http.ResponseWriter, r *http.Request, c historian.Command) {
	c.Operator = authenticator.OperatorOf(r.Context()).Name
	c.At = time.Now().UTC()
	command, err := historian.Encode(c)
	if err != nil {
		writeProblem(w, Problem{Status: http.StatusBadRequest, Reason: ReasonBadRequest, Detail: err.Error()})
		return
	}
	data, err := a.config.Log.Propose(r.Context(), command)
	if err != nil {
		a.writeProposalProblem(w, err)
		return
	}
	answer, err := historian.DecodeAnswer(data)
	if err != nil {
		a.writeProposalProblem(w, err)
		return
	}
	a.config.Logger.Info("submission answered",
		"submission-id", c.Submission, "operator", c.Operator, "verdict", answer.Verdict, "revision", answer.Revision)
	a.writeAnswer(w, answer)
}

// writeProposalProblem writes the refusal of a request whose proposal failed.
// The command may be in the log unless the reason of the error rules that out.
func (a *administrator) writeProposalProblem(w http.ResponseWriter, err error) {
	p := Problem{Status: http.StatusServiceUnavailable, Reason: ReasonOutcomeUnknown, Detail: err.Error()}
	switch waxwingseam.ReplicaReasonOf(err) {
	case waxwingseam.ReasonCommandTooLarge:
		p.Status, p.Reason = http.StatusRequestEntityTooLarge, ReasonTooLarge
	case waxwingseam.ReasonNotLeader, waxwingseam.ReasonNoQuorum, waxwingseam.ReasonStopped:
		p.Reason = ReasonNoQuorum
	}
	w.Header().Set("Retry-After", "1")
	writeProblem(w, p)
}

// writeAnswer writes the answer to a submission, as a problem if it was refused.
func (a *administrator) writeAnswer(w http.ResponseWriter, v historian.Answer) {
	switch v.Verdict {
	case historian.VerdictAccepted, historian.VerdictUnchanged:
		writeJSON(w, v)
	case historian.VerdictConflict:
		writeProblem(w, Problem{Status: http.StatusConflict, Reason: ReasonConflict, Answer: &v})
	case historian.VerdictOtherContent:
		writeProblem(w, Problem{Status: http.StatusConflict, Reason: ReasonOtherContent, Answer: &v})
	default:
		writeProblem(w, Problem{Status: http.StatusUnprocessableEntity, Reason: ReasonUnknownService, Answer: &v})
	}
}
