package checker

import (
	"strconv"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	maxAllowance     = 100
	maxBudgetPercent = 100
	maxBackoff       = time.Minute
	maxRedirects     = 100
)

var retryLimit = &typedKind[waxwingseam.RetryLimit]{
	name: waxwingseam.KindRetryLimit,
	fields: []field[waxwingseam.RetryLimit]{
		required(allowance("allowance", func(l *waxwingseam.RetryLimit) *waxwingseam.Allowance { return &l.Allowance })),
		allowance("call-allowance", func(l *waxwingseam.RetryLimit) *waxwingseam.Allowance { return &l.CallAllowance }),
		number("budget-percent", 0, maxBudgetPercent, 0, func(l *waxwingseam.RetryLimit) *int { return &l.BudgetPercent }),
		duration("backoff", 0, maxBackoff, func(l *waxwingseam.RetryLimit) *time.Duration { return &l.Backoff }),
		boolean("did-not-run-only", func(l *waxwingseam.RetryLimit) *bool { return &l.DidNotRunOnly }),
		boolean("failures", func(l *waxwingseam.RetryLimit) *bool { return &l.Failures }),
		number("redirects", 0, maxRedirects, 0, func(l *waxwingseam.RetryLimit) *int { return &l.Redirects }),
	},
	newObject: func(name string) waxwingseam.RetryLimit { return waxwingseam.RetryLimit{Name: name} },
	nameOf:    func(l waxwingseam.RetryLimit) string { return l.Name },
	list:      func(set *waxwingseam.Set) *[]waxwingseam.RetryLimit { return &set.RetryLimits },
}

func allowance(key string, pointer func(l *waxwingseam.RetryLimit) *waxwingseam.Allowance) field[waxwingseam.RetryLimit] {
	return field[waxwingseam.RetryLimit]{
		key: key,
		read: func(l *waxwingseam.RetryLimit, text string) error {
			var n int
			parser := number(key, 0, maxAllowance, 0, func(*waxwingseam.RetryLimit) *int { return &n })
			if err := parser.read(l, text); err != nil {
				return err
			}
			*pointer(l) = waxwingseam.Allowance(n)
			return nil
		},
		write: func(l *waxwingseam.RetryLimit) string {
			if n := int(*pointer(l)); n > 0 || key == "allowance" {
				return strconv.Itoa(n)
			}
			return ""
		},
	}
}
