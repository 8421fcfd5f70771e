package checker

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	maxHeaderBytes   = 1 << 20
	maxBodyBytes     = 1 << 30
	maxCallerTimeout = time.Hour
)

var callerLimit = &typedKind[waxwingseam.CallerLimit]{
	name: waxwingseam.KindCallerLimit,
	fields: []field[waxwingseam.CallerLimit]{
		number("header-bytes", 0, maxHeaderBytes, 0, func(l *waxwingseam.CallerLimit) *int { return &l.HeaderBytes }),
		number("body-bytes", 0, maxBodyBytes, 0, func(l *waxwingseam.CallerLimit) *int { return &l.BodyBytes }),
		duration("header-timeout", 0, maxCallerTimeout, func(l *waxwingseam.CallerLimit) *time.Duration { return &l.HeaderTimeout }),
		duration("idle-timeout", 0, maxCallerTimeout, func(l *waxwingseam.CallerLimit) *time.Duration { return &l.IdleTimeout }),
	},
	newObject: func(name string) waxwingseam.CallerLimit { return waxwingseam.CallerLimit{Name: name} },
	nameOf:    func(l waxwingseam.CallerLimit) string { return l.Name },
	list:      func(set *waxwingseam.Set) *[]waxwingseam.CallerLimit { return &set.CallerLimits },
}
