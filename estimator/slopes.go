package estimator

import (
	"strconv"
	"strings"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/scanner"
)

// Slopes holds measured costs by name, such as the bytes of a change. The name
// contains the unit.
type Slopes struct {
	values    map[string]float64
	requested map[string]bool
}

// ReadSlopes parses the contents of a slopes file.
func ReadSlopes(file string, data []byte) (*Slopes, error) {
	document, findings := scanner.Scan(file, data)
	s := &Slopes{values: map[string]float64{}, requested: map[string]bool{}}
	for _, section := range document.Sections {
		name, ok := strings.CutPrefix(section.Title, "slope ")
		if !ok {
			findings = append(findings, waxwingseam.Finding{File: file, Line: section.Line, Section: section.Title, Text: "unknown section; want [slope NAME]"})
			continue
		}
		findings = append(findings, s.read(file, name, section)...)
	}
	findings.Sort()
	return s, findings.OrNil()
}

func (s *Slopes) read(file, name string, section scanner.Section) waxwingseam.Findings {
	var findings waxwingseam.Findings
	seen := map[string]bool{}
	for _, k := range section.Keys {
		seen[k.Name] = k.Value != ""
		if k.Name != "value" {
			continue
		}
		value, err := strconv.ParseFloat(k.Value, 64)
		if err != nil {
			findings = append(findings, waxwingseam.Finding{File: file, Line: k.Line, Section: section.Title, Key: k.Name, Text: "is not a number"})
		}
		s.values[name] = value
	}
	for _, key := range []string{"value", "command", "page"} {
		if !seen[key] {
			findings = append(findings, waxwingseam.Finding{File: file, Line: section.Line, Section: section.Title, Key: key, Text: "is required"})
		}
	}
	return findings
}

// get returns a slope; one that is not in the file counts as 0 and is listed by
// Missing.
func (s *Slopes) get(name string) float64 {
	s.requested[name] = true
	return s.values[name]
}

// Missing returns the slopes that were requested but are not in the file.
func (s *Slopes) Missing() []string {
	var missing []string
	for name := range s.requested {
		if _, ok := s.values[name]; !ok {
			missing = append(missing, name)
		}
	}
	return missing
}

// Unused returns the slopes of the file that were not requested.
func (s *Slopes) Unused() []string {
	var unused []string
	for name := range s.values {
		if !s.requested[name] {
			unused = append(unused, name)
		}
	}
	return unused
}
