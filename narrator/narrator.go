// Package narrator writes one structured log line for each decision about a call
// and for each change of a node's state. It observes the reducer. To limit the
// volume, calls that succeed at their first attempt appear only in summaries, and
// each kind of line has a rate limit.
package narrator

import (
	"log/slog"
	"time"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/accountant"
	"waxwingseam.example/waxwingseam/sampler"
)

// The kinds of lines, as written in the field "event".
const (
	EventCallAnswered    = "call-answered"
	EventAttemptSent     = "attempt-sent"
	EventAttemptAnswered = "attempt-answered"
	EventConfiguration   = "configuration-adopted"
	EventServers         = "servers-learned"
	EventBackend         = "backend-server-reported"
	EventKeptOut         = "backend-server-kept-out"
	EventAdmitted        = "backend-server-admitted"
	EventEndingAdded     = "backend-server-ending-added"
	EventRunCancelled    = "run-cancelled"
	EventStatement       = "backend-server-stated"
	EventDrain           = "drain-asked"
	EventBackendEnded    = "backend-server-ended"
	EventQuarantine      = "request-quarantine"
	EventRetryHistory    = "retry-history-learned"
	EventSummary         = "calls-summed-up"
)

// summaryInterval is the time between two summaries of the calls.
const summaryInterval = 5 * time.Second

// Config holds the settings of a Narrator.
type Config struct {
	Logger *slog.Logger
	// Rate is the maximum mean number of lines of one kind per second, and Burst
	// the maximum number of them at once. A value of 0 selects the default.
	Rate  float64
	Burst int
	// Usage returns the use of the processor since its last call; nil if unknown.
	Usage func() sampler.Usage
}

// The defaults of a Config. Calls cause three kinds of lines. Twenty lines of 300
// bytes per second for each kind add up to less than 20 KB/s.
const (
	DefaultRate  = 20
	DefaultBurst = 60
)

// Narrator writes the log lines of one node.
type Narrator struct {
	logger  *slog.Logger
	buckets map[string]*bucket
	rate    float64
	burst   int
	usage   func() sampler.Usage
	// open holds the unanswered calls that this node sends, and received those
	// that arrived for its backend server.
	open       map[waxwingseam.CallID]*openCall
	received   map[waxwingseam.CallID]receivedCall
	totals     statistics
	accountant *accountant.Accountant
	// now is the time of the event that is being observed.
	now        time.Time
	lastReport waxwingseam.BackendReport
}

// openCall is an unanswered call at its sending node.
type openCall struct {
	request  string
	arrived  time.Time
	call     waxwingseam.Call
	servers  []waxwingseam.ServerName
	revision waxwingseam.Revision
}

// receivedCall is a call at its receiving node.
type receivedCall struct {
	request string
	class   waxwingseam.ClassName
}

// statistics holds the figures of the next summary.
type statistics struct {
	since            time.Time
	completed        int
	failed           int
	refused          int
	outcomeUnknown   int
	answeredAttempts int
	// handedOver counts the runs handed to the backend server.
	handedOver int
	slowest    time.Duration
	// arrivals counts the received attempts, and arrivalDelay sums the times from
	// their receipt to the decisions on them.
	arrivals     int
	arrivalDelay time.Duration
	// hosted holds the answered attempts by class.
	hosted map[waxwingseam.ClassName]hostedAttempts
	// idle sums the slot time that stood idle while the node refused calls.
	idle time.Duration
	// load is the last one reported.
	load waxwingseam.Load
}

// maxHostedClasses bounds the classes in a summary; the attempts of further ones are
// counted as those of otherClasses.
const (
	maxHostedClasses                       = 32
	otherClasses     waxwingseam.ClassName = "others"
)

// hostedAttempts counts the attempts of one class that the node answered for its
// backend server.
type hostedAttempts struct {
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	// Waited sums the times in queues, here and below.
	Waited time.Duration `json:"waited"`
	// Succeeded, Failed and Cancelled sum the times for which runs held slots.
	Succeeded time.Duration `json:"slots-succeeded"`
	Failed    time.Duration `json:"slots-failed"`
	Cancelled time.Duration `json:"slots-cancelled"`
}

func newStatistics(since time.Time) statistics {
	return statistics{since: since, hosted: map[waxwingseam.ClassName]hostedAttempts{}}
}

// arrived counts a received attempt.
func (s *statistics) arrived(v waxwingseam.AttemptArrived) {
	s.arrivals++
	if !v.Received.IsZero() {
		s.arrivalDelay += v.Now.Sub(v.Received)
	}
}

// answered counts an answered attempt.
func (s *statistics) answered(class waxwingseam.ClassName, r waxwingseam.Result) {
	s.answeredAttempts++
	s.load = r.Load
	class = s.hostedName(class)
	h := s.hosted[class]
	h.Answered++
	h.Waited += r.Waited
	if r.Outcome == waxwingseam.OutcomeDidNotRun {
		h.Refused++
	}
	s.hosted[class] = h
}

// hostedName returns the name under which a class is counted.
func (s *statistics) hostedName(class waxwingseam.ClassName) waxwingseam.ClassName {
	if _, ok := s.hosted[class]; !ok && len(s.hosted) >= maxHostedClasses {
		return otherClasses
	}
	return class
}

// spent counts the slot time of an ended run.
func (n *Narrator) spent(class waxwingseam.ClassName, fate accountant.Fate, d time.Duration) {
	class = n.totals.hostedName(class)
	h := n.totals.hosted[class]
	switch fate {
	case accountant.FateSucceeded:
		h.Succeeded += d
	case accountant.FateFailed:
		h.Failed += d
	case accountant.FateCancelled:
		h.Cancelled += d
	}
	n.totals.hosted[class] = h
}

// New returns a Narrator.
func New(config Config) *Narrator {
	if config.Rate == 0 {
		config.Rate = DefaultRate
	}
	if config.Burst == 0 {
		config.Burst = DefaultBurst
	}
	n := &Narrator{
		logger:   config.Logger,
		buckets:  map[string]*bucket{},
		rate:     config.Rate,
		burst:    config.Burst,
		usage:    config.Usage,
		totals:   newStatistics(time.Time{}),
		open:     map[waxwingseam.CallID]*openCall{},
		received: map[waxwingseam.CallID]receivedCall{},
	}
	n.accountant = accountant.New(accountant.Config{
		Spend: n.spent,
		Idle:  func(d time.Duration) { n.totals.idle += d },

		Cancelled: n.runCancelled,
	})
	return n
}

// Observe implements runner.Observer.
func (n *Narrator) Observe(e waxwingseam.Event, effects []waxwingseam.Effect) {
	now := e.Stamped().Now
	n.now = now
	n.observeEvent(now, e)
	n.accountant.Observe(e, effects)
	for _, v := range effects {
		n.observeEffect(now, v)
	}
	n.summarize(now)
}

func (n *Narrator) observeEvent(now time.Time, e waxwingseam.Event) {
	switch v := e.(type) {
	case waxwingseam.CallArrived:
		n.open[v.ID] = &openCall{request: v.RequestID, arrived: now}
	case waxwingseam.AttemptArrived:
		n.received[v.Call.ID] = receivedCall{request: v.Call.RequestID, class: v.Call.Class}
		n.totals.arrived(v)
	case waxwingseam.AttemptCancelled:
		delete(n.received, v.ID)
	case waxwingseam.SetAdopted:
		n.configurationAdopted(now, v)
	case waxwingseam.ServersUpdated:
		n.serversUpdated(now, v)
	case waxwingseam.BackendReported:
		n.backendReported(now, v)
	case waxwingseam.DrainAsked:
		n.write(now, EventDrain, slog.LevelInfo, slog.Bool("undo", v.Undo))
	case waxwingseam.RetryHistoryLearned:
		n.write(now, EventRetryHistory, slog.LevelInfo, slog.Int("repeats", v.History.Use.Repeats),
			slog.Duration("age", v.History.Use.Age), slog.Duration("covered", v.History.Covered),
			slog.Int("left", len(v.History.Left)))
	}
}

func (n *Narrator) observeEffect(now time.Time, e waxwingseam.Effect) {
	switch v := e.(type) {
	case waxwingseam.Dispatch:
		n.attemptSent(now, v)
	case waxwingseam.Reply:
		n.callAnswered(now, v)
	case waxwingseam.AnswerAttempt:
		n.attemptAnswered(now, v)
	case waxwingseam.Run:
		n.totals.handedOver++
	case waxwingseam.StatementChanged:
		n.statementChanged(now, v)
	case waxwingseam.BackendEnded:
		n.backendEnded(now, v)
	case waxwingseam.ServerKeptOut:
		n.write(now, EventKeptOut, slog.LevelWarn, slog.String("instance", v.Instance),
			slog.Time("started", v.Started), slog.Uint64("sequence", v.Sequence))
	case waxwingseam.ServerAdmitted:
		n.write(now, EventAdmitted, slog.LevelInfo, slog.String("basis", string(v.Basis)),
			slog.Duration("after", v.After), slog.Int("reports", v.Held))
	case waxwingseam.EndingsAdded:
		for _, e := range v.Endings {
			n.write(now, EventEndingAdded, slog.LevelInfo, slog.String("instance", e.Instance),
				slog.Time("started", e.Started), slog.Time("reported", e.At))
		}
	case waxwingseam.QuarantineChanged:
		n.quarantineChanged(now, v.Request)
	}
}

// maxNamedRequests bounds the requests that the line of an ended server names.
const maxNamedRequests = 8

// backendEnded writes a line for an end of the own backend server that was not planned.
func (n *Narrator) backendEnded(now time.Time, v waxwingseam.BackendEnded) {
	named := v.End.Requests[:min(len(v.End.Requests), maxNamedRequests)]
	digests := make([]string, 0, len(named))
	for _, r := range named {
		digests = append(digests, r.Fingerprint.Digest.String())
	}
	n.write(now, EventBackendEnded, slog.LevelWarn,
		slog.String("server", string(v.End.ID.Server)),
		slog.String("instance", v.Instance),
		slog.String("proof", string(v.Proof)),
		slog.Bool("proven", v.End.Proven),
		slog.Int("requests", len(v.End.Requests)),
		slog.Any("digests", digests))
}

// quarantineChanged writes a line for a request that is refused from now on, or no longer.
func (n *Narrator) quarantineChanged(now time.Time, r waxwingseam.QuarantinedRequest) {
	n.write(now, EventQuarantine, slog.LevelWarn,
		slog.String("digest", r.Digest.String()),
		slog.String("state", string(r.State)),
		slog.Int("ends", r.Ends),
		slog.Int("proven", r.Proven),
		slog.Int("servers", r.Servers),
		slog.Int("runner-up", r.RunnerUp),
		slog.Time("until", r.Until))
}

// statementChanged writes a line for each change of what a backend server says of
// itself in its answers.
func (n *Narrator) statementChanged(now time.Time, v waxwingseam.StatementChanged) {
	n.write(now, EventStatement, slog.LevelWarn,
		slog.String("server", string(v.Server)),
		slog.String("instance", v.Backend.Instance),
		slog.Time("started", v.Backend.Started),
		slog.Bool("limited", v.Statement.Limited),
		slog.Float64("rate", v.Statement.Rate),
		slog.Bool("leaving", v.Statement.Leaving),
		slog.String("unreadable", v.Statement.Unreadable),
		slog.String("source", string(v.Source)),
		slog.Duration("age", v.Age))
}

// attemptSent records an attempt, and writes a line for each one after the first.
func (n *Narrator) attemptSent(now time.Time, v waxwingseam.Dispatch) {
	c, ok := n.open[v.Call.ID]
	if !ok {
		return
	}
	c.call = v.Call
	c.servers = append(c.servers, v.Server.Name)
	c.revision = v.Call.Revision
	if v.Attempt == 1 || !n.allows(now, EventAttemptSent) {
		return
	}
	n.line(EventAttemptSent, slog.LevelInfo,
		slog.String("request-id", c.request),
		slog.String("call", v.Call.ID.String()),
		slog.Int("attempt", int(v.Attempt)),
		slog.String("service", string(v.Call.Service)),
		slog.String("server", string(v.Server.Name)),
		slog.Duration("server-age", timeSince(now, v.Server.Since)),
		slog.Int("allowance", int(v.Call.Allowance)),
		slog.Uint64("revision", uint64(v.Call.Revision)))
}

// timeSince returns the time from since to now, or 0 if since is not known.
func timeSince(now, since time.Time) time.Duration {
	if since.IsZero() {
		return 0
	}
	return now.Sub(since)
}

// callAnswered counts an answered call, and writes a line unless it succeeded.
func (n *Narrator) callAnswered(now time.Time, v waxwingseam.Reply) {
	c, ok := n.open[v.ID]
	if !ok {
		return
	}
	delete(n.open, v.ID)
	elapsed := now.Sub(c.arrived)
	n.totals.slowest = max(n.totals.slowest, elapsed)
	switch {
	case v.Result.Succeeded():
		n.totals.completed++
		return
	case v.Result.Completed():
		n.totals.failed++
	case v.Result.Outcome == waxwingseam.OutcomeDidNotRun:
		n.totals.refused++
	default:
		n.totals.outcomeUnknown++
	}
	if !n.allows(now, EventCallAnswered) {
		return
	}
	if v.Refusal != nil {
		c.call, c.revision = v.Refusal.Call, v.Refusal.Call.Revision
	}
	attributes := []slog.Attr{
		slog.String("request-id", c.request),
		slog.String("call", v.ID.String()),
		slog.String("class", string(c.call.Class)),
		slog.String("service", string(c.call.Service)),
		slog.Int("importance", int(c.call.Rank.Importance)),
		slog.Any("servers", c.servers),
		slog.Int("attempts", len(c.servers)),
		slog.String("outcome", v.Result.Outcome.String()),
		slog.String("reason", string(v.Result.Reason)),
		slog.Int("status", v.Result.Status),
		slog.Duration("elapsed", elapsed),
		slog.Duration("deadline-in", timeUntil(now, c.call.Deadline)),
		slog.Duration("retry-after", v.Result.RetryAfter),
		slog.Uint64("revision", uint64(c.revision)),
	}
	if c.call.Account != "" {
		attributes = append(attributes, slog.String("account", string(c.call.Account)))
	}
	if v.Refusal != nil {
		attributes = append(attributes,
			slog.String("refusal-basis", string(v.Refusal.Basis)),
			slog.Duration("basis-age", v.Refusal.BasisAge),
			slog.Int("refused-permille", int(v.Refusal.Call.RefusedPermille)),
			slog.Bool("late", v.Refusal.Late))
		if v.Refusal.Basis == waxwingseam.BasisAccountLimit {
			attributes = append(attributes,
				slog.Float64("account-used", v.Refusal.Used),
				slog.Float64("account-limit", v.Refusal.Limit))
		}
	}
	n.line(EventCallAnswered, slog.LevelWarn, attributes...)
}

// timeUntil returns the time until a deadline, or 0 if there is none.
func timeUntil(now, deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return 0
	}
	return deadline.Sub(now)
}

// attemptAnswered counts an attempt that the receiving node answered. Unless the
// attempt succeeded, it writes a line with the load, which explains a refusal.
func (n *Narrator) attemptAnswered(now time.Time, v waxwingseam.AnswerAttempt) {
	call, ok := n.received[v.ID]
	if !ok {
		return
	}
	delete(n.received, v.ID)
	n.totals.answered(call.class, v.Result)
	if v.Result.Succeeded() || !n.allows(now, EventAttemptAnswered) {
		return
	}
	load := v.Result.Load
	n.line(EventAttemptAnswered, slog.LevelInfo,
		slog.String("request-id", call.request),
		slog.String("call", v.ID.String()),
		slog.Int("attempt", int(v.Attempt)),
		slog.String("class", string(call.class)),
		slog.String("instance", n.lastReport.Instance),
		slog.String("outcome", v.Result.Outcome.String()),
		slog.String("reason", string(v.Result.Reason)),
		slog.Int("status", v.Result.Status),
		slog.Duration("waited", v.Result.Waited),
		slog.Int("in-flight", int(load.InFlight)),
		slog.Int("waiting", int(load.Waiting)),
		slog.Int("limit", int(load.Limit)),
		slog.Duration("service-time", load.ServiceTime),
		slog.Duration("rate-delay", load.RateDelay),
		slog.Bool("leaving", load.Leaving),
		slog.Uint64("revision", uint64(load.Revision)))
}

// runCancelled writes a line for a cancelled run that has ended.
func (n *Narrator) runCancelled(r accountant.CancelledRun) {
	n.write(n.now, EventRunCancelled, slog.LevelInfo,
		slog.String("request-id", r.RequestID),
		slog.String("call", r.Call.String()),
		slog.String("class", string(r.Class)),
		slog.Duration("ran", r.Ran),
		slog.Duration("stopped-after", r.Stopped))
}

func (n *Narrator) configurationAdopted(now time.Time, v waxwingseam.SetAdopted) {
	n.write(now, EventConfiguration, slog.LevelInfo,
		slog.Uint64("revision", uint64(v.Set.Revision)),
		slog.Uint64("number", v.Set.Number),
		slog.Int("classes", len(v.Set.RequestClasses)),
		slog.Int("services", len(v.Set.Services)))
}

func (n *Narrator) serversUpdated(now time.Time, v waxwingseam.ServersUpdated) {
	present := make([]string, 0, len(v.Servers))
	for _, s := range v.Servers {
		name := string(s.Name)
		if s.Leaving {
			name += " leaving"
		}
		present = append(present, name)
	}
	n.write(now, EventServers, slog.LevelInfo,
		slog.Any("present", present),
		slog.Any("gone", v.Gone))
}

// backendReported stores a report of the backend server. It writes a line if the
// report differs from the last one in a field other than the sequence number and the
// remaining cold-start time.
func (n *Narrator) backendReported(now time.Time, v waxwingseam.BackendReported) {
	last := n.lastReport
	n.lastReport = v.Report
	last.Sequence, last.ColdFor = v.Report.Sequence, v.Report.ColdFor
	if last == v.Report {
		return
	}
	n.write(now, EventBackend, slog.LevelInfo,
		slog.String("instance", v.Report.Instance),
		slog.String("service", string(v.Report.Service)),
		slog.String("state", v.Report.State.String()),
		slog.Int("slots", v.Report.Slots),
		slog.Time("started", v.Report.Started),
		slog.Uint64("sequence", v.Report.Sequence),
		slog.Duration("cold-for", v.Report.ColdFor))
}

// summarize writes the figures since the last summary, and the number of dropped
// lines, if summaryInterval has passed.
func (n *Narrator) summarize(now time.Time) {
	if n.totals.since.IsZero() {
		n.totals.since = now
		return
	}
	if now.Sub(n.totals.since) < summaryInterval {
		return
	}
	totals := n.totals
	n.totals = newStatistics(now)
	dropped := 0
	for _, b := range n.buckets {
		dropped += b.takeDropped()
	}
	var usage sampler.Usage
	if n.usage != nil {
		usage = n.usage()
	}
	n.write(now, EventSummary, slog.LevelInfo,
		slog.Int("completed", totals.completed),
		slog.Int("failed", totals.failed),
		slog.Int("refused", totals.refused),
		slog.Int("outcome-unknown", totals.outcomeUnknown),
		slog.Int("hosted", totals.answeredAttempts),
		slog.Int("handed-over", totals.handedOver),
		slog.Duration("slowest", totals.slowest),
		slog.Int("open", len(n.open)),
		slog.Int("lines-left-out", dropped),
		slog.Duration("arrival-delay", totals.arrivalDelay/time.Duration(max(totals.arrivals, 1))),
		slog.Duration("processor-time", usage.ProcessorTime),
		slog.Duration("scheduling-delay", usage.SchedulingDelay),
		slog.Int("root-limit", int(totals.load.RootLimit)),
		slog.Duration("idle-while-refusing", totals.idle),
		slog.Any("hosted-by-class", totals.hosted))
}
