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

var update = flag.Bool("update", false, "rewrite the golden files")

func readFile(t testing.TB, path string) File {
	data, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	return File{Name: filepath.Base(path), Data: data}
}

func checkGolden(t *testing.T, path string, got []byte) {
	if *update {
		qt.Assert(t, os.WriteFile(path, got, 0o600), qt.IsNil)
	}
	want, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(got), qt.Equals, string(want))
}

// TestFindingsGolden checks that each fault of a set is reported with the expected
// text and line.
func TestFindingsGolden(t *testing.T) {
	files, err := filepath.Glob("testdata/faulty/*.ini")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue)
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			_, findings := Parse(readFile(t, path))
			qt.Assert(t, len(findings) > 0, qt.IsTrue)
			checkGolden(t, strings.TrimSuffix(path, ".ini")+".golden", []byte(findings.Error()+"\n"))
		})
	}
}

// TestCanonicalGolden compares the canonical form of each valid set with its
// golden file, and checks that it parses to the same set.
func TestCanonicalGolden(t *testing.T) {
	files, err := filepath.Glob("../examples/*/objects.ini")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files), qt.Equals, 2)
	for _, path := range append(files, "testdata/good/defaults.ini", "testdata/accounts/accounts.ini") {
		t.Run(path, func(t *testing.T) {
			set, findings := Parse(readFile(t, path))
			qt.Assert(t, findings.OrNil(), qt.IsNil)
			form := Format(set)
			name := filepath.Base(filepath.Dir(path))
			checkGolden(t, "testdata/canonical/"+name+".golden", form)
			reparsed, findings := Parse(File{Name: "canonical.ini", Data: form})
			qt.Assert(t, findings.OrNil(), qt.IsNil)
			qt.Assert(t, reparsed, qt.DeepEquals, set)
		})
	}
}

// FuzzParse checks that no input makes Parse panic, and that parsing the
// canonical form of a valid set preserves that form.
func FuzzParse(f *testing.F) {
	for _, pattern := range []string{"testdata/faulty/*.ini", "testdata/good/*.ini", "testdata/accounts/*.ini", "../examples/*/objects.ini"} {
		files, err := filepath.Glob(pattern)
		qt.Assert(f, err, qt.IsNil)
		for _, path := range files {
			f.Add(readFile(f, path).Data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		set, findings := Parse(File{Name: "fuzz.ini", Data: data})
		if len(findings) > 0 {
			return
		}
		reparsed, findings := Parse(File{Name: "canonical.ini", Data: Format(set)})
		qt.Assert(t, findings.OrNil(), qt.IsNil)
		qt.Assert(t, Format(reparsed), qt.DeepEquals, Format(set))
	})
}

func parse(t *testing.T, text string) *waxwingseam.Set {
	set, findings := Parse(File{Name: "set.ini", Data: []byte(text)})
	qt.Assert(t, findings.OrNil(), qt.IsNil)
	return set
}

const (
	deskServiceText   = "[service desk]\nslots = 1\nconnections = 1\n"
	drainedServerText = "[backend-server desk-%d]\nservice = desk\ndrained = true\n"
)

// TestWarnings checks that a change has a warning if it removes an announced object
// or drains the last server of a service, and that other changes have none.
func TestWarnings(t *testing.T) {
	both := fmt.Sprintf(drainedServerText+drainedServerText, 1, 2)
	announced := []waxwingseam.Server{{Name: "desk-1", Service: "desk"}, {Name: "desk-2", Service: "desk"}}
	for _, v := range []struct{ name, before, after, want string }{
		{"unchanged", deskServiceText, deskServiceText, ""},
		{"one server drained", deskServiceText, deskServiceText + fmt.Sprintf(drainedServerText, 1), ""},
		{"all servers drained", deskServiceText, deskServiceText + both, "warning: [service desk] is left without a backend server that takes calls"},
		{"all servers drained before", deskServiceText + both, deskServiceText + both, ""},
		{"service removed", deskServiceText, "", "warning: [service desk] is removed while 2 backend servers announce it"},
		{"announced server removed", deskServiceText + fmt.Sprintf(drainedServerText, 1), deskServiceText, "warning: [backend-server desk-1] is removed while it is announced"},
		{"unannounced server removed", deskServiceText + fmt.Sprintf(drainedServerText, 3), deskServiceText, ""},
	} {
		t.Run(v.name, func(t *testing.T) {
			got := Warnings(parse(t, v.before), parse(t, v.after), announced)
			qt.Assert(t, got.Error(), qt.Equals, v.want)
		})
	}
	found := DrainWarnings(parse(t, deskServiceText), "desk-1", "desk", announced[:1])
	qt.Assert(t, found, qt.HasLen, 1)
	qt.Assert(t, found[0].Warning, qt.IsTrue)
}

// TestChangeRoundTrip checks that a change and its reverse reproduce the sets, and
// that the updated digest equals one computed from the whole set.
func TestChangeRoundTrip(t *testing.T) {
	before, after := parse(t, deskServiceText+fmt.Sprintf(drainedServerText, 1)), parse(t, string(readFile(t, "../examples/jnina/objects.ini").Data))
	change := ChangeOf(before, after)
	reverse := Reverse(change, before)
	qt.Assert(t, Format(change.Apply(before)), qt.DeepEquals, Format(after))
	qt.Assert(t, Format(reverse.Apply(after)), qt.DeepEquals, Format(before))
	qt.Assert(t, change.Digest(before, Digest(before)), qt.Equals, Digest(after))
	qt.Assert(t, len(Differences(before, after)), qt.Equals, len(change.IDs()))
}

// TestKeysAreNotShown checks that neither findings nor the set for nodes and readers
// contain a key, and that control and nodes compute equal digests over a change of keys.
func TestKeysAreNotShown(t *testing.T) {
	_, findings := Parse(readFile(t, "testdata/faulty/accounts.ini"))
	qt.Assert(t, strings.Contains(findings.Error(), "secret"), qt.IsFalse)

	full := parse(t, string(readFile(t, "testdata/accounts/accounts.ini").Data))
	without := WithoutKeys(full)
	qt.Assert(t, strings.Contains(string(Format(without)), "archive-key"), qt.IsFalse)
	qt.Assert(t, without.ClientAccounts[0].Keys, qt.HasLen, 0)
	qt.Assert(t, without.ClientAccounts[0].KeyDigests, qt.DeepEquals, []waxwingseam.KeyDigest{waxwingseam.DigestKey("archive-key")})
	qt.Assert(t, Digest(without), qt.Equals, Digest(full))
	_, findings = Parse(File{Name: "shown.ini", Data: Format(without)})
	qt.Assert(t, len(findings) > 0, qt.IsTrue)

	next := Clone(full)
	next.ClientAccounts[0].Keys = []string{"archive-key", "another-key"}
	change := ChangeOf(full, next)
	redacted := change.WithoutKeys()
	qt.Assert(t, change.IDs(), qt.HasLen, 1)
	qt.Assert(t, change.Digest(full, Digest(full)), qt.Equals, Digest(next))
	qt.Assert(t, redacted.Digest(without, Digest(without)), qt.Equals, Digest(next))
	qt.Assert(t, redacted.Apply(without), qt.DeepEquals, WithoutKeys(next))
	qt.Assert(t, Digest(next) == Digest(full), qt.IsFalse)
}
