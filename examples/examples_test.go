package examples_test

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam/checker"
	"waxwingseam.example/waxwingseam/loader"
)

// TestExamplesHaveNoFindings checks that the loader and the checker accept every
// example file, so that no example is outdated.
func TestExamplesHaveNoFindings(t *testing.T) {
	paths, err := filepath.Glob("*/*.ini")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(paths) > 10, qt.IsTrue)
	for _, path := range paths {
		if filepath.Base(path) == "objects.ini" {
			data, err := os.ReadFile(path)
			qt.Assert(t, err, qt.IsNil)
			_, findings := checker.Parse(checker.File{Name: path, Data: data})
			qt.Check(t, findings.OrNil(), qt.IsNil)
			continue
		}
		_, findings := loader.Load(path)
		qt.Check(t, findings.OrNil(), qt.IsNil)
	}
}
