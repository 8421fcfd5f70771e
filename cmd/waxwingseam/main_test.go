package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/alecthomas/kong"
	qt "github.com/frankban/quicktest"
)

// TestExitCodes checks that scripts can tell success, findings and failures, wrong
// usage, and an unreachable replica apart by the exit code.
func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.ini")
	qt.Assert(t, os.WriteFile(bad, []byte("[service a]\ncolour = red\n"), 0o600), qt.IsNil)
	good := "../../examples/van-dalen/objects.ini"
	for _, v := range []struct {
		name      string
		arguments []string
		want      int
	}{
		{"no findings", []string{"check", good}, exitDone},
		{"findings", []string{"check", bad}, exitFailed},
		{"missing file", []string{"check", "no-such-file.ini"}, exitFailed},
		{"unknown command", []string{"fly"}, exitUsage},
		{"missing flag", []string{"serve"}, exitUsage},
		{"bad settings", []string{"serve", "--settings", bad}, exitFailed},
		{"unreachable control", []string{"status", "--control", "127.0.0.1:1"}, exitUnreachable},
		{"unreachable apply", []string{"apply", "--control", "127.0.0.1:1", "--base-revision", "0", good}, exitUnreachable},
		{"help", []string{"--help"}, exitDone},
		{"version", []string{"version"}, exitDone},
	} {
		t.Run(v.name, func(t *testing.T) {
			qt.Assert(t, run(v.arguments), qt.Equals, v.want)
		})
	}
}

// TestCompletionNamesCommandsAndFlags checks that the completion script contains
// the commands and their flags, including the flags of embedded structs.
func TestCompletionNamesCommandsAndFlags(t *testing.T) {
	var c commands
	parser, err := kong.New(&c)
	qt.Assert(t, err, qt.IsNil)
	var out bytes.Buffer
	qt.Assert(t, writeCompletion(&out, parser.Model), qt.IsNil)
	for _, want := range []string{"serve", "apply) flags=", "--base-revision", "--submission-id", "drain"} {
		qt.Check(t, out.String(), qt.Contains, want)
	}
}

// TestEveryCommandShowsAnExample checks that the help of each command with flags
// or arguments has an example.
func TestEveryCommandShowsAnExample(t *testing.T) {
	var c commands
	parser, err := kong.New(&c)
	qt.Assert(t, err, qt.IsNil)
	for _, command := range parser.Model.Children {
		if len(command.Flags) > 0 || len(command.Positional) > 0 {
			qt.Check(t, command.Detail, qt.Contains, "waxwingseam "+command.Name)
		}
	}
}
