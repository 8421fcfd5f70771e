package estimator_test

import (
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam/estimator"
)

const (
	slopesFile   = "../docs/capacity/slopes.ini"
	capacityPage = "../docs/CAPACITY.md"
)

// TestPageContainsTable checks that docs/CAPACITY.md has the table of the
// current slopes.
func TestPageContainsTable(t *testing.T) {
	data, err := os.ReadFile(slopesFile)
	qt.Assert(t, err, qt.IsNil)
	slopes, err := estimator.ReadSlopes(slopesFile, data)
	qt.Assert(t, err, qt.IsNil)
	table := estimator.Markdown(estimator.Estimate(estimator.DefaultPlan(), slopes))
	qt.Assert(t, slopes.Missing(), qt.HasLen, 0)
	qt.Assert(t, slopes.Unused(), qt.HasLen, 0)
	text, err := os.ReadFile(capacityPage)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, strings.Contains(string(text), table), qt.IsTrue, qt.Commentf("replace the table in the page with the output of go run ./cmd/estimate"))
}

func TestReadSlopesFindings(t *testing.T) {
	_, err := estimator.ReadSlopes("s.ini", []byte("[slope a]\nvalue = x\ncommand = c\n[other]\n"))
	qt.Assert(t, err.Error(), qt.Equals, "s.ini:1: [slope a] page: is required\n"+
		"s.ini:2: [slope a] value: is not a number\n"+
		"s.ini:4: [other] unknown section; want [slope NAME]")
}

func TestMarkdownMarksExceededBounds(t *testing.T) {
	rows := []estimator.Row{{Role: estimator.RoleNode, Quantity: "memory", Value: 300, Bound: 256, Unit: "MB"}}
	qt.Assert(t, estimator.Markdown(rows), qt.Contains, "256 MB, **passed**")
}
