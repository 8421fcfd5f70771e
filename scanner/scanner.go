// Package scanner parses INI files and records the line of each section and key.
package scanner

import (
	"bytes"
	"strings"

	"gopkg.in/ini.v1"

	"waxwingseam.example/waxwingseam"
)

// Key is one key of a section with its value and line.
type Key struct {
	Name  string
	Value string
	Line  int
}

// Section is one section with its keys in file order.
type Section struct {
	// Title is the text between the brackets.
	Title string
	Line  int
	Keys  []Key
}

// Document is one INI file.
type Document struct {
	File     string
	Sections []Section
}

// commentStarts are the characters that begin a comment.
const commentStarts = ";#"

// options preserves repeated sections and keys, so that they can be reported. A comment
// behind a value needs a blank before it, so that a value with one of commentStarts can be
// reported instead of being cut there.
var options = ini.LoadOptions{
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	SkipUnrecognizableLines:    true,
	PreserveEmptyShadowValues:  true,
	IgnoreContinuation:         true,
	SpaceBeforeInlineComment:   true,
}

// Scan parses one file. It reports lines that are not a section, key or comment. It
// also reports a file that the INI library cannot read, and sections or values that
// span lines; the document has no sections then. A title or value with a character that
// begins comments is reported as well: without that, a name would be taken for the one that
// ends before the character.
func Scan(file string, data []byte) (Document, waxwingseam.Findings) {
	positions, findings := locate(file, data)
	loaded, err := ini.LoadSources(options, data)
	if err != nil {
		findings = append(findings, waxwingseam.Finding{File: file, Line: 1, Text: "not readable as INI: " + err.Error()})
		return Document{File: file}, findings
	}
	if !aligned(positions, loaded.Sections()) {
		findings = append(findings, waxwingseam.Finding{File: file, Line: 1, Text: "sections or values that span lines are not supported"})
		return Document{File: file}, findings
	}
	document := Document{File: file}
	for n, s := range loaded.Sections() {
		document.Sections = append(document.Sections, positions[n].section(s))
	}
	return trimDefault(document), append(findings, document.commentFindings()...)
}

// commentFindings reports titles and values with a character that begins comments.
func (d Document) commentFindings() waxwingseam.Findings {
	var findings waxwingseam.Findings
	report := func(line int, what, text string) {
		if strings.ContainsAny(text, commentStarts) {
			findings = append(findings, waxwingseam.Finding{
				File: d.File, Line: line, Text: what + " contains ; or #, which begin comments",
			})
		}
	}
	for _, s := range d.Sections {
		report(s.Line, "the title", s.Title)
		for _, k := range s.Keys {
			report(k.Line, k.Name, k.Value)
		}
	}
	return findings
}

// withoutComment cuts a value before the first blank that a comment follows. The INI library
// finds only one of several comments.
func withoutComment(value string) string {
	for i := 1; i < len(value); i++ {
		if strings.IndexByte(commentStarts, value[i]) >= 0 && (value[i-1] == ' ' || value[i-1] == '\t') {
			return strings.TrimSpace(value[:i])
		}
	}
	return value
}

// aligned reports whether the INI library found the sections and keys that locate
// found.
func aligned(positions []position, sections []*ini.Section) bool {
	if len(positions) != len(sections) {
		return false
	}
	for n, s := range sections {
		if n > 0 && s.Name() != positions[n].title {
			return false
		}
		for _, k := range positions[n].keys {
			if !s.HasKey(k.Name) {
				return false
			}
		}
	}
	return true
}

// trimDefault removes the untitled first section if it has no keys.
func trimDefault(d Document) Document {
	if len(d.Sections) > 0 && len(d.Sections[0].Keys) == 0 && d.Sections[0].Title == "" {
		d.Sections = d.Sections[1:]
	}
	return d
}

// position is the title and line of one section, with its keys in file order
// but without their values.
type position struct {
	title string
	line  int
	keys  []Key
}

// section returns the section with the values that the INI library parsed.
func (p position) section(s *ini.Section) Section {
	seen := map[string]int{}
	section := Section{Title: p.title, Line: p.line}
	for _, k := range p.keys {
		values := valuesOf(s, k.Name)
		n := seen[k.Name]
		seen[k.Name]++
		if n < len(values) {
			k.Value = withoutComment(values[n])
		}
		section.Keys = append(section.Keys, k)
	}
	return section
}

func valuesOf(s *ini.Section, name string) []string {
	return s.Key(name).ValueWithShadows()
}

// locate returns the positions of the sections and their keys. The first position
// is that of the keys before the first section.
func locate(file string, data []byte) ([]position, waxwingseam.Findings) {
	var findings waxwingseam.Findings
	positions := []position{{line: 1}}
	for n, raw := range bytes.Split(data, []byte("\n")) {
		line := strings.TrimSpace(strings.TrimPrefix(string(raw), "\ufeff"))
		last := &positions[len(positions)-1]
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[' && strings.Contains(line, "]"):
			positions = append(positions, position{title: strings.TrimSpace(line[1:strings.LastIndex(line, "]")]), line: n + 1})
		case strings.ContainsAny(line, "=:"):
			name := strings.TrimSpace(line[:strings.IndexAny(line, "=:")])
			last.keys = append(last.keys, Key{Name: name, Line: n + 1})
		default:
			findings = append(findings, waxwingseam.Finding{File: file, Line: n + 1, Text: "neither a section, a key nor a comment"})
		}
	}
	return positions, findings
}
