package limiter

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// fixed keeps the limit at the declared slots.
type fixed struct {
	slots int
	usual average
}

// NewFixed returns a limiter that keeps to the declared slots.
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
	return l.usual.value
}

// Observe implements waxwingseam.Limiter.
func (l *fixed) Observe(s waxwingseam.Sample) {
	if !s.Failed {
		l.usual.add(s.Elapsed)
	}
}
