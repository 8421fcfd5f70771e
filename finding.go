package waxwingseam

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one problem in a file, with its position.
type Finding struct {
	File string `json:"file"`
	// Line counts from 1; it has no meaning if File is empty.
	Line    int    `json:"line"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	// Warning is set when an operator may accept the finding and submit the set
	// nevertheless.
	Warning bool   `json:"warning,omitempty"`
	Text    string `json:"text"`
}

// String returns the finding on one line, after its position if it has one.
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		fmt.Fprintf(&b, "%s:%d: ", f.File, f.Line)
	}
	if f.Warning {
		b.WriteString("warning: ")
	}
	if f.Section != "" {
		fmt.Fprintf(&b, "[%s] ", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, "%s: ", f.Key)
	}
	b.WriteString(f.Text)
	return b.String()
}

// Findings is an error that lists all findings.
type Findings []Finding

// Error returns the findings, one per line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, v := range f {
		lines[i] = v.String()
	}
	return strings.Join(lines, "\n")
}

// OrNil returns the findings as an error, or nil when there are none.
func (f Findings) OrNil() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Sort orders the findings by file and line.
func (f Findings) Sort() {
	slices.SortStableFunc(f, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
}
