package checker

import (
	"regexp"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
)

const (
	minDeadline = time.Millisecond
	maxDeadline = 10 * time.Minute
)

var (
	methods     = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
	pathPattern = regexp.MustCompile(`^(/[A-Za-z0-9._~-]+|/\{[a-z]+\})*(/|/\{[a-z]+\.\.\.\})?$`)
)

var requestClass = &kindOf[waxwingseam.RequestClass]{
	name: waxwingseam.KindRequestClass,
	fields: []field[waxwingseam.RequestClass]{
		required(text("service", nil, func(c *waxwingseam.RequestClass) *waxwingseam.ServiceName { return &c.Service })),
		text("method", checkMethod, func(c *waxwingseam.RequestClass) *string { return &c.Method }),
		required(text("path", checkPath, func(c *waxwingseam.RequestClass) *string { return &c.Path })),
		required(importance()),
		required(repeat()),
		required(duration("deadline", minDeadline, maxDeadline, func(c *waxwingseam.RequestClass) *time.Duration { return &c.Deadline })),
		text("retry-limit", nil, func(c *waxwingseam.RequestClass) *string { return &c.RetryLimit }),
		text("wait-limit", nil, func(c *waxwingseam.RequestClass) *string { return &c.WaitLimit }),
	},
	fresh: func(name string) waxwingseam.RequestClass {
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

func importance() field[waxwingseam.RequestClass] {
	return field[waxwingseam.RequestClass]{
		key: "importance",
		read: func(c *waxwingseam.RequestClass, text string) error {
			var n int
			whole := number("importance", 0, int(waxwingseam.MaxImportance), 0, func(*waxwingseam.RequestClass) *int { return &n })
			if err := whole.read(c, text); err != nil {
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
