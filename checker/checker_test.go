package checker

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var update = flag.Bool("update", false, "write the golden files anew")

func load(t testing.TB, path string) File {
	data, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	return File{Name: filepath.Base(path), Data: data}
}

func golden(t *testing.T, path string, got []byte) {
	if *update {
		qt.Assert(t, os.WriteFile(path, got, 0o600), qt.IsNil)
	}
	want, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(got), qt.Equals, string(want))
}

// TestFindingsGolden checks that each faulty set gives all its findings.
func TestFindingsGolden(t *testing.T) {
	files, err := filepath.Glob("testdata/faulty/*.ini")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue)
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			_, findings := Parse(load(t, path))
			qt.Assert(t, len(findings) > 0, qt.IsTrue)
			golden(t, strings.TrimSuffix(path, ".ini")+".golden", []byte(findings.Error()+"\n"))
		})
	}
}

// TestCanonicalGolden checks the canonical form of good sets, and that it
// reads back as the same set.
func TestCanonicalGolden(t *testing.T) {
	files, err := filepath.Glob("../examples/*/objects.ini")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files), qt.Equals, 2)
	for _, path := range append(files, "testdata/good/defaults.ini") {
		t.Run(path, func(t *testing.T) {
			set, findings := Parse(load(t, path))
			qt.Assert(t, findings.OrNil(), qt.IsNil)
			form := Format(set)
			name := filepath.Base(filepath.Dir(path))
			golden(t, "testdata/canonical/"+name+".golden", form)
			again, findings := Parse(File{Name: "canonical.ini", Data: form})
			qt.Assert(t, findings.OrNil(), qt.IsNil)
			qt.Assert(t, again, qt.DeepEquals, set)
		})
	}
}
