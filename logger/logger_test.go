package logger_test

import (
	"bytes"
	"log/slog"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam/logger"
)

func ExampleLogger_Part() {
	l := logger.New(logger.Config{Writer: os.Stdout, Format: logger.FormatJSON})
	part := slog.New(withoutTime{l.Part("control").Handler()})
	part.Info("revision accepted", "revision", 7)
	// Output: {"level":"INFO","msg":"control: revision accepted","revision":7}
}

func TestSetLevelAppliesToParts(t *testing.T) {
	var out bytes.Buffer
	l := logger.New(logger.Config{Writer: &out, Level: slog.LevelWarn})
	part := l.Part("node").With("server", "fees-1")
	part.Info("not seen")
	qt.Assert(t, out.String(), qt.Equals, "")
	l.SetLevel(slog.LevelInfo)
	part.Info("seen")
	qt.Assert(t, out.String(), qt.Contains, `msg="node: seen" server=fees-1`)
}

func TestParseLevel(t *testing.T) {
	level, err := logger.ParseLevel("warn")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, level, qt.Equals, slog.LevelWarn)
	_, err = logger.ParseLevel("loud")
	qt.Assert(t, err, qt.ErrorMatches, `level is "loud".*`)
}
