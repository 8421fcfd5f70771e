package waxwingseam

import "time"

// AccountUse says what became of a root of a client account.
type AccountUse string

const (
	// AccountRan means that the root ran or may have run.
	AccountRan AccountUse = "ran"
	// AccountRefused means that the root was refused for the limit of its account.
	AccountRefused AccountUse = "refused"
	// AccountNotRun means that the root did not run for another reason, and does not
	// count for the limit.
	AccountNotRun AccountUse = "not-run"
)

// AccountUse returns what became of a root of a client account.
func (r Reply) AccountUse() AccountUse {
	switch {
	case r.Result.Outcome != OutcomeDidNotRun:
		return AccountRan
	case r.Result.Reason == ReasonAccountLimit:
		return AccountRefused
	}
	return AccountNotRun
}

// AccountCount counts the answered roots of one client account, or of several together if
// it names none.
type AccountCount struct {
	Account AccountName `cbor:"1,keyasint,omitempty"`
	Ran     uint64      `cbor:"2,keyasint,omitempty"`
	Refused uint64      `cbor:"3,keyasint,omitempty"`
	NotRun  uint64      `cbor:"4,keyasint,omitempty"`
}

// Total returns the number of all roots.
func (c AccountCount) Total() uint64 {
	return c.Ran + c.Refused + c.NotRun
}

// Add adds the counts of another account.
func (c *AccountCount) Add(o AccountCount) {
	c.Ran += o.Ran
	c.Refused += o.Refused
	c.NotRun += o.NotRun
}

// AccountTally lists the roots of client accounts that one node has answered.
type AccountTally struct {
	// Over is the time in which they were answered.
	Over     time.Duration  `cbor:"1,keyasint"`
	Accounts []AccountCount `cbor:"2,keyasint,omitempty"`
}

// AccountUsage is the use of one client account over several nodes, or of several accounts
// together if it names none. Rates are in roots per second.
type AccountUsage struct {
	Account AccountName `cbor:"1,keyasint,omitempty" json:"account,omitempty"`
	Ran     float64     `cbor:"2,keyasint,omitempty" json:"ran"`
	Refused float64     `cbor:"3,keyasint,omitempty" json:"refused"`
	NotRun  float64     `cbor:"4,keyasint,omitempty" json:"not-run"`
	// Nodes is the number of nodes that have answered roots of the account.
	Nodes int `cbor:"5,keyasint,omitempty" json:"nodes"`
}

// Add adds the use over other nodes.
func (u *AccountUsage) Add(o AccountUsage) {
	u.Ran += o.Ran
	u.Refused += o.Refused
	u.NotRun += o.NotRun
	u.Nodes += o.Nodes
}
