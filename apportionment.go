package waxwingseam

import (
	"math"
	"time"
)

// Permille is a share in thousandths.
type Permille uint16

// PermilleOf rounds a share, from 0 to 1, to thousandths.
func PermilleOf(share float64) Permille {
	return Permille(math.Round(wholeShare * share))
}

// Share returns the share as a number from 0 to 1.
func (p Permille) Share() float64 {
	return float64(p) / wholeShare
}

const wholeShare = 1000

// ShareUnknown stands for a share that an answer does not state.
const ShareUnknown Permille = math.MaxUint16

// Demand is one call as an apportioner sees it.
type Demand struct {
	Root       RootID
	Class      ClassName
	Importance Importance
	// Refused is the share of the roots of the call's root class that were refused
	// when this one was admitted. The call stands for the calls that these roots
	// would have made.
	Refused Permille
	// Delay is how long the call waited in front of the node's decisions.
	Delay time.Duration
	// Account is the client account of the root, and AccountWeight its weight; 0 if there
	// are no client accounts.
	Account       AccountName
	AccountWeight float64
	// Retried is set if the call has been offered to a server before. It is no further
	// demand of its account.
	Retried bool
}

// Occupancy is the use of one backend server at a moment.
type Occupancy struct {
	Running int
	// Waiting counts the waiting calls by importance.
	Waiting []int
	// Limited is set while the server names a rate limit.
	Limited bool
}

// Apportioner computes which share of the roots of each importance first nodes should
// refuse so that the calls of the others fit one backend server and its node.
type Apportioner interface {
	// Configure sets the number of slots.
	Configure(slots int)
	// Offer records a call that has arrived.
	Offer(now time.Time, d Demand)
	// Finish records for how long a run of a class held a slot.
	Finish(now time.Time, class ClassName, slotTime time.Duration)
	// Refused returns the share of the roots of an importance to refuse. It is
	// ShareUnknown while the server names a rate limit, which sends calls to other
	// servers.
	Refused(now time.Time, importance Importance, o Occupancy) Permille
	// RefusedAccount returns the share of the roots of an importance and a client account
	// to refuse, and what an answer says of other accounts. All accounts together are
	// refused the share that Refused returns.
	RefusedAccount(now time.Time, importance Importance, account AccountName, o Occupancy) (Permille, AccountShares)
}
