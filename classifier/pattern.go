package classifier

import (
	"cmp"
	"strings"
)

// segmentKind is the kind of a segment; a smaller kind is more specific.
type segmentKind uint8

const (
	literalSegment segmentKind = iota
	wildcardSegment
	endOfPattern
	restSegment
)

type segment struct {
	kind segmentKind
	text string
}

// pattern is a path pattern in which {name} matches one non-empty segment and a
// final {name...} matches the rest of the path, which may be empty.
type pattern []segment

// compile parses a path pattern; an empty one matches every path.
func compile(path string) pattern {
	if path == "" {
		return pattern{{kind: restSegment}}
	}
	var p pattern
	rest, more := strings.TrimPrefix(path, "/"), true
	for more {
		var text string
		text, rest, more = strings.Cut(rest, "/")
		p = append(p, newSegment(text))
	}
	return p
}

func newSegment(text string) segment {
	if !strings.HasPrefix(text, "{") || !strings.HasSuffix(text, "}") {
		return segment{kind: literalSegment, text: text}
	}
	if strings.HasSuffix(text, "...}") {
		return segment{kind: restSegment}
	}
	return segment{kind: wildcardSegment}
}

// matches reports whether the pattern matches a path, without its query.
func (p pattern) matches(path string) bool {
	path, _, _ = strings.Cut(path, "?")
	rest, more := strings.TrimPrefix(path, "/"), true
	for _, v := range p {
		if v.kind == restSegment {
			return true
		}
		if !more {
			return false
		}
		var text string
		text, rest, more = strings.Cut(rest, "/")
		if v.kind == literalSegment && v.text != text {
			return false
		}
		if v.kind == wildcardSegment && text == "" {
			return false
		}
	}
	return !more
}

// compare returns a negative number if p is more specific than o, a positive
// number if o is more specific, and 0 otherwise.
func (p pattern) compare(o pattern) int {
	for i := range max(len(p), len(o)) {
		if order := cmp.Compare(p.kindAt(i), o.kindAt(i)); order != 0 {
			return order
		}
	}
	return 0
}

func (p pattern) kindAt(i int) segmentKind {
	if i < len(p) {
		return p[i].kind
	}
	return endOfPattern
}
