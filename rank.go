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

// Before reports whether r is served before o.
func (r Rank) Before(o Rank) bool {
	if r.Importance != o.Importance {
		return r.Importance > o.Importance
	}
	return r.Order < o.Order
}
