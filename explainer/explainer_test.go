package explainer_test

import (
	"bytes"
	"flag"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam/explainer"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestTimelineGolden checks that the lines of two processes are merged in the order
// of time, that a truncated line is counted, and that the cause is the deepest
// failure.
func TestTimelineGolden(t *testing.T) {
	timeline := explainer.New("9c41")
	for _, name := range []string{"sender.log", "receiver.log"} {
		data, err := os.ReadFile("testdata/" + name)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, timeline.Read(name, bytes.NewReader(data)), qt.IsNil)
	}
	var out bytes.Buffer
	qt.Assert(t, timeline.Write(&out), qt.IsNil)
	if *update {
		qt.Assert(t, os.WriteFile("testdata/story.golden", out.Bytes(), 0o600), qt.IsNil)
	}
	want, err := os.ReadFile("testdata/story.golden")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, out.String(), qt.Equals, string(want))
}

// TestRateLimitIsNamedAsCause checks that an operator can tell a refusal for the rate
// limit that a backend server names from one for overload.
func TestRateLimitIsNamedAsCause(t *testing.T) {
	timeline := explainer.New("9c41")
	lines := `{"time":"2026-01-01T06:00:00Z","event":"attempt-answered","request-id":"9c41","attempt":1,"instance":"i-1","outcome":"did-not-run","reason":"rate-limited","limit":8,"rate-delay":70000000}` + "\n"
	qt.Assert(t, timeline.Read("receiver.log", strings.NewReader(lines)), qt.IsNil)
	var out bytes.Buffer
	qt.Assert(t, timeline.Write(&out), qt.IsNil)
	qt.Check(t, out.String(), qt.Contains, "next call by the rate limit in 70ms")
	qt.Check(t, out.String(), qt.Contains, "cause: the backend server names a rate limit")
}

func TestUnknownRequest(t *testing.T) {
	timeline := explainer.New("none")
	qt.Assert(t, timeline.Read("x", strings.NewReader("no log line\n")), qt.IsNil)
	qt.Assert(t, timeline.Write(&bytes.Buffer{}), qt.ErrorMatches, "no log line mentions request none; unreadable lines: 1")
}

// TestAccountRefusal guards against a refused client account whose timeline lacks the
// account, the figure that decided or its age.
func TestAccountRefusal(t *testing.T) {
	timeline := explainer.New("7be2a35f689c41d0")
	line := `{"event":"call-answered","request-id":"7be2a35f689c41d0","class":"lots","service":"desk","outcome":"did-not-run","reason":"account-limit",` +
		`"account":"archive","account-used":1024.5,"account-limit":842,"basis-age":120000000}`
	qt.Assert(t, timeline.Read("node.log", strings.NewReader(line)), qt.IsNil)
	var out bytes.Buffer
	qt.Assert(t, timeline.Write(&out), qt.IsNil)
	qt.Assert(t, out.String(), qt.Contains, "account archive: 1024.5 of 842.0 requests/s, as known 120ms before")
	qt.Assert(t, out.String(), qt.Contains, "cause: the client account was over its limit")
}
