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

// maxLineBytes bounds a line; longer ones are counted as unreadable.
const maxLineBytes = 1 << 20

// Line is one log line about the request.
type Line struct {
	// Source names the file that holds it.
	Source string `json:"-"`
	// Text is the line as it was written.
	Text     string    `json:"-"`
	Time     time.Time `json:"time"`
	Event    string    `json:"event"`
	Request  string    `json:"request-id"`
	Class    string    `json:"class"`
	Service  string    `json:"service"`
	Server   string    `json:"server"`
	Instance string    `json:"instance"`
	Servers  []string  `json:"servers"`
	Attempt  int       `json:"attempt"`
	Outcome  string    `json:"outcome"`
	Reason   string    `json:"reason"`
	Status   int       `json:"status"`
	// Elapsed and Waited are in nanoseconds on the wire.
	Elapsed  time.Duration `json:"elapsed"`
	Waited   time.Duration `json:"waited"`
	InFlight int           `json:"in-flight"`
	Waiting  int           `json:"waiting"`
	Limit    int           `json:"limit"`
	Revision uint64        `json:"revision"`
}

// Timeline holds the log lines about one request.
type Timeline struct {
	Request string
	// Lines is sorted by time once the timeline has been written.
	Lines []Line
	// Unreadable counts lines that are no log lines.
	Unreadable int
}

// New returns an empty timeline of a request.
func New(request string) *Timeline {
	return &Timeline{Request: request}
}

// Read adds the lines of one file that tell of the request, or of calls that were
// made for it.
func (t *Timeline) Read(source string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		t.add(source, scanner.Bytes())
	}
	return trace.Wrap(scanner.Err(), source)
}

// add takes in one line; what stands in front of its first brace is left out.
func (t *Timeline) add(source string, text []byte) {
	at := bytes.IndexByte(text, '{')
	var l Line
	if at < 0 || json.Unmarshal(text[at:], &l) != nil {
		t.Unreadable++
		return
	}
	if l.Request != t.Request && !strings.HasPrefix(l.Request, t.Request+".") {
		return
	}
	l.Source, l.Text = source, string(text[at:])
	t.Lines = append(t.Lines, l)
}

// Write prints the timeline, ending with the cause. It fails if no log line is
// about the request.
func (t *Timeline) Write(w io.Writer) error {
	if len(t.Lines) == 0 {
		return trace.NotFound("no line tells of request %s; %d lines could not be read", t.Request, t.Unreadable)
	}
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	first := t.Lines[0].Time
	for _, l := range t.Lines {
		if _, err := fmt.Fprintf(w, "%8.3f s  %s\n", l.Time.Sub(first).Seconds(), l.describe(t.Request)); err != nil {
			return trace.Wrap(err)
		}
	}
	if t.Unreadable > 0 {
		if _, err := fmt.Fprintf(w, "%d lines could not be read\n", t.Unreadable); err != nil {
			return trace.Wrap(err)
		}
	}
	_, err := fmt.Fprintf(w, "cause: %s\n", t.cause())
	return trace.Wrap(err)
}

func (l Line) describe(request string) string {
	who := "the request"
	if l.Request != request {
		who = "call " + strings.TrimPrefix(l.Request, request)
	}
	switch l.Event {
	case narrator.EventAttemptSent:
		return fmt.Sprintf("%s: attempt %d goes to %s of service %s, revision %d", who, l.Attempt, l.Server, l.Service, l.Revision)
	case narrator.EventAttemptAnswered:
		return fmt.Sprintf("%s: instance %s answers attempt %d: %s; waited %v, in flight %d of %d, %d waiting",
			who, l.Instance, l.Attempt, l.ending(), l.Waited.Round(time.Millisecond), l.InFlight, l.Limit, l.Waiting)
	case narrator.EventCallAnswered:
		return fmt.Sprintf("%s: answered after %v over %s: %s, class %s, revision %d",
			who, l.Elapsed.Round(time.Millisecond), strings.Join(l.Servers, ", "), l.ending(), l.Class, l.Revision)
	}
	return who + ": " + l.Text
}

// ending says what an attempt or a call came to.
func (l Line) ending() string {
	if l.Reason == "" {
		return fmt.Sprintf("status %d of the backend server", l.Status)
	}
	return l.Outcome + ", " + l.Reason
}

// cause names the reason of the deepest call that failed first: what failed above
// it follows from that.
func (t *Timeline) cause() string {
	deepest := t.Lines[0]
	for _, l := range t.Lines[1:] {
		below := strings.Count(l.Request, ".") > strings.Count(deepest.Request, ".")
		same := strings.Count(l.Request, ".") == strings.Count(deepest.Request, ".")
		tellsMore := deepest.Reason == "" && l.Reason != "" || deepest.Service == "" && l.Service != "" && l.Reason != ""
		if below || same && tellsMore {
			deepest = l
		}
	}
	if text, ok := causes[waxwingseam.Reason(deepest.Reason)]; ok {
		return fmt.Sprintf("%s (%s, service %s, class %s)", text, deepest.ending(), deepest.Service, deepest.Class)
	}
	return fmt.Sprintf("%s (service %s, class %s)", deepest.ending(), deepest.Service, deepest.Class)
}

// causes say in words what a reason means for the one who looks for it.
var causes = map[waxwingseam.Reason]string{
	waxwingseam.ReasonOverloaded:       "the service had no room and refused the call before it ran",
	waxwingseam.ReasonEvicted:          "a more important call took its place in the queue",
	waxwingseam.ReasonWaitLimit:        "it waited in the queue for as long as its class allows",
	waxwingseam.ReasonDeadline:         "its time was over, or too short for a run",
	waxwingseam.ReasonDraining:         "the backend server was leaving and no other one took it",
	waxwingseam.ReasonNoServer:         "no backend server of the service was known",
	waxwingseam.ReasonNoConfiguration:  "the node had no configuration yet",
	waxwingseam.ReasonUnknownClass:     "no route matched in the configuration in force at the node",
	waxwingseam.ReasonConnectionFailed: "the node beside the backend server, or the server, could not be reached",
	waxwingseam.ReasonConnectionSilent: "the connection went silent",
	waxwingseam.ReasonServerFailed:     "the backend server broke off, or its answer was not the request's own",
	waxwingseam.ReasonServerRefused:    "the backend server refused it, full or late",
	waxwingseam.ReasonServerReplaced:   "another backend server has the address now",
	waxwingseam.ReasonRetryBudget:      "too many calls of the service were repeated to repeat this one",
	waxwingseam.ReasonCancelled:        "the caller left, or the run that made the call ended",
}
