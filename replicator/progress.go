package replicator

import (
	"waxwingseam.example/waxwingseam"
)

// progress is the leader's record of the log of one other member.
type progress struct {
	// match is the index of the last entry known to be durable at the member.
	match waxwingseam.LogIndex
	// next is the index of the next entry to send.
	next waxwingseam.LogIndex
	// probing is set while it is unknown where the member's log matches the
	// leader's: at first, after a rejection and after a silence. Appends then
	// carry no entries.
	probing bool
	// snapshotTicks counts down the ticks until a snapshot may be sent again; 0
	// when none is being sent.
	snapshotTicks int
	// silentTicks counts the ticks since the member's last reply or, without
	// one, since the leader began to send to it.
	silentTicks int
	// mismatched is set while the process at the member's address has another
	// storage, until the member replies.
	mismatched bool
	// confirmedRound is the latest round of heartbeats that the member
	// answered.
	confirmedRound uint64
}

func newProgress(last waxwingseam.LogIndex) *progress {
	return &progress{
		next:    last + 1,
		probing: true,
	}
}

// tick advances the counters by one tick. A member that has not replied for
// more than electionTicks is probed again.
func (p *progress) tick(electionTicks int) {
	p.silentTicks++
	p.snapshotTicks = max(p.snapshotTicks-1, 0)
	if p.silentTicks > electionTicks && !p.probing {
		p.next = p.match + 1
		p.probing = true
	}
}

// isSilent reports whether the member has not replied for more than electionTicks, or its
// storage is not at its address any more.
func (p *progress) isSilent(electionTicks int) bool {
	return p.mismatched || p.silentTicks > electionTicks
}

// accept records that the member's entries up to match are durable.
func (p *progress) accept(match waxwingseam.LogIndex) {
	p.match = max(p.match, match)
	p.next = max(p.next, p.match+1)
	p.probing = false
	p.snapshotTicks = 0
}

// reject moves next back to where the logs may match, and probes from there.
func (p *progress) reject(hint waxwingseam.LogIndex) {
	p.next = max(min(p.next-1, hint+1), p.match+1)
	p.probing = true
}
