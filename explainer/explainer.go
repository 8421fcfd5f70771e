// Package explainer builds the timeline of one request from the logs of several
// processes.
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/narrator"
)

// maxLineBytes bounds the length of a line; Read fails on a longer one.
const maxLineBytes = 1 << 20

// Line is one log line about the request.
type Line struct {
	// Source is the name of the file that contains the line.
	Source string `json:"-"`
	// Text is the JSON object of the line, as written.
	Text      string    `json:"-"`
	Time      time.Time `json:"time"`
	Event     string    `json:"event"`
	RequestID string    `json:"request-id"`
	Class     string    `json:"class"`
	Service   string    `json:"service"`
	Server    string    `json:"server"`
	Instance  string    `json:"instance"`
	Servers   []string  `json:"servers"`
	Attempt   int       `json:"attempt"`
	Outcome   string    `json:"outcome"`
	Reason    string    `json:"reason"`
	Status    int       `json:"status"`
	// Elapsed and Waited are logged in nanoseconds.
	Elapsed  time.Duration `json:"elapsed"`
	Waited   time.Duration `json:"waited"`
	InFlight int           `json:"in-flight"`
	Waiting  int           `json:"waiting"`
	Limit    int           `json:"limit"`
	// RateDelay is how long one more call would have waited for the rate limit.
	RateDelay time.Duration `json:"rate-delay"`
	Revision  uint64        `json:"revision"`
	// Account is the client account. The others are those of a refusal for its limit.
	Account      string        `json:"account"`
	AccountUsed  float64       `json:"account-used"`
	AccountLimit float64       `json:"account-limit"`
	BasisAge     time.Duration `json:"basis-age"`
}

// Timeline holds the log lines about one request and the calls made for it.
type Timeline struct {
	RequestID string
	// Lines is sorted by time once the timeline has been written.
	Lines []Line
	// Unreadable counts the lines that could not be parsed.
	Unreadable int
}

// New returns an empty timeline of a request.
func New(request string) *Timeline {
	return &Timeline{RequestID: request}
}

// Read adds the lines of one file that are about the request or the calls made
// for it. source is the name of the file. Unreadable counts the lines that are not
// JSON objects.
func (t *Timeline) Read(source string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		t.add(source, scanner.Bytes())
	}
	return trace.Wrap(scanner.Err(), source)
}

// add adds a line if it is about the request or a call made for it. It ignores the
// text before the first brace.
func (t *Timeline) add(source string, text []byte) {
	start := bytes.IndexByte(text, '{')
	var l Line
	if start < 0 || json.Unmarshal(text[start:], &l) != nil {
		t.Unreadable++
		return
	}
	if l.RequestID != t.RequestID && !strings.HasPrefix(l.RequestID, t.RequestID+".") {
		return
	}
	l.Source, l.Text = source, string(text[start:])
	t.Lines = append(t.Lines, l)
}

// Write prints the timeline, with the cause in its last line. It returns an error
// if there are no lines about the request.
func (t *Timeline) Write(w io.Writer) error {
	if len(t.Lines) == 0 {
		return trace.NotFound("no log line mentions request %s; unreadable lines: %d", t.RequestID, t.Unreadable)
	}
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	first := t.Lines[0].Time
	for _, l := range t.Lines {
		if _, err := fmt.Fprintf(w, "%8.3f s  %s\n", l.Time.Sub(first).Seconds(), l.describe(t.RequestID)); err != nil {
			return trace.Wrap(err)
		}
	}
	if t.Unreadable > 0 {
		if _, err := fmt.Fprintf(w, "unreadable lines: %d\n", t.Unreadable); err != nil {
			return trace.Wrap(err)
		}
	}
	_, err := fmt.Fprintf(w, "cause: %s\n", t.cause())
	return trace.Wrap(err)
}

func (l Line) describe(request string) string {
	subject := "the request"
	if l.RequestID != request {
		subject = "call " + strings.TrimPrefix(l.RequestID, request)
	}
	switch l.Event {
	case narrator.EventAttemptSent:
		return fmt.Sprintf("%s: attempt %d sent to %s of service %s, revision %d", subject, l.Attempt, l.Server, l.Service, l.Revision)
	case narrator.EventAttemptAnswered:
		text := fmt.Sprintf("%s: instance %s answered attempt %d: %s; waited %v, in flight %d of %d, %d waiting",
			subject, l.Instance, l.Attempt, l.result(), l.Waited.Round(time.Millisecond), l.InFlight, l.Limit, l.Waiting)
		if l.RateDelay > 0 {
			text += fmt.Sprintf(", next call by the rate limit in %v", l.RateDelay.Round(time.Millisecond))
		}
		return text
	case narrator.EventCallAnswered:
		text := fmt.Sprintf("%s: answered after %v (servers: %s): %s, class %s, revision %d",
			subject, l.Elapsed.Round(time.Millisecond), strings.Join(l.Servers, ", "), l.result(), l.Class, l.Revision)
		if l.Account != "" {
			text += ", account " + l.Account
		}
		if l.AccountLimit > 0 {
			text += fmt.Sprintf(": %.1f of %.1f requests/s, as known %v before", l.AccountUsed, l.AccountLimit, l.BasisAge.Round(time.Millisecond))
		}
		return text
	}
	return subject + ": " + l.Text
}

// result returns the outcome and reason of an attempt or a call, or the status of
// the backend server's reply.
func (l Line) result() string {
	if l.Reason == "" {
		return fmt.Sprintf("status %d from the backend server", l.Status)
	}
	return l.Outcome + ", " + l.Reason
}

// cause describes the failure of the deepest call, since the failures above it
// follow from that one. At the same depth, it prefers the earliest line with a
// reason and a service.
func (t *Timeline) cause() string {
	deepest := t.Lines[0]
	for _, l := range t.Lines[1:] {
		deeper := strings.Count(l.RequestID, ".") > strings.Count(deepest.RequestID, ".")
		sameDepth := strings.Count(l.RequestID, ".") == strings.Count(deepest.RequestID, ".")
		moreSpecific := deepest.Reason == "" && l.Reason != "" || deepest.Service == "" && l.Service != "" && l.Reason != ""
		if deeper || sameDepth && moreSpecific {
			deepest = l
		}
	}
	if text, ok := causeTexts[waxwingseam.Reason(deepest.Reason)]; ok {
		return fmt.Sprintf("%s (%s, service %s, class %s)", text, deepest.result(), deepest.Service, deepest.Class)
	}
	return fmt.Sprintf("%s (service %s, class %s)", deepest.result(), deepest.Service, deepest.Class)
}

// causeTexts explains the reasons to an operator.
var causeTexts = map[waxwingseam.Reason]string{
	waxwingseam.ReasonOverloaded:       "the service had no free capacity and refused the call before it ran",
	waxwingseam.ReasonEvicted:          "a more important call replaced the call in the queue",
	waxwingseam.ReasonWaitLimit:        "the call's time in the queue reached the limit of its class",
	waxwingseam.ReasonDeadline:         "the call's deadline had passed, or was too close for a run",
	waxwingseam.ReasonDraining:         "the backend server was leaving and no other server accepted the call",
	waxwingseam.ReasonNoServer:         "no backend server of the service was known",
	waxwingseam.ReasonNoConfiguration:  "the node had no configuration yet",
	waxwingseam.ReasonUnknownClass:     "no request class matched in the configuration in force at the node",
	waxwingseam.ReasonConnectionFailed: "the backend server or its node could not be reached",
	waxwingseam.ReasonConnectionSilent: "the connection went silent",
	waxwingseam.ReasonServerFailed:     "the backend server did not complete its reply, or replied to another request",
	waxwingseam.ReasonServerRefused:    "the backend server refused the call, because the server was overloaded or the request was too late",
	waxwingseam.ReasonServerReplaced:   "another backend server now has the address",
	waxwingseam.ReasonRetryBudget:      "the retry budget of the service was used up",
	waxwingseam.ReasonRateLimited:      "the backend server names a rate limit, and the call would have exceeded it or waited too long",
	waxwingseam.ReasonUnauthenticated:  "the request had no key of a client account of the configuration in force at the node",
	waxwingseam.ReasonSetUnconfirmed:   "the key was unknown to a node that could not tell whether its configuration was the newest",
	waxwingseam.ReasonAccountLimit:     "the client account was over its limit",
	waxwingseam.ReasonUnknownContext:   "no known run made the call, and it had no key of a client account",
	waxwingseam.ReasonCancelled:        "the caller left, or the run that made the call ended",
}
