package classifier

import (
	"cmp"
	"strings"
)

// segmentKind orders the kinds of segments by how specific they are.
type segmentKind uint8

const (
	literalSegment segmentKind = iota
	oneSegment
	endOfPattern
	restSegment
)

type segment struct {
	kind segmentKind
	text string
}

// pattern is a path pattern in which {name} matches one segment and a last
// {name...} matches the rest, also an empty one.
type pattern []segment

// compile reads a pattern; an empty one matches every path.
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
	return segment{kind: oneSegment}
}

// matches reports whether the pattern covers a path; a query is ignored.
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
		if v.kind == oneSegment && text == "" {
			return false
		}
	}
	return !more
}

// compare returns a negative number when p is more specific than o.
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
