// Package classifier finds the request class of a call and ranks roots in the
// order of service.
package classifier

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"

	"waxwingseam.example/waxwingseam"
)

// orderGranularity is the resolution of the start time in an order, in
// nanoseconds. The part below it comes from the root's identifier: it
// distinguishes roots that start at the same time, identically at every hop.
const orderGranularity = 1 << 16

type classifier struct {
	rules map[waxwingseam.ServiceName][]rule
	// classesByHost holds the classes of each host, the longest prefix first.
	classesByHost map[string][]waxwingseam.RequestClass
}

// rule is a request class with its compiled pattern.
type rule struct {
	class   waxwingseam.RequestClass
	pattern pattern
}

// New returns a classifier without classes; Adopt sets them.
func New() waxwingseam.Classifier {
	return &classifier{}
}

// Adopt implements waxwingseam.Classifier.
func (f *classifier) Adopt(s *waxwingseam.Set) {
	f.rules = make(map[waxwingseam.ServiceName][]rule, len(s.Services))
	f.classesByHost = map[string][]waxwingseam.RequestClass{}
	for _, v := range s.RequestClasses {
		if v.Host != "" {
			f.classesByHost[v.Host] = append(f.classesByHost[v.Host], v)
			continue
		}
		f.rules[v.Service] = append(f.rules[v.Service], rule{
			class:   v,
			pattern: compile(v.Path),
		})
	}
	for _, rules := range f.rules {
		slices.SortStableFunc(rules, compareRules)
	}
	for _, classes := range f.classesByHost {
		slices.SortStableFunc(classes, func(a, b waxwingseam.RequestClass) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
}

// compareRules orders the more specific rule first: by path, then by method.
func compareRules(a, b rule) int {
	if order := a.pattern.compare(b.pattern); order != 0 {
		return order
	}
	switch {
	case a.class.Method != "" && b.class.Method == "":
		return -1
	case a.class.Method == "" && b.class.Method != "":
		return 1
	}
	return 0
}

// Classify implements waxwingseam.Classifier. The most specific class wins: a
// literal segment takes precedence over {name}, {name} over {name...}, and a
// class with a method over one without. For a request by host, the longest
// prefix wins.
func (f *classifier) Classify(r waxwingseam.Request) (waxwingseam.RequestClass, bool) {
	if r.Service == "" {
		return f.classifyByHost(r)
	}
	for i := range f.rules[r.Service] {
		v := &f.rules[r.Service][i]
		if v.class.Method != "" && v.class.Method != r.Method {
			continue
		}
		if v.pattern.matches(r.Path) {
			return v.class, true
		}
	}
	return waxwingseam.RequestClass{}, false
}

func (f *classifier) classifyByHost(r waxwingseam.Request) (waxwingseam.RequestClass, bool) {
	for _, v := range f.classesByHost[r.Host] {
		if strings.HasPrefix(r.Path, v.Prefix) {
			return v, true
		}
	}
	return waxwingseam.RequestClass{}, false
}

// Rank implements waxwingseam.Classifier. Among roots of the same importance,
// the oldest is served first, so that further calls of an admitted root precede
// new roots at every hop.
func (f *classifier) Rank(c *waxwingseam.Context, class waxwingseam.RequestClass, root waxwingseam.RootID) waxwingseam.Rank {
	started := uint64(c.Now.UnixNano())
	tie := binary.BigEndian.Uint64(root[8:]) % orderGranularity
	return waxwingseam.Rank{
		Importance: class.Importance,
		Order:      started - started%orderGranularity + tie,
	}
}
