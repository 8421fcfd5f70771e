// Package narrator writes one structured log line for each decision that touches
// a call or changes what a node believes. It observes the reducer; calls that go
// well are summed up, so that the volume is bounded by what goes wrong, and that
// by a rate for each kind of line.
package narrator

import (
	"log/slog"
	"time"

	"waxwingseam.example/waxwingseam"
)

// The kinds of lines, in the field "event".
const (
	EventCallAnswered    = "call-answered"
	EventAttemptSent     = "attempt-sent"
	EventAttemptAnswered = "attempt-answered"
	EventConfiguration   = "configuration-adopted"
	EventServers         = "servers-learned"
	EventBackend         = "backend-server-reported"
	EventDrain           = "drain-asked"
	EventSummary         = "calls-summed-up"
)

// summaryEvery is the time between two sums of the calls.
const summaryEvery = 5 * time.Second

// Config holds the parts of a narrator.
type Config struct {
	Logger *slog.Logger
	// Rate is how many lines of one kind are written each second, Burst how many
	// at once; the defaults where they are 0.
	Rate  float64
	Burst int
}

// The defaults of a Config. Twenty lines of 300 bytes a second for each of the
// kinds that calls cause stay below 20 KB/s.
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
	// flights are the calls that this node sends, hosted those that it hosts.
	flights map[waxwingseam.CallID]*flight
	hosted  map[waxwingseam.CallID]waxwingseam.Call
	sums    sums
	report  waxwingseam.BackendReport
}

// flight is an open call at its sending node.
type flight struct {
	request  string
	arrived  time.Time
	call     waxwingseam.Call
	servers  []waxwingseam.ServerName
	revision waxwingseam.Revision
}

// sums count the calls since the last summary.
type sums struct {
	since     time.Time
	completed int
	failed    int
	refused   int
	unknown   int
	hosted    int
	slowest   time.Duration
}

// New returns a narrator.
func New(config Config) *Narrator {
	if config.Rate == 0 {
		config.Rate = DefaultRate
	}
	if config.Burst == 0 {
		config.Burst = DefaultBurst
	}
	return &Narrator{
		logger:  config.Logger,
		buckets: map[string]*bucket{},
		rate:    config.Rate,
		burst:   config.Burst,
		flights: map[waxwingseam.CallID]*flight{},
		hosted:  map[waxwingseam.CallID]waxwingseam.Call{},
	}
}

// Observe implements runner.Observer.
func (n *Narrator) Observe(e waxwingseam.Event, effects []waxwingseam.Effect) {
	now := e.Stamped().Now
	n.event(now, e)
	for _, v := range effects {
		n.effect(now, v)
	}
	n.summarize(now)
}

func (n *Narrator) event(now time.Time, e waxwingseam.Event) {
	switch v := e.(type) {
	case waxwingseam.CallArrived:
		n.flights[v.ID] = &flight{request: v.RequestID, arrived: now}
	case waxwingseam.AttemptArrived:
		n.hosted[v.Call.ID] = v.Call
	case waxwingseam.AttemptCancelled:
		delete(n.hosted, v.ID)
	case waxwingseam.SetAdopted:
		n.adopted(now, v)
	case waxwingseam.ServersUpdated:
		n.learned(now, v)
	case waxwingseam.BackendReported:
		n.reported(now, v)
	case waxwingseam.DrainAsked:
		n.write(now, EventDrain, slog.LevelInfo, slog.Bool("undo", v.Undo))
	}
}

func (n *Narrator) effect(now time.Time, e waxwingseam.Effect) {
	switch v := e.(type) {
	case waxwingseam.Dispatch:
		n.sent(now, v)
	case waxwingseam.Reply:
		n.replied(now, v)
	case waxwingseam.AnswerAttempt:
		n.answered(now, v)
	}
}

// sent notes an attempt; one after the first gets a line.
func (n *Narrator) sent(now time.Time, v waxwingseam.Dispatch) {
	f, ok := n.flights[v.Call.ID]
	if !ok {
		return
	}
	f.call = v.Call
	f.servers = append(f.servers, v.Server.Name)
	f.revision = v.Call.Revision
	if v.Attempt == 1 {
		return
	}
	n.write(now, EventAttemptSent, slog.LevelInfo,
		slog.String("request-id", f.request),
		slog.String("call", v.Call.ID.String()),
		slog.Int("attempt", int(v.Attempt)),
		slog.String("service", string(v.Call.Service)),
		slog.String("server", string(v.Server.Name)),
		slog.Duration("server-age", age(now, v.Server.Since)),
		slog.Int("allowance", int(v.Call.Allowance)),
		slog.Uint64("revision", uint64(v.Call.Revision)))
}

// age is the time since a server's life began; 0 where that is not known.
func age(now, since time.Time) time.Duration {
	if since.IsZero() {
		return 0
	}
	return now.Sub(since)
}

// replied ends a call; one that did not go well gets a line.
func (n *Narrator) replied(now time.Time, v waxwingseam.Reply) {
	f, ok := n.flights[v.ID]
	if !ok {
		return
	}
	delete(n.flights, v.ID)
	elapsed := now.Sub(f.arrived)
	n.sums.slowest = max(n.sums.slowest, elapsed)
	switch {
	case v.Result.Succeeded():
		n.sums.completed++
		return
	case v.Result.Completed():
		n.sums.failed++
	case v.Result.Outcome == waxwingseam.OutcomeDidNotRun:
		n.sums.refused++
	default:
		n.sums.unknown++
	}
	n.write(now, EventCallAnswered, slog.LevelWarn,
		slog.String("request-id", f.request),
		slog.String("call", v.ID.String()),
		slog.String("class", string(f.call.Class)),
		slog.String("service", string(f.call.Service)),
		slog.Int("importance", int(f.call.Rank.Importance)),
		slog.Any("servers", f.servers),
		slog.Int("attempts", len(f.servers)),
		slog.String("outcome", v.Result.Outcome.String()),
		slog.String("reason", string(v.Result.Reason)),
		slog.Int("status", v.Result.Status),
		slog.Duration("elapsed", elapsed),
		slog.Duration("deadline-in", left(now, f.call.Deadline)),
		slog.Duration("retry-after", v.Result.RetryAfter),
		slog.Uint64("revision", uint64(f.revision)))
}

// left is the time until a deadline; 0 where there is none.
func left(now, deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return 0
	}
	return deadline.Sub(now)
}

// answered ends an attempt at the node beside the backend server; one that did
// not go well gets a line with the load that decided it.
func (n *Narrator) answered(now time.Time, v waxwingseam.AnswerAttempt) {
	call, ok := n.hosted[v.ID]
	if !ok {
		return
	}
	delete(n.hosted, v.ID)
	n.sums.hosted++
	if v.Result.Succeeded() {
		return
	}
	load := v.Result.Load
	n.write(now, EventAttemptAnswered, slog.LevelInfo,
		slog.String("request-id", call.RequestID),
		slog.String("call", v.ID.String()),
		slog.Int("attempt", int(v.Attempt)),
		slog.String("class", string(call.Class)),
		slog.String("instance", n.report.Instance),
		slog.String("outcome", v.Result.Outcome.String()),
		slog.String("reason", string(v.Result.Reason)),
		slog.Int("status", v.Result.Status),
		slog.Duration("waited", v.Result.Waited),
		slog.Int("in-flight", int(load.InFlight)),
		slog.Int("waiting", int(load.Waiting)),
		slog.Int("limit", int(load.Limit)),
		slog.Duration("service-time", load.ServiceTime),
		slog.Bool("leaving", load.Leaving),
		slog.Uint64("revision", uint64(load.Revision)))
}

func (n *Narrator) adopted(now time.Time, v waxwingseam.SetAdopted) {
	n.write(now, EventConfiguration, slog.LevelInfo,
		slog.Uint64("revision", uint64(v.Set.Revision)),
		slog.Uint64("number", v.Set.Number),
		slog.Int("classes", len(v.Set.RequestClasses)),
		slog.Int("services", len(v.Set.Services)))
}

func (n *Narrator) learned(now time.Time, v waxwingseam.ServersUpdated) {
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

// reported notes a report of the backend server; one that differs from the last
// gets a line.
func (n *Narrator) reported(now time.Time, v waxwingseam.BackendReported) {
	before := n.report
	n.report = v.Report
	before.Sequence, before.ColdFor = v.Report.Sequence, v.Report.ColdFor
	if before == v.Report {
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

// summarize writes the sums of the calls now and then, and what was left out.
func (n *Narrator) summarize(now time.Time) {
	if n.sums.since.IsZero() {
		n.sums.since = now
		return
	}
	if now.Sub(n.sums.since) < summaryEvery {
		return
	}
	s := n.sums
	n.sums = sums{since: now}
	left := 0
	for _, b := range n.buckets {
		left += b.takeLeft()
	}
	n.write(now, EventSummary, slog.LevelInfo,
		slog.Int("completed", s.completed),
		slog.Int("failed", s.failed),
		slog.Int("refused", s.refused),
		slog.Int("outcome-unknown", s.unknown),
		slog.Int("hosted", s.hosted),
		slog.Duration("slowest", s.slowest),
		slog.Int("open", len(n.flights)),
		slog.Int("lines-left-out", left))
}
