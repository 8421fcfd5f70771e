package replicator

import (
	"waxwingseam.example/waxwingseam"
)

// read is a request that waits until a quorum has confirmed the leadership
// after it was made.
type read struct {
	id    waxwingseam.RequestID
	round uint64
}

// askRead starts a round of heartbeats for a read.
func (r *replicator) askRead(e waxwingseam.ReadAsked) {
	if r.role != waxwingseam.RoleLeader {
		r.refuse(e.ID, r.whyNotLeader())
		return
	}
	r.heartbeat()
	r.reads = append(r.reads, read{id: e.ID, round: r.round})
	r.releaseReads()
}

// releaseReads answers the reads that are confirmed. Until the leader has
// committed an entry of its own term, it does not know what is committed.
func (r *replicator) releaseReads() {
	if len(r.reads) == 0 {
		return
	}
	if term, ok := r.log.term(r.commit); !ok || term != r.state.Term {
		return
	}
	confirmed := r.confirmedRound()
	for len(r.reads) > 0 && r.reads[0].round <= confirmed {
		r.emit(waxwingseam.AnswerRequest{ID: r.reads[0].id, Index: r.commit})
		r.reads = r.reads[1:]
	}
}

// confirmedRound returns the last round that a majority has answered.
func (r *replicator) confirmedRound() uint64 {
	var rounds []waxwingseam.LogIndex
	for _, m := range r.members.latest().Members {
		switch {
		case !m.Voter:
		case m.Storage == r.self:
			rounds = append(rounds, waxwingseam.LogIndex(r.round))
		default:
			rounds = append(rounds, waxwingseam.LogIndex(r.progress[m.Storage].round))
		}
	}
	return uint64(quorumMatch(rounds))
}
