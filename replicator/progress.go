package replicator

import (
	"slices"

	"waxwingseam.example/waxwingseam"
)

// progress is a leader's view of one other member.
type progress struct {
	// match is the last entry known to be durable there.
	match waxwingseam.LogIndex
	// next is the first entry to send.
	next waxwingseam.LogIndex
	// probing is set until the member has accepted an append; entries then go
	// only with heartbeats.
	probing bool
	// snapshot counts down the ticks until a snapshot is sent again; 0 when
	// none is under way.
	snapshot int
	// silent counts the ticks since the last answer.
	silent int
	// round is the last round of heartbeats that was answered.
	round uint64
}

func newProgress(last waxwingseam.LogIndex) *progress {
	return &progress{
		next:    last + 1,
		probing: true,
	}
}

// tick counts one tick; a member that has not answered for a limit of ticks
// must be probed again.
func (p *progress) tick(limit int) {
	p.silent++
	p.snapshot = max(p.snapshot-1, 0)
	if p.silent > limit && !p.probing {
		p.next = p.match + 1
		p.probing = true
	}
}

// accept takes in that entries up to match are durable.
func (p *progress) accept(match waxwingseam.LogIndex) {
	p.match = max(p.match, match)
	p.next = max(p.next, p.match+1)
	p.probing = false
	p.snapshot = 0
}

// reject steps back to where the logs may be equal.
func (p *progress) reject(hint waxwingseam.LogIndex) {
	p.next = max(min(p.next-1, hint+1), p.match+1)
	p.probing = true
}

// quorumMatch returns the last entry that a majority of the voters holds.
func quorumMatch(matches []waxwingseam.LogIndex) waxwingseam.LogIndex {
	if len(matches) == 0 {
		return 0
	}
	slices.Sort(matches)
	return matches[(len(matches)-1)/2]
}
