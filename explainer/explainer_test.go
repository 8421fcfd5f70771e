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

func TestUnknownRequest(t *testing.T) {
	timeline := explainer.New("none")
	qt.Assert(t, timeline.Read("x", strings.NewReader("no log line\n")), qt.IsNil)
	qt.Assert(t, timeline.Write(&bytes.Buffer{}), qt.ErrorMatches, "no log line mentions request none; unreadable lines: 1")
}
