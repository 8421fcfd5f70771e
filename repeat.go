package waxwingseam

import "github.com/gravitational/trace"

// Repeat says whether a call of a request class may run more than once.
type Repeat uint8

const (
	// RepeatNever marks calls that run at most once.
	RepeatNever Repeat = iota
	// RepeatIdempotent marks calls that may run again without harm.
	RepeatIdempotent
)

// ParseRepeat returns the repeat rule with a name.
func ParseRepeat(s string) (Repeat, error) {
	switch s {
	case "never":
		return RepeatNever, nil
	case "idempotent":
		return RepeatIdempotent, nil
	}
	return RepeatNever, trace.BadParameter("repeat is %q, want never or idempotent", s)
}

// String returns the rule's name.
func (r Repeat) String() string {
	if r == RepeatIdempotent {
		return "idempotent"
	}
	return "never"
}
