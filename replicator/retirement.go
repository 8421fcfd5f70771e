package replicator

// survivesToleratedLosses reports whether committed entries survive the loss of
// the tolerated number of disks.
func (r *replicator) survivesToleratedLosses() bool {
	return r.config.ToleratedLosses == 0 || r.memberships.latest().Quorum() > r.config.ToleratedLosses
}

// hasSurplusVoter reports whether the tolerated disk losses require fewer voters.
func (r *replicator) hasSurplusVoter() bool {
	return r.config.ToleratedLosses > 0 && r.memberships.latest().Voters() > 2*r.config.ToleratedLosses+1
}

// removeSilentVoter removes one voter that has not replied for more than
// RemovalTicks, if the tolerated disk losses require fewer voters. A host that
// was replaced permanently would otherwise still count in the quorum. A voter
// that was only slow can join again.
func (r *replicator) removeSilentVoter() {
	membership := r.memberships.latest()
	if !r.hasSurplusVoter() {
		return
	}
	if !r.acceptsProposals() || r.changePending() {
		return
	}
	for _, m := range membership.Members {
		p := r.progress[m.Storage]
		if !m.Voter || p == nil || p.silentTicks <= r.config.RemovalTicks {
			continue
		}
		if next := membership.Without(m.Storage); r.hasResponsiveQuorum(next) {
			r.appendMembership(next)
			return
		}
	}
}
