package checker

import (
	"regexp"
	"slices"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/scanner"
)

// File is one file of a set.
type File struct {
	// Name is the file name in findings.
	Name string `json:"name"`
	Data []byte `json:"data"`
}

// maxNameLength is the maximum length of an object's name in bytes.
const maxNameLength = 63

var titlePattern = regexp.MustCompile(`^([a-z][a-z-]*) ([a-z0-9][a-z0-9.-]*)$`)

// section is a section of a file, which defines one object.
type section struct {
	scanner.Section
	file string
	kind waxwingseam.Kind
	name string
}

// readSections returns the sections of a file with valid titles, and findings
// for invalid lines and titles.
func readSections(file File) ([]section, waxwingseam.Findings) {
	document, findings := scanner.Scan(file.Name, file.Data)
	sections := make([]section, 0, len(document.Sections))
	for _, v := range document.Sections {
		s := section{Section: v, file: file.Name}
		match := titlePattern.FindStringSubmatch(v.Title)
		switch {
		case v.Title == "":
			findings = append(findings, s.finding("has keys before the first section"))
		case match == nil || len(match[2]) > maxNameLength:
			findings = append(findings, s.finding("is not titled [kind name] in lower case, with a name of at most 63 characters"))
		default:
			s.kind, s.name = waxwingseam.Kind(match[1]), match[2]
			sections = append(sections, s)
		}
	}
	return sections, findings
}

// finding returns a finding at the section's first line.
func (s *section) finding(text string) waxwingseam.Finding {
	return waxwingseam.Finding{File: s.file, Line: s.Line, Section: s.Title, Text: text}
}

// keyFinding returns a finding at a key, or at the section if the key is not set.
func (s *section) keyFinding(key, text string) waxwingseam.Finding {
	f := s.finding(text)
	f.Key = key
	for _, k := range s.Keys {
		if k.Name == key {
			f.Line = k.Line
		}
	}
	return f
}

// hasKey reports whether the section contains a key, even with an invalid value.
func (s *section) hasKey(key string) bool {
	return slices.ContainsFunc(s.Keys, func(k scanner.Key) bool { return k.Name == key })
}
