package main

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestWrongUseServes guards against a process that starts with settings that nobody named
// or that are invalid.
func TestWrongUseServes(t *testing.T) {
	for _, v := range []struct {
		arguments []string
		code      int
	}{
		{nil, exitUsage},
		{[]string{"apply"}, exitUsage},
		{[]string{"serve"}, exitUsage},
		{[]string{"serve", "--settings", "x", "y"}, exitUsage},
		{[]string{"serve", "--settings", "no-such-file.ini"}, exitFindings},
	} {
		qt.Check(t, run(v.arguments), qt.Equals, v.code, qt.Commentf("%q", v.arguments))
	}
}
