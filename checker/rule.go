package checker

import (
	"fmt"
	"strings"

	"waxwingseam.example/waxwingseam"
)

// selectors reports request classes without the keys that select their calls or name
// their services, classes with both service and targets, and services without slots.
// Slots are optional if a class selects calls by host, because servers may then
// report their own.
type selectors struct{}

func (selectors) check(l *locatedSet) waxwingseam.Findings {
	var findings waxwingseam.Findings
	anyByHost := false
	for _, c := range l.set.RequestClasses {
		anyByHost = anyByHost || c.Host != ""
		findings = append(findings, checkSelector(l, c)...)
	}
	if anyByHost {
		return findings
	}
	for _, s := range l.set.Services {
		if s.Slots == 0 {
			findings = append(findings, requireKey(l, waxwingseam.KindService, string(s.Name), "slots")...)
		}
	}
	return findings
}

// checkSelector checks the keys that select a class's calls and name its services.
func checkSelector(l *locatedSet, c waxwingseam.RequestClass) waxwingseam.Findings {
	var findings waxwingseam.Findings
	name := string(c.Name)
	switch {
	case c.Service == "" && len(c.Targets) == 0:
		findings = append(findings, requireKey(l, waxwingseam.KindRequestClass, name, "service")...)
	case c.Service != "" && len(c.Targets) > 0:
		findings = append(findings, l.section(waxwingseam.KindRequestClass, name).keyFinding("targets", "stands beside service; one of them is enough"))
	}
	switch {
	case c.Host == "" && c.Path == "":
		findings = append(findings, requireKey(l, waxwingseam.KindRequestClass, name, "path")...)
	case c.Host != "" && c.Prefix == "":
		findings = append(findings, requireKey(l, waxwingseam.KindRequestClass, name, "prefix")...)
	}
	return findings
}

// requireKey returns a finding if a section lacks a required key. A key with an
// invalid value already has a finding.
func requireKey(l *locatedSet, kind waxwingseam.Kind, name, key string) waxwingseam.Findings {
	s := l.section(kind, name)
	if s.hasKey(key) {
		return nil
	}
	return waxwingseam.Findings{s.keyFinding(key, "is required")}
}

// references reports references to objects that the set does not contain.
type references struct{}

func (references) check(l *locatedSet) waxwingseam.Findings {
	var findings waxwingseam.Findings
	checkReference := func(kind waxwingseam.Kind, name, key string, to waxwingseam.Kind, target string) {
		if target != "" && l.section(to, target) == nil {
			findings = append(findings, l.section(kind, name).keyFinding(key, fmt.Sprintf("names %s %s, which is not in the set", to, target)))
		}
	}
	for _, b := range l.set.BackendServers {
		checkReference(waxwingseam.KindBackendServer, string(b.Name), "service", waxwingseam.KindService, string(b.Service))
	}
	for _, c := range l.set.RequestClasses {
		name := string(c.Name)
		checkReference(waxwingseam.KindRequestClass, name, "service", waxwingseam.KindService, string(c.Service))
		for _, v := range c.Targets {
			checkReference(waxwingseam.KindRequestClass, name, "targets", waxwingseam.KindService, string(v.Service))
		}
		checkReference(waxwingseam.KindRequestClass, name, "retry-limit", waxwingseam.KindRetryLimit, c.RetryLimit)
		checkReference(waxwingseam.KindRequestClass, name, "wait-limit", waxwingseam.KindWaitLimit, c.WaitLimit)
	}
	return findings
}

// sizes reports services and backend servers with fewer connections than slots.
type sizes struct{}

func (sizes) check(l *locatedSet) waxwingseam.Findings {
	var findings waxwingseam.Findings
	for _, s := range l.set.Services {
		if s.Connections > 0 && s.Connections < s.Slots {
			findings = append(findings, l.section(waxwingseam.KindService, string(s.Name)).keyFinding("connections", fmt.Sprintf("is %d, fewer than the %d slots", s.Connections, s.Slots)))
		}
	}
	for _, b := range l.set.BackendServers {
		service, _ := l.set.Service(b.Service)
		slots, connections := b.Sizes(service)
		if connections > 0 && connections < slots {
			findings = append(findings, l.section(waxwingseam.KindBackendServer, string(b.Name)).keyFinding("connections", fmt.Sprintf("comes to %d, fewer than the %d slots", connections, slots)))
		}
	}
	return findings
}

// limits reports limits that contradict the request classes that refer to them.
type limits struct{}

func (limits) check(l *locatedSet) waxwingseam.Findings {
	var findings waxwingseam.Findings
	for _, c := range l.set.RequestClasses {
		s := l.section(waxwingseam.KindRequestClass, string(c.Name))
		wait, ok := l.set.WaitLimit(c.WaitLimit)
		if ok && c.Deadline > 0 && wait.Wait >= c.Deadline {
			findings = append(findings, s.keyFinding("wait-limit", fmt.Sprintf("waits up to %v, not less than the deadline of %v", wait.Wait, c.Deadline)))
		}
		retry, ok := l.set.RetryLimit(c.RetryLimit)
		if !ok || retry.Allowance == 0 {
			continue
		}
		if c.Repeat == waxwingseam.RepeatNever && !retry.DidNotRunOnly {
			findings = append(findings, s.keyFinding("retry-limit", "allows retries that may run twice, but the class repeats never; set did-not-run-only in "+c.RetryLimit))
		}
		if c.Deadline > 0 && retry.Backoff >= c.Deadline {
			findings = append(findings, s.keyFinding("retry-limit", fmt.Sprintf("backs off %v, not less than the deadline of %v", retry.Backoff, c.Deadline)))
		}
	}
	return findings
}

// overlaps reports pairs of request classes that match the same call, where
// neither is more specific than the other.
type overlaps struct{}

func (overlaps) check(l *locatedSet) waxwingseam.Findings {
	var findings waxwingseam.Findings
	byService := map[waxwingseam.ServiceName][]waxwingseam.RequestClass{}
	prefixes := map[string]waxwingseam.RequestClass{}
	for _, c := range l.set.RequestClasses {
		if c.Host != "" {
			selector := c.Host + " " + c.Prefix
			if earlier, ok := prefixes[selector]; ok {
				findings = append(findings, l.section(waxwingseam.KindRequestClass, string(c.Name)).keyFinding("prefix", "matches the same calls as request-class "+string(earlier.Name)))
			}
			prefixes[selector] = c
			continue
		}
		for _, earlier := range byService[c.Service] {
			if conflict(earlier, c) {
				findings = append(findings, l.section(waxwingseam.KindRequestClass, string(c.Name)).keyFinding("path", "matches the same calls as request-class "+string(earlier.Name)))
			}
		}
		byService[c.Service] = append(byService[c.Service], c)
	}
	return findings
}

// relation is the relation between the sets of calls that two patterns match.
type relation uint8

const (
	same relation = iota
	narrower
	wider
	overlapping
	disjoint
)

// combine returns the relation of two patterns from those of two of their parts.
func (r relation) combine(o relation) relation {
	switch {
	case r == disjoint || o == disjoint:
		return disjoint
	case r == same:
		return o
	case o == same || r == o:
		return r
	}
	return overlapping
}

// conflict reports whether two classes match the same call and neither is more
// specific than the other.
func conflict(a, b waxwingseam.RequestClass) bool {
	r := methodRelation(a.Method, b.Method).combine(pathRelation(segments(a.Path), segments(b.Path)))
	return r == same || r == overlapping
}

func methodRelation(a, b string) relation {
	switch {
	case a == b:
		return same
	case a == "":
		return wider
	case b == "":
		return narrower
	}
	return disjoint
}

func segments(path string) []string {
	return strings.Split(strings.TrimPrefix(path, "/"), "/")
}

func pathRelation(a, b []string) relation {
	total := same
	for i := 0; ; i++ {
		switch {
		case i == len(a) && i == len(b):
			return total
		case i < len(a) && isRest(a[i]):
			return total.combine(restRelation(b[i:]))
		case i < len(b) && isRest(b[i]):
			return total.combine(restRelation(a[i:]).reverse())
		case i == len(a) || i == len(b):
			return disjoint
		}
		total = total.combine(segmentRelation(a[i], b[i]))
	}
}

// restRelation returns the relation of a final {name...} segment to the
// remaining segments of another pattern.
func restRelation(other []string) relation {
	if len(other) == 1 && isRest(other[0]) {
		return same
	}
	return wider
}

func (r relation) reverse() relation {
	switch r {
	case narrower:
		return wider
	case wider:
		return narrower
	}
	return r
}

func segmentRelation(a, b string) relation {
	switch {
	case isWildcard(a) && isWildcard(b) || a == b:
		return same
	case isWildcard(a):
		return wider
	case isWildcard(b):
		return narrower
	}
	return disjoint
}

func isWildcard(segment string) bool {
	return strings.HasPrefix(segment, "{")
}

func isRest(segment string) bool {
	return strings.HasSuffix(segment, "...}")
}
