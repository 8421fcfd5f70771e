package retrier

import "waxwingseam.example/waxwingseam"

// Splitter splits an allowance between an attempt and its sender.
type Splitter interface {
	// Split returns the part that goes along with the attempt.
	Split(in waxwingseam.Allowance) waxwingseam.Allowance
}

// Along sends the whole allowance along.
type Along struct{}

// Split implements Splitter.
func (Along) Split(in waxwingseam.Allowance) waxwingseam.Allowance {
	return in
}

// Half sends half of the allowance along, rounded up.
type Half struct{}

// Split implements Splitter.
func (Half) Split(in waxwingseam.Allowance) waxwingseam.Allowance {
	return in - in/2
}

// KeepOne keeps one retry at each hop and sends the rest along.
type KeepOne struct{}

// Split implements Splitter.
func (KeepOne) Split(in waxwingseam.Allowance) waxwingseam.Allowance {
	return in - min(in, 1)
}
