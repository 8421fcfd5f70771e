package starter_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam/starter"
)

// TestTracesAreDroppedInSilence guards against a program without an exporter that accepts
// settings with a trace endpoint.
func TestTracesAreDroppedInSilence(t *testing.T) {
	settings, err := os.ReadFile("../examples/loopback/fees.ini")
	qt.Assert(t, err, qt.IsNil)
	traced := strings.Replace(string(settings), "[process]\n", "[process]\ntrace-endpoint = http://127.0.0.1:1/\n", 1)
	file := filepath.Join(t.TempDir(), "settings.ini")
	qt.Assert(t, os.WriteFile(file, []byte(traced), 0o600), qt.IsNil)
	qt.Assert(t, starter.Serve(starter.Config{Settings: file}), qt.ErrorMatches, "(?s).*can't export traces.*")
}
