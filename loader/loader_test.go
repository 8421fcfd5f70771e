package loader_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam/loader"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestParseGolden checks that each problem of a settings file is reported with the
// expected text and line.
func TestParseGolden(t *testing.T) {
	files, err := filepath.Glob("testdata/settings/*.ini")
	qt.Assert(t, err, qt.IsNil)
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			_, findings := loader.Load(path)
			got := findings.Error() + "\n"
			golden := strings.TrimSuffix(path, ".ini") + ".golden"
			if *update {
				qt.Assert(t, os.WriteFile(golden, []byte(got), 0o600), qt.IsNil)
			}
			want, err := os.ReadFile(golden)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.Equals, string(want))
		})
	}
}

// TestParseValues checks that a valid file has no findings and that its values reach
// the settings of each role.
func TestParseValues(t *testing.T) {
	settings, findings := loader.Load("testdata/settings/good.ini")
	qt.Assert(t, findings, qt.HasLen, 0)
	qt.Assert(t, settings.Process.ControlAddresses, qt.HasLen, 2)
	qt.Assert(t, settings.Node.BackendAddress.String(), qt.Equals, "127.0.0.1:9000")
	qt.Assert(t, string(settings.Control.Replica), qt.Equals, "r1")
}

func TestLoadMissingFile(t *testing.T) {
	_, findings := loader.Load("testdata/none.ini")
	qt.Assert(t, findings.Error(), qt.Equals, "testdata/none.ini:0: file cannot be read")
}

func FuzzParse(f *testing.F) {
	files, err := filepath.Glob("testdata/settings/*.ini")
	qt.Assert(f, err, qt.IsNil)
	for _, path := range files {
		data, err := os.ReadFile(path)
		qt.Assert(f, err, qt.IsNil)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		settings, findings := loader.Parse("fuzz.ini", data)
		if len(findings) == 0 {
			qt.Assert(t, settings.Node != nil || settings.Control != nil, qt.IsTrue)
		}
	})
}
