package limiter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// fixed is a limiter whose limit is the declared slots.
type fixed struct {
	slots       int
	serviceTime average
}

// NewFixed returns a limiter whose limit is always the number of declared
// slots.
func NewFixed() waxwingseam.Limiter {
	return &fixed{slots: 1}
}

// Configure implements waxwingseam.Limiter.
func (l *fixed) Configure(slots int) {
	l.slots = max(slots, 1)
}

// Limit implements waxwingseam.Limiter.
func (l *fixed) Limit() int {
	return l.slots
}

// ServiceTime implements waxwingseam.Limiter.
func (l *fixed) ServiceTime() time.Duration {
	return l.serviceTime.value
}

// Observe implements waxwingseam.Limiter.
func (l *fixed) Observe(s waxwingseam.Sample) {
	if !s.Failed {
		l.serviceTime.add(s.Elapsed)
	}
}
