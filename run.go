package waxwingseam

// Tracker keeps the live runs of a node's own backend server, and the
// allowance that each run's child calls may still draw.
type Tracker interface {
	// Begin records a run with the allowance that its call came with.
	Begin(call Call)
	// Parent returns the call of a live run.
	Parent(id CallID) (Call, bool)
	// Draw takes a child call's allowance out of its parent's.
	Draw(parent, child CallID) Allowance
	// Return gives the unspent part of a child's allowance back.
	Return(parent, child CallID, unspent Allowance)
	// Unspent returns what is left of a run's allowance now.
	Unspent(id CallID) Allowance
	// End forgets a run and returns its child calls still open.
	End(id CallID) []CallID
}
