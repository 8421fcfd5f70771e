package checker

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
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

// FuzzParse checks that any input is read or refused, and that what is read
// without findings comes back from its canonical form.
func FuzzParse(f *testing.F) {
	for _, pattern := range []string{"testdata/faulty/*.ini", "testdata/good/*.ini", "../examples/*/objects.ini"} {
		files, err := filepath.Glob(pattern)
		qt.Assert(f, err, qt.IsNil)
		for _, path := range files {
			f.Add(load(f, path).Data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		set, findings := Parse(File{Name: "fuzz.ini", Data: data})
		if len(findings) > 0 {
			return
		}
		again, findings := Parse(File{Name: "canonical.ini", Data: Format(set)})
		qt.Assert(t, findings.OrNil(), qt.IsNil)
		qt.Assert(t, Format(again), qt.DeepEquals, Format(set))
	})
}

func parse(t *testing.T, text string) *waxwingseam.Set {
	set, findings := Parse(File{Name: "set.ini", Data: []byte(text)})
	qt.Assert(t, findings.OrNil(), qt.IsNil)
	return set
}

const (
	deskText  = "[service desk]\nslots = 1\nconnections = 1\n"
	drainText = "[backend-server desk-%d]\nservice = desk\ndrained = true\n"
)

func TestWarnings(t *testing.T) {
	both := fmt.Sprintf(drainText+drainText, 1, 2)
	announced := []waxwingseam.Server{{Name: "desk-1", Service: "desk"}, {Name: "desk-2", Service: "desk"}}
	for _, v := range []struct{ name, before, after, want string }{
		{"nothing", deskText, deskText, ""},
		{"one drained", deskText, deskText + fmt.Sprintf(drainText, 1), ""},
		{"all drained", deskText, deskText + both, "warning: [service desk] is left without a backend server that takes calls"},
		{"were drained before", deskText + both, deskText + both, ""},
		{"service removed", deskText, "", "warning: [service desk] is removed while 2 backend servers announce it"},
		{"object removed", deskText + fmt.Sprintf(drainText, 1), deskText, "warning: [backend-server desk-1] is removed while it is announced"},
		{"object of none removed", deskText + fmt.Sprintf(drainText, 3), deskText, ""},
	} {
		t.Run(v.name, func(t *testing.T) {
			got := Warnings(parse(t, v.before), parse(t, v.after), announced)
			qt.Assert(t, got.Error(), qt.Equals, v.want)
		})
	}
	found := DrainWarnings(parse(t, deskText), "desk-1", "desk", announced[:1])
	qt.Assert(t, found, qt.HasLen, 1)
	qt.Assert(t, found[0].Warning, qt.IsTrue)
}

func TestChangeRoundTrip(t *testing.T) {
	before, after := parse(t, deskText+fmt.Sprintf(drainText, 1)), parse(t, string(load(t, "../examples/jnina/objects.ini").Data))
	there := ChangeOf(before, after)
	back := Reverse(there, before)
	qt.Assert(t, Format(there.Apply(before)), qt.DeepEquals, Format(after))
	qt.Assert(t, Format(back.Apply(after)), qt.DeepEquals, Format(before))
	qt.Assert(t, there.Digest(before, Digest(before)), qt.Equals, Digest(after))
	qt.Assert(t, len(Differences(before, after)), qt.Equals, len(there.IDs()))
}
