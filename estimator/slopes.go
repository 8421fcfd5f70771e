package estimator

import (
	"strconv"
	"strings"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/scanner"
)

// Slopes are measured values by name; the unit is part of a name.
type Slopes struct {
	values map[string]float64
	used   map[string]bool
}

// ReadSlopes reads a file of slopes.
func ReadSlopes(file string, data []byte) (*Slopes, error) {
	document, findings := scanner.Scan(file, data)
	s := &Slopes{values: map[string]float64{}, used: map[string]bool{}}
	for _, section := range document.Sections {
		name, ok := strings.CutPrefix(section.Title, "slope ")
		if !ok {
			findings = append(findings, waxwingseam.Finding{File: file, Line: section.Line, Section: section.Title, Text: "unknown section, want slope"})
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
			findings = append(findings, waxwingseam.Finding{File: file, Line: k.Line, Section: section.Title, Key: k.Name, Text: "no number"})
		}
		s.values[name] = value
	}
	for _, key := range []string{"value", "command", "page"} {
		if !seen[key] {
			findings = append(findings, waxwingseam.Finding{File: file, Line: section.Line, Section: section.Title, Key: key, Text: "the key is missing"})
		}
	}
	return findings
}

// get returns a slope; one that is not in the file counts as 0 and shows in
// Missing.
func (s *Slopes) get(name string) float64 {
	s.used[name] = true
	return s.values[name]
}

// Missing lists the slopes that were asked for and are not in the file.
func (s *Slopes) Missing() []string {
	var missing []string
	for name := range s.used {
		if _, ok := s.values[name]; !ok {
			missing = append(missing, name)
		}
	}
	return missing
}

// Unused lists the slopes of the file that nothing asked for.
func (s *Slopes) Unused() []string {
	var unused []string
	for name := range s.values {
		if !s.used[name] {
			unused = append(unused, name)
		}
	}
	return unused
}
