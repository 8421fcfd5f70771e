package waxwingseam

import "time"

// SharedAllowance is an allowance that several calls may draw from.
type SharedAllowance struct {
	// Remaining is the part neither spent nor sent with an open attempt.
	Remaining Allowance
}

// Spend uses one retry and reports whether there was one.
func (p *SharedAllowance) Spend() bool {
	if p.Remaining == 0 {
		return false
	}
	p.Remaining--
	return true
}

// Tracker records the current runs of a node's own backend server, and the
// allowance that the child calls of each run share.
type Tracker interface {
	// Begin records a run with the allowance of its call.
	Begin(call Call)
	// ParentRun returns the run that an arriving call names as its parent; zero
	// for a root.
	ParentRun(e CallArrived) CallID
	// NoteRefusal records that a call made by a current run, or a call below it,
	// was refused.
	NoteRefusal(parent CallID)
	// RefusedBelow reports whether NoteRefusal was called for a current run.
	RefusedBelow(id CallID) bool
	// NoteRefused records the share of roots that first nodes should refuse for a
	// service that a current run has called.
	NoteRefused(now time.Time, parent CallID, service ServiceName, share Permille)
	// NoteAccountRefused records such a share for runs of the same place and another
	// client account, or for TagOthers or TagAny.
	NoteAccountRefused(now time.Time, parent CallID, service ServiceName, share AccountShare)
	// Refused returns the largest share that was recently recorded for runs of a place.
	// For an account without a recorded one, it is that of TagOthers.
	Refused(now time.Time, place Place) Permille
	// RefusedAccounts returns what an answer of a place says of other client accounts,
	// from the recorded shares.
	RefusedAccounts(now time.Time, place Place) AccountShares
	// AddCallsBelow adds calls that were made below a child call of a current run.
	AddCallsBelow(parent CallID, below uint32)
	// CallsBelow returns the number of calls that a current run has made and of
	// all calls below them; 0 if the run is unknown.
	CallsBelow(id CallID) uint32
	// RunningCall returns the call of a current run; false if the run is unknown.
	RunningCall(id CallID) (Call, bool)
	// OpenChild records a child call of a current run and returns the allowance
	// that all child calls of the run share; empty if the run is unknown.
	OpenChild(parent, child CallID) *SharedAllowance
	// CloseChild removes a child call that has been answered.
	CloseChild(parent, child CallID)
	// Unspent returns the allowance that a current run has not spent; 0 if the
	// run is unknown.
	Unspent(id CallID) Allowance
	// End removes a run and returns its child calls that are still open.
	End(id CallID) []CallID
}
