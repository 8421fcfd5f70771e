package waxwingseam

// SharedAllowance is an allowance that several calls may draw from.
type SharedAllowance struct {
	// Remaining is what is neither spent nor gone along with an open attempt.
	Remaining Allowance
}

// Spend takes one retry out of the pot; false when it is empty.
func (p *SharedAllowance) Spend() bool {
	if p.Remaining == 0 {
		return false
	}
	p.Remaining--
	return true
}

// Tracker keeps the live runs of a node's own backend server, and the
// allowance that each run's child calls may still draw.
type Tracker interface {
	// Begin records a run with the allowance that its call came with.
	Begin(call Call)
	// ParentRun returns the live run that an arriving call names as its parent;
	// zero for a root.
	ParentRun(e CallArrived) CallID
	// NoteRefusal notes that a call of a live run, or one below it, was refused.
	NoteRefusal(parent CallID)
	// RefusedBelow reports whether that was noted.
	RefusedBelow(id CallID) bool
	// AddCallsBelow adds calls that were made below a call of a live run.
	AddCallsBelow(parent CallID, below uint32)
	// CallsBelow counts the calls that a live run has made, and those below them.
	CallsBelow(id CallID) uint32
	// RunningCall returns the call of a live run.
	RunningCall(id CallID) (Call, bool)
	// OpenChild records a child call of a live run and returns the run's pot, which
	// all its child calls draw from.
	OpenChild(parent, child CallID) *SharedAllowance
	// CloseChild forgets a child call that has its answer.
	CloseChild(parent, child CallID)
	// Unspent returns what is left of a run's allowance now.
	Unspent(id CallID) Allowance
	// End forgets a run and returns its child calls still open.
	End(id CallID) []CallID
}
