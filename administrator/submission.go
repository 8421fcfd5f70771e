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

// Submission is the body of a submission: a whole set in INI files.
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

// checkID refuses an identifier that is not usable; false when it did.
func checkID(w http.ResponseWriter, id waxwingseam.SubmissionID) bool {
	if submissionPattern.MatchString(string(id)) {
		return true
	}
	refuse(w, Problem{
		Status: http.StatusBadRequest,
		Reason: ReasonBadRequest,
		Detail: "submission-id wants 1 to 64 letters, digits, dots, hyphens or underscores",
	})
	return false
}

// submit takes in a whole set.
func (a *administrator) submit(w http.ResponseWriter, r *http.Request) {
	var s Submission
	if !decode(w, r, &s) || !checkID(w, s.ID) {
		return
	}
	set, findings := checker.Parse(s.Files...)
	if len(findings) > 0 {
		refuse(w, Problem{Status: http.StatusUnprocessableEntity, Reason: ReasonFindings, Findings: findings})
		return
	}
	content := contentOf(strconv.FormatUint(uint64(s.BaseRevision), 10), string(checker.Format(set)))
	if first, ok := a.config.Historian.Answer(s.ID, content); ok {
		a.reply(w, first)
		return
	}
	base, ok := a.base(w, r, s.BaseRevision)
	if !ok {
		return
	}
	warnings := checker.Warnings(base, set, a.announced())
	if len(warnings) > 0 && !s.AcceptWarnings {
		refuse(w, Problem{Status: http.StatusUnprocessableEntity, Reason: ReasonWarnings, Findings: warnings})
		return
	}
	a.propose(w, r, historian.Command{
		Submission: s.ID,
		Base:       s.BaseRevision,
		Content:    content,
		Change:     checker.ChangeOf(base, set),
	})
}

// contentOf returns the digest that tells a resend from another submission.
func contentOf(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// base returns the set of the base revision. One that is not known here may
// have been accepted elsewhere, so the state is brought up to date first. One
// that is kept no more stands for a conflict: the empty set is as good.
func (a *administrator) base(w http.ResponseWriter, r *http.Request, revision waxwingseam.Revision) (*waxwingseam.Set, bool) {
	head, _ := a.config.Historian.Head()
	if revision > head.Revision {
		if !a.current(w, r) {
			return nil, false
		}
		head, _ = a.config.Historian.Head()
	}
	if revision > head.Revision {
		refuse(w, Problem{
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

// announced returns the announced backend servers.
func (a *administrator) announced() []waxwingseam.Server {
	registrations := a.config.Cluster.Registrations()
	servers := make([]waxwingseam.Server, 0, len(registrations))
	for _, v := range registrations {
		servers = append(servers, v.Announcement.Server)
	}
	return servers
}

// drain marks one backend server as drained, or takes the mark off.
func (a *administrator) drain(w http.ResponseWriter, r *http.Request) {
	var d DrainRequest
	if !decode(w, r, &d) || !checkID(w, d.ID) {
		return
	}
	content := contentOf("drain", string(d.BackendServer), strconv.FormatBool(d.Undo))
	if first, ok := a.config.Historian.Answer(d.ID, content); ok {
		a.reply(w, first)
		return
	}
	if !a.current(w, r) {
		return
	}
	service, ok := a.serviceOf(d.BackendServer)
	if !ok {
		refuse(w, Problem{Status: http.StatusNotFound, Reason: ReasonUnknownServer})
		return
	}
	head, _ := a.config.Historian.Head()
	warnings := checker.DrainWarnings(head, d.BackendServer, service, a.announced())
	if !d.Undo && !d.AcceptWarnings && len(warnings) > 0 {
		refuse(w, Problem{Status: http.StatusUnprocessableEntity, Reason: ReasonWarnings, Findings: warnings})
		return
	}
	a.propose(w, r, historian.Command{
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
	for _, v := range a.announced() {
		if v.Name == name {
			return v.Service, true
		}
	}
	return "", false
}

// propose takes a command into the log and writes the answer.
func (a *administrator) propose(w http.ResponseWriter, r *http.Request, c historian.Command) {
	c.Operator = authenticator.OperatorOf(r.Context()).Name
	c.At = time.Now().UTC()
	command, err := historian.Encode(c)
	if err != nil {
		refuse(w, Problem{Status: http.StatusBadRequest, Reason: ReasonBadRequest, Detail: err.Error()})
		return
	}
	data, err := a.config.Log.Propose(r.Context(), command)
	if err != nil {
		a.refuseProposal(w, err)
		return
	}
	decided, err := historian.DecodeAnswer(data)
	if err != nil {
		a.refuseProposal(w, err)
		return
	}
	a.config.Logger.Info("submission answered",
		"submission-id", c.Submission, "operator", c.Operator, "verdict", decided.Verdict, "revision", decided.Revision)
	a.reply(w, decided)
}

// refuseProposal answers for a command that has no answer. Without a quorum it
// was not taken in; otherwise it may be in the log.
func (a *administrator) refuseProposal(w http.ResponseWriter, err error) {
	p := Problem{Status: http.StatusServiceUnavailable, Reason: ReasonOutcomeUnknown, Detail: err.Error()}
	switch waxwingseam.ReplicaReasonOf(err) {
	case waxwingseam.ReasonCommandTooLarge:
		p.Status, p.Reason = http.StatusRequestEntityTooLarge, ReasonTooLarge
	case waxwingseam.ReasonNotLeader, waxwingseam.ReasonNoQuorum, waxwingseam.ReasonStopped:
		p.Reason = ReasonNoQuorum
	}
	w.Header().Set("Retry-After", "1")
	refuse(w, p)
}

// reply writes the answer to a submission.
func (a *administrator) reply(w http.ResponseWriter, v historian.Answer) {
	switch v.Verdict {
	case historian.VerdictAccepted, historian.VerdictUnchanged:
		answer(w, v)
	case historian.VerdictConflict:
		refuse(w, Problem{Status: http.StatusConflict, Reason: ReasonConflict, Answer: &v})
	case historian.VerdictOtherContent:
		refuse(w, Problem{Status: http.StatusConflict, Reason: ReasonOtherContent, Answer: &v})
	default:
		refuse(w, Problem{Status: http.StatusUnprocessableEntity, Reason: ReasonUnknownService, Answer: &v})
	}
}
