package estimator_test

import (
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam/estimator"
)

const (
	slopesFile = "../docs/capacity/slopes.ini"
	page       = "../docs/CAPACITY.md"
)

// TestPageHoldsTheTable keeps docs/CAPACITY.md from drifting away from the
// slopes.
func TestPageHoldsTheTable(t *testing.T) {
	data, err := os.ReadFile(slopesFile)
	qt.Assert(t, err, qt.IsNil)
	slopes, err := estimator.ReadSlopes(slopesFile, data)
	qt.Assert(t, err, qt.IsNil)
	table := estimator.Markdown(estimator.Estimate(estimator.DefaultPlan(), slopes))
	qt.Assert(t, slopes.Missing(), qt.HasLen, 0)
	qt.Assert(t, slopes.Unused(), qt.HasLen, 0)
	text, err := os.ReadFile(page)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, strings.Contains(string(text), table), qt.IsTrue, qt.Commentf("run go run ./cmd/estimate and put its table into the page"))
}

func TestReadSlopesFindings(t *testing.T) {
	_, err := estimator.ReadSlopes("s.ini", []byte("[slope a]\nvalue = x\ncommand = c\n[other]\n"))
	qt.Assert(t, err.Error(), qt.Equals, "s.ini:1: [slope a] page: the key is missing\n"+
		"s.ini:2: [slope a] value: no number\n"+
		"s.ini:4: [other] unknown section, want slope")
}

func TestMarkdownMarksPassedBounds(t *testing.T) {
	rows := []estimator.Row{{Role: estimator.RoleNode, Quantity: "memory", Value: 300, Bound: 256, Unit: "MB"}}
	qt.Assert(t, estimator.Markdown(rows), qt.Contains, "256 MB, **passed**")
}
