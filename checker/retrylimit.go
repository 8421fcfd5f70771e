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

var retryLimit = &kindOf[waxwingseam.RetryLimit]{
	name: waxwingseam.KindRetryLimit,
	fields: []field[waxwingseam.RetryLimit]{
		required(allowance()),
		number("budget-percent", 0, maxBudgetPercent, 0, func(l *waxwingseam.RetryLimit) *int { return &l.BudgetPercent }),
		duration("backoff", 0, maxBackoff, func(l *waxwingseam.RetryLimit) *time.Duration { return &l.Backoff }),
		boolean("did-not-run-only", func(l *waxwingseam.RetryLimit) *bool { return &l.DidNotRunOnly }),
		boolean("failures", func(l *waxwingseam.RetryLimit) *bool { return &l.Failures }),
		number("redirects", 0, maxRedirects, 0, func(l *waxwingseam.RetryLimit) *int { return &l.Redirects }),
	},
	fresh:  func(name string) waxwingseam.RetryLimit { return waxwingseam.RetryLimit{Name: name} },
	nameOf: func(l waxwingseam.RetryLimit) string { return l.Name },
	list:   func(set *waxwingseam.Set) *[]waxwingseam.RetryLimit { return &set.RetryLimits },
}

func allowance() field[waxwingseam.RetryLimit] {
	return field[waxwingseam.RetryLimit]{
		key: "allowance",
		read: func(l *waxwingseam.RetryLimit, text string) error {
			var n int
			whole := number("allowance", 0, maxAllowance, 0, func(*waxwingseam.RetryLimit) *int { return &n })
			if err := whole.read(l, text); err != nil {
				return err
			}
			l.Allowance = waxwingseam.Allowance(n)
			return nil
		},
		write: func(l *waxwingseam.RetryLimit) string {
			return strconv.Itoa(int(l.Allowance))
		},
	}
}
