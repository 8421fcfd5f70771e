// Package scanner reads INI files and keeps the place of each section and key.
package scanner

import (
	"bytes"
	"strings"

	"gopkg.in/ini.v1"

	"waxwingseam.example/waxwingseam"
)

// Key is one key of a section with its value and place.
type Key struct {
	Name  string
	Value string
	Line  int
}

// Section is one section with its keys in the order of the file.
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

// options keep repeated sections and keys apart, so that they can be reported.
var options = ini.LoadOptions{
	AllowNonUniqueSections:     true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	SkipUnrecognizableLines:    true,
	PreserveEmptyShadowValues:  true,
	IgnoreContinuation:         true,
}

// Scan reads one file. Lines that are no section, key or comment are findings.
func Scan(file string, data []byte) (Document, waxwingseam.Findings) {
	places, findings := locate(file, data)
	loaded, err := ini.LoadSources(options, data)
	if err != nil {
		findings = append(findings, waxwingseam.Finding{File: file, Line: 1, Text: "not readable as INI: " + err.Error()})
		return Document{File: file}, findings
	}
	if !aligned(places, loaded.Sections()) {
		findings = append(findings, waxwingseam.Finding{File: file, Line: 1, Text: "sections or values that span lines are not supported"})
		return Document{File: file}, findings
	}
	document := Document{File: file}
	for n, s := range loaded.Sections() {
		document.Sections = append(document.Sections, places[n].section(s))
	}
	return trimDefault(document), findings
}

// aligned reports whether the library saw the same sections and keys.
func aligned(places []place, sections []*ini.Section) bool {
	if len(places) != len(sections) {
		return false
	}
	for n, s := range sections {
		if n > 0 && s.Name() != places[n].title {
			return false
		}
		for _, k := range places[n].keys {
			if !s.HasKey(k.Name) {
				return false
			}
		}
	}
	return true
}

// trimDefault drops the section before the first bracket when it is empty.
func trimDefault(d Document) Document {
	if len(d.Sections) > 0 && len(d.Sections[0].Keys) == 0 && d.Sections[0].Title == "" {
		d.Sections = d.Sections[1:]
	}
	return d
}

// place holds the lines of one section and its keys, in the order of the file.
type place struct {
	title string
	line  int
	keys  []Key
}

// section joins the values that the library read to the places.
func (p place) section(s *ini.Section) Section {
	seen := map[string]int{}
	section := Section{Title: p.title, Line: p.line}
	for _, k := range p.keys {
		values := shadows(s, k.Name)
		n := seen[k.Name]
		seen[k.Name]++
		if n < len(values) {
			k.Value = values[n]
		}
		section.Keys = append(section.Keys, k)
	}
	return section
}

func shadows(s *ini.Section, name string) []string {
	return s.Key(name).ValueWithShadows()
}

// locate finds the lines of sections and keys. The first place stands for the
// keys before the first section.
func locate(file string, data []byte) ([]place, waxwingseam.Findings) {
	var findings waxwingseam.Findings
	places := []place{{line: 1}}
	for n, raw := range bytes.Split(data, []byte("\n")) {
		line := strings.TrimSpace(strings.TrimPrefix(string(raw), "\ufeff"))
		last := &places[len(places)-1]
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[' && strings.Contains(line, "]"):
			places = append(places, place{title: strings.TrimSpace(line[1:strings.LastIndex(line, "]")]), line: n + 1})
		case strings.ContainsAny(line, "=:"):
			name := strings.TrimSpace(line[:strings.IndexAny(line, "=:")])
			last.keys = append(last.keys, Key{Name: name, Line: n + 1})
		default:
			findings = append(findings, waxwingseam.Finding{File: file, Line: n + 1, Text: "neither a section, a key nor a comment"})
		}
	}
	return places, findings
}
