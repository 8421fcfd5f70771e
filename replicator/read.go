package replicator

import (
	"waxwingseam.example/waxwingseam"
)

// pendingRead is a read request that waits until a quorum has answered a round
// of heartbeats sent after the request was made.
type pendingRead struct {
	id    waxwingseam.RequestID
	round uint64
}

// startRead starts a round of heartbeats for a read request, which is answered
// once a quorum has answered the round. Only a leader accepts the request.
func (r *replicator) startRead(e waxwingseam.ReadAsked) {
	if r.role != waxwingseam.RoleLeader {
		r.refuse(e.ID, r.notLeaderReason())
		return
	}
	r.sendHeartbeats()
	r.pendingReads = append(r.pendingReads, pendingRead{id: e.ID, round: r.round})
	r.answerConfirmedReads()
}

// answerConfirmedReads answers the reads whose rounds are confirmed. The commit
// index of a new leader may be out of date until an entry of its own term is
// committed.
func (r *replicator) answerConfirmedReads() {
	if len(r.pendingReads) == 0 {
		return
	}
	if term, ok := r.log.term(r.commit); !ok || term != r.state.Term {
		return
	}
	confirmed := r.confirmedRound()
	for len(r.pendingReads) > 0 && r.pendingReads[0].round <= confirmed {
		r.emit(waxwingseam.AnswerRequest{ID: r.pendingReads[0].id, Index: r.commit})
		r.pendingReads = r.pendingReads[1:]
	}
}

// confirmedRound returns the latest round that a quorum has answered.
func (r *replicator) confirmedRound() uint64 {
	return uint64(r.highest(func(id waxwingseam.StorageID) waxwingseam.LogIndex {
		if id == r.self {
			return waxwingseam.LogIndex(r.round)
		}
		return waxwingseam.LogIndex(r.progress[id].confirmedRound)
	}))
}
