package waxwingseam

// AccountTag identifies a client account in a few bytes, as a hash of its name. Two
// accounts of the same tag share their refusals: with 10,000 accounts, there is one such
// pair in every 86 sets.
type AccountTag uint32

const (
	// TagNone stands for calls without an account.
	TagNone AccountTag = iota
	// TagOthers stands for the accounts of which nothing else is known.
	TagOthers
	// TagAny stands for the account with the largest share.
	TagAny
	firstAccountTag
)

// Tag returns the tag of an account; TagNone for the empty name.
func (n AccountName) Tag() AccountTag {
	if n == "" {
		return TagNone
	}
	// FNV-1a.
	const offset, prime = 2166136261, 16777619
	tag := AccountTag(offset)
	for i := range len(n) {
		tag = (tag ^ AccountTag(n[i])) * prime
	}
	return max(tag, firstAccountTag)
}

// AccountShare is the share of the roots of one account that first nodes should refuse.
type AccountShare struct {
	Account AccountTag `cbor:"1,keyasint"`
	Refused Permille   `cbor:"2,keyasint"`
}

// StatedAccounts is how many accounts an answer names besides its own.
const StatedAccounts = 2

// AccountShares is what an answer says of the shares of other accounts than its own. The
// zero value says that none is refused.
type AccountShares struct {
	// Others is the share for accounts of which the answering node knows little.
	Others Permille `cbor:"1,keyasint,omitempty"`
	// Cut names accounts that are refused a share, in turns, or were until recently.
	// Entries without an account are unused.
	Cut [StatedAccounts]AccountShare `cbor:"2,keyasint,omitzero"`
}

// Largest returns the largest of the shares.
func (s *AccountShares) Largest() Permille {
	largest := s.Others
	for _, v := range s.Cut {
		largest = max(largest, v.Refused)
	}
	return largest
}
