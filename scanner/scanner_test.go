package scanner_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam/scanner"
)

const sample = `# limits
[service fees]
slots = 15

[service fees]
slots = 15
slots = 16 ; twice
loose words
`

func TestScanReportsLines(t *testing.T) {
	document, findings := scanner.Scan("set.ini", []byte(sample))
	qt.Assert(t, findings.Error(), qt.Equals, "set.ini:8: neither a section, a key nor a comment")
	qt.Assert(t, document.Sections, qt.DeepEquals, []scanner.Section{
		{Title: "service fees", Line: 2, Keys: []scanner.Key{{Name: "slots", Value: "15", Line: 3}}},
		{Title: "service fees", Line: 5, Keys: []scanner.Key{
			{Name: "slots", Value: "15", Line: 6},
			{Name: "slots", Value: "16", Line: 7},
		}},
	})
}

// FuzzScan checks that no input makes Scan panic or return a line number below 1.
func FuzzScan(f *testing.F) {
	for _, v := range []string{sample, "", "[", "[]\n=", "a=1\n[b]\n`", "[DEFAULT]\nk=v", "\"\"\"\nx"} {
		f.Add([]byte(v))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		document, findings := scanner.Scan("fuzz.ini", data)
		for _, s := range document.Sections {
			qt.Assert(t, s.Line > 0, qt.IsTrue)
		}
		for _, v := range findings {
			qt.Assert(t, v.Line > 0, qt.IsTrue)
		}
	})
}

func TestScanKeepsEmptyValuesOfRepeatedKeys(t *testing.T) {
	document, findings := scanner.Scan("set.ini", []byte("[a]\nk =\nk = 2\n"))
	qt.Assert(t, findings, qt.HasLen, 0)
	qt.Assert(t, document.Sections[0].Keys, qt.DeepEquals, []scanner.Key{
		{Name: "k", Value: "", Line: 2},
		{Name: "k", Value: "2", Line: 3},
	})
}

// TestNameIsCutAtCommentCharacter guards against a name that is taken for the one before a
// semicolon or a number sign in it. A comment behind a blank stays a comment.
func TestNameIsCutAtCommentCharacter(t *testing.T) {
	for text, want := range map[string]string{
		"[a]\nk = beta ; see #4\n":    "beta",
		"[a]\nk = beta\t# see; there": "beta",
		"[a]\nk = beta # see ; there": "beta",
		"[a]\nk = beta;gamma\n":       "",
		"[a]\nk = beta#gamma ; why\n": "",
		"[a]\nk = \"beta;gamma\"\n":   "",
		"[a;b]\nk = beta\n":           "",
	} {
		document, findings := scanner.Scan("set.ini", []byte(text))
		qt.Assert(t, len(findings) > 0, qt.Equals, want == "", qt.Commentf("%q", text))
		if want != "" {
			qt.Assert(t, document.Sections[0].Keys[0].Value, qt.Equals, want)
		}
	}
}
