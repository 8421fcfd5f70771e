package retrier

import "waxwingseam.example/waxwingseam"

// Splitter splits an allowance between an attempt and its sender.
type Splitter interface {
	// Split returns the part that is sent with the attempt.
	Split(in waxwingseam.Allowance) waxwingseam.Allowance
}

// SendAll sends the whole allowance with the attempt.
type SendAll struct{}

// Split implements Splitter.
func (SendAll) Split(in waxwingseam.Allowance) waxwingseam.Allowance {
	return in
}

// SendHalf sends half of the allowance with the attempt, rounded up.
type SendHalf struct{}

// Split implements Splitter.
func (SendHalf) Split(in waxwingseam.Allowance) waxwingseam.Allowance {
	return in - in/2
}

// KeepOne keeps one retry at the sender and sends the rest with the attempt.
type KeepOne struct{}

// Split implements Splitter.
func (KeepOne) Split(in waxwingseam.Allowance) waxwingseam.Allowance {
	return in - min(in, 1)
}
