// Package checker parses sets of objects from INI files and validates each set
// as a whole. It reports all findings of a set at once, with file and line.
package checker

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"

	"waxwingseam.example/waxwingseam"
)

// objectKinds returns the kinds of objects in canonical order.
func objectKinds() []objectKind {
	return []objectKind{
		service,
		backendServer,
		retryLimit,
		waitLimit,
		callerLimit,
		requestClass,
		clientAccount,
	}
}

// rules returns the checks of a set, in the order of their findings on one line.
func rules() []rule {
	return []rule{
		selectors{},
		references{},
		sizes{},
		limits{},
		overlaps{},
		accountKeys{},
	}
}

// rule is a check of a whole set.
type rule interface {
	check(l *locatedSet) waxwingseam.Findings
}

// locatedSet is a set with the sections that define its objects.
type locatedSet struct {
	set      *waxwingseam.Set
	sections map[ID]*section
}

// section returns the section that defines an object, or nil.
func (l *locatedSet) section(kind waxwingseam.Kind, name string) *section {
	return l.sections[ID{Kind: kind, Name: name}]
}

// Parse parses the files as one set and validates it. The set is valid only if
// there are no findings; its revision is unset.
func Parse(files ...File) (*waxwingseam.Set, waxwingseam.Findings) {
	l := &locatedSet{set: &waxwingseam.Set{}, sections: map[ID]*section{}}
	var findings waxwingseam.Findings
	for _, file := range files {
		sections, found := readSections(file)
		findings = append(findings, found...)
		for i := range sections {
			findings = append(findings, l.add(&sections[i])...)
		}
	}
	for _, r := range rules() {
		findings = append(findings, r.check(l)...)
	}
	Normalize(l.set)
	sortFindings(findings, files)
	return l.set, findings
}

// sortFindings sorts findings by file, in the order given, and by line.
func sortFindings(findings waxwingseam.Findings, files []File) {
	order := map[string]int{}
	for i, file := range files {
		order[file.Name] = i
	}
	slices.SortStableFunc(findings, func(a, b waxwingseam.Finding) int {
		if byFile := cmp.Compare(order[a.File], order[b.File]); byFile != 0 {
			return byFile
		}
		return cmp.Compare(a.Line, b.Line)
	})
}

// add parses a section and adds its object to the set.
func (l *locatedSet) add(s *section) waxwingseam.Findings {
	id := ID{Kind: s.kind, Name: s.name}
	if first := l.sections[id]; first != nil {
		return waxwingseam.Findings{s.finding(fmt.Sprintf("is defined before at %s:%d", first.file, first.Line))}
	}
	k := findKind(s.kind)
	if k == nil {
		return waxwingseam.Findings{s.finding("has a kind that is not known")}
	}
	l.sections[id] = s
	return k.parse(s, l.set)
}

func findKind(kind waxwingseam.Kind) objectKind {
	for _, k := range objectKinds() {
		if k.kind() == kind {
			return k
		}
	}
	return nil
}

// Normalize sorts the objects of a set into canonical order.
func Normalize(set *waxwingseam.Set) {
	for _, k := range objectKinds() {
		k.normalize(set)
	}
}

// Format returns a set's canonical form: an INI file with its objects ordered
// by kind and name, without keys that have their default value.
func Format(set *waxwingseam.Set) []byte {
	var b bytes.Buffer
	for i, o := range Objects(set) {
		if i > 0 {
			b.WriteByte('\n')
		}
		fmt.Fprintf(&b, "[%s]\n", o.ID())
		for _, v := range o.Values {
			fmt.Fprintf(&b, "%s = %s\n", v.Key, v.Text)
		}
	}
	return b.Bytes()
}

// Digest returns the sum of the xxhash digests of a set's objects. A sum can be
// updated for a change without hashing the whole set. It is the same for a set and for
// the set WithoutKeys.
func Digest(set *waxwingseam.Set) uint64 {
	var sum uint64
	for _, o := range Objects(WithoutKeys(set)) {
		sum += o.digest()
	}
	return sum
}

// WithoutKeys returns a set with the digests of keys in place of the keys.
func WithoutKeys(set *waxwingseam.Set) *waxwingseam.Set {
	if !hasKeys(set) {
		return set
	}
	out := Clone(set)
	for i, a := range out.ClientAccounts {
		out.ClientAccounts[i] = a.WithoutKeys()
	}
	return out
}

func hasKeys(set *waxwingseam.Set) bool {
	return slices.ContainsFunc(set.ClientAccounts, func(a waxwingseam.ClientAccount) bool { return len(a.Keys) > 0 })
}
