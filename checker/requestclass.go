package checker

import (
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
)

const (
	minDeadline = time.Millisecond
	maxDeadline = 10 * time.Minute
	// maxTargetWeight bounds a target's weight to keep sums of weights small.
	maxTargetWeight = 1_000_000
)

var (
	methods     = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
	pathPattern = regexp.MustCompile(`^(/[A-Za-z0-9._~-]+|/\{[a-z]+\})*(/|/\{[a-z]+\.\.\.\})?$`)
)

var requestClass = &typedKind[waxwingseam.RequestClass]{
	name: waxwingseam.KindRequestClass,
	fields: []field[waxwingseam.RequestClass]{
		text("service", nil, func(c *waxwingseam.RequestClass) *waxwingseam.ServiceName { return &c.Service }),
		targets(),
		text("host", nil, func(c *waxwingseam.RequestClass) *string { return &c.Host }),
		text("prefix", checkPrefix, func(c *waxwingseam.RequestClass) *string { return &c.Prefix }),
		text("method", checkMethod, func(c *waxwingseam.RequestClass) *string { return &c.Method }),
		text("path", checkPath, func(c *waxwingseam.RequestClass) *string { return &c.Path }),
		required(importance()),
		required(repeat()),
		required(duration("deadline", minDeadline, maxDeadline, func(c *waxwingseam.RequestClass) *time.Duration { return &c.Deadline })),
		duration("objective", 0, maxDeadline, func(c *waxwingseam.RequestClass) *time.Duration { return &c.Objective }),
		boolean("large-replies", func(c *waxwingseam.RequestClass) *bool { return &c.LargeReplies }),
		authentication(),
		text("retry-limit", nil, func(c *waxwingseam.RequestClass) *string { return &c.RetryLimit }),
		text("wait-limit", nil, func(c *waxwingseam.RequestClass) *string { return &c.WaitLimit }),
	},
	newObject: func(name string) waxwingseam.RequestClass {
		return waxwingseam.RequestClass{Name: waxwingseam.ClassName(name)}
	},
	nameOf: func(c waxwingseam.RequestClass) string { return string(c.Name) },
	list:   func(set *waxwingseam.Set) *[]waxwingseam.RequestClass { return &set.RequestClasses },
}

func checkMethod(s string) error {
	if !slices.Contains(methods, s) {
		return trace.BadParameter("is %q, want an HTTP method in capitals", s)
	}
	return nil
}

func checkPath(s string) error {
	if s == "" || !pathPattern.MatchString(s) {
		return trace.BadParameter("is %q, want segments such as /lots/{lot} or /files/{rest...}", s)
	}
	return nil
}

func checkPrefix(s string) error {
	if !strings.HasPrefix(s, "/") {
		return trace.BadParameter("is %q, want a path", s)
	}
	return nil
}

// targets returns a field for services with weights, such as
// "desk:90, desk-next:10".
func targets() field[waxwingseam.RequestClass] {
	return field[waxwingseam.RequestClass]{
		key: "targets",
		read: func(c *waxwingseam.RequestClass, text string) error {
			for part := range strings.SplitSeq(text, ",") {
				name, weight, ok := strings.Cut(strings.TrimSpace(part), ":")
				n, err := strconv.Atoi(weight)
				if !ok || err != nil || n < 0 || n > maxTargetWeight {
					return trace.BadParameter("has %q, want SERVICE:WEIGHT with a weight of 0 to %d", part, maxTargetWeight)
				}
				c.Targets = append(c.Targets, waxwingseam.WeightedTarget{Service: waxwingseam.ServiceName(name), Weight: n})
			}
			return nil
		},
		write: func(c *waxwingseam.RequestClass) string {
			parts := make([]string, len(c.Targets))
			for i, v := range c.Targets {
				parts[i] = string(v.Service) + ":" + strconv.Itoa(v.Weight)
			}
			return strings.Join(parts, ", ")
		},
	}
}

func importance() field[waxwingseam.RequestClass] {
	return field[waxwingseam.RequestClass]{
		key: "importance",
		read: func(c *waxwingseam.RequestClass, text string) error {
			var n int
			parser := number("importance", 0, int(waxwingseam.MaxImportance), 0, func(*waxwingseam.RequestClass) *int { return &n })
			if err := parser.read(c, text); err != nil {
				return err
			}
			c.Importance = waxwingseam.Importance(n)
			return nil
		},
		write: func(c *waxwingseam.RequestClass) string {
			return strconv.Itoa(int(c.Importance))
		},
	}
}

func repeat() field[waxwingseam.RequestClass] {
	return field[waxwingseam.RequestClass]{
		key: "repeat",
		read: func(c *waxwingseam.RequestClass, text string) (err error) {
			c.Repeat, err = waxwingseam.ParseRepeat(text)
			return err
		},
		write: func(c *waxwingseam.RequestClass) string {
			return c.Repeat.String()
		},
	}
}

const (
	authenticationRequired = "required"
	authenticationExempt   = "exempt"
)

// authentication returns a field for whether calls need the key of a client account.
func authentication() field[waxwingseam.RequestClass] {
	return field[waxwingseam.RequestClass]{
		key: "authentication",
		read: func(c *waxwingseam.RequestClass, text string) error {
			if text != authenticationRequired && text != authenticationExempt {
				return trace.BadParameter("is %q, want %s or %s", text, authenticationRequired, authenticationExempt)
			}
			c.Unauthenticated, c.StatesAuthentication = text == authenticationExempt, true
			return nil
		},
		write: func(c *waxwingseam.RequestClass) string {
			switch {
			case c.Unauthenticated:
				return authenticationExempt
			case c.StatesAuthentication:
				return authenticationRequired
			}
			return ""
		},
	}
}
