package waxwingseam

// Importance orders request classes. Under overload, calls of smaller
// importance are refused first.
type Importance uint8

// MaxImportance is the largest importance that a request class may have.
const MaxImportance Importance = 9

// Rank is a call's place in the order of service, the same at every hop below
// its root.
type Rank struct {
	// Importance is the importance of the root's request class.
	Importance Importance `cbor:"1,keyasint"`
	// Order ranks roots of equal importance; a smaller one is served first.
	Order uint64 `cbor:"2,keyasint"`
}

// Fraction maps the order of a rank evenly to a number between 0 and 1, which is the same
// at every hop and does not depend on when the root started.
func (r Rank) Fraction() float64 {
	const (
		multiplier = 0x9e3779b97f4a7c15
		bits       = 53
	)
	mixed := r.Order * multiplier
	mixed = (mixed ^ mixed>>29) * multiplier
	return float64(mixed>>(64-bits)) / (1 << bits)
}

// Before reports whether r is served before o.
func (r Rank) Before(o Rank) bool {
	if r.Importance != o.Importance {
		return r.Importance > o.Importance
	}
	return r.Order < o.Order
}
