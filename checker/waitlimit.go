package checker

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	maxWait    = time.Minute
	maxWaiting = 100_000
)

var waitLimit = &typedKind[waxwingseam.WaitLimit]{
	name: waxwingseam.KindWaitLimit,
	fields: []field[waxwingseam.WaitLimit]{
		required(duration("wait", time.Millisecond, maxWait, func(l *waxwingseam.WaitLimit) *time.Duration { return &l.Wait })),
		required(number("waiting", 1, maxWaiting, 0, func(l *waxwingseam.WaitLimit) *int { return &l.Waiting })),
	},
	newObject: func(name string) waxwingseam.WaitLimit { return waxwingseam.WaitLimit{Name: name} },
	nameOf:    func(l waxwingseam.WaitLimit) string { return l.Name },
	list:      func(set *waxwingseam.Set) *[]waxwingseam.WaitLimit { return &set.WaitLimits },
}
