package replicator

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// scriptedReplica is one replica that receives messages written by a test.
type scriptedReplica struct {
	waxwingseam.Replicator
}

// newScriptedReplica returns replica a in a cluster of the given voters and the
// learner z. Its log ends with an entry of term 2.
func newScriptedReplica(voters ...waxwingseam.StorageID) scriptedReplica {
	membership := waxwingseam.Membership{}.With(waxwingseam.Member{Replica: "z", Storage: "z"})
	for _, v := range voters {
		membership = membership.With(waxwingseam.Member{Replica: waxwingseam.ReplicaID(v), Storage: v, Voter: true})
	}
	return scriptedReplica{New(Config{
		Identity: waxwingseam.ReplicaIdentity{Cluster: "k", Replica: "a", Storage: "a"},
		Recovery: waxwingseam.Recovery{
			State: waxwingseam.ReplicaState{Term: 3},
			Entries: []waxwingseam.LogEntry{
				{Index: 1, Term: 1, Kind: waxwingseam.EntryMembership, Membership: &membership},
				{Index: 2, Term: 2, Command: []byte("old")},
			},
		},
	})}
}

// receive passes a message to the replica.
func (r scriptedReplica) receive(from waxwingseam.StorageID, term waxwingseam.Term, m waxwingseam.ReplicaMessage) []waxwingseam.Effect {
	m.From, m.To, m.Term = from, "a", term
	return r.Reduce(waxwingseam.ReplicaMessageArrived{Message: m})
}

// vote passes a granted vote in the election for term 4 to the replica.
func (r scriptedReplica) vote(from waxwingseam.StorageID, preVote bool) {
	reply := &waxwingseam.VoteReply{PreVote: preVote, Granted: true, Term: 4}
	r.receive(from, r.Status().Term, waxwingseam.ReplicaMessage{VoteReply: reply})
}

// followLeader passes an empty append request from the leader of term 3 to the
// replica.
func (r scriptedReplica) followLeader(leader waxwingseam.StorageID, commit waxwingseam.LogIndex) {
	r.receive(leader, 3, waxwingseam.ReplicaMessage{AppendRequest: &waxwingseam.AppendRequest{
		Previous: waxwingseam.LogPosition{Index: 2, Term: 2},
		Commit:   commit,
	}})
}

// persistAll reports to the replica that its state and log are durable.
func (r scriptedReplica) persistAll() {
	s := r.Replicator.(*replicator)
	r.Reduce(waxwingseam.ReplicaPersisted{State: s.state, Last: s.log.last().Index})
}

// runUntilCampaign passes ticks to the replica until it requests votes.
func (r scriptedReplica) runUntilCampaign() {
	for r.Status().Role == waxwingseam.RoleFollower {
		r.Reduce(waxwingseam.ReplicaTicked{})
	}
}

// elect makes the replica the leader of term 4.
func (r scriptedReplica) elect(t *testing.T) {
	t.Helper()
	r.runUntilCampaign()
	r.vote("b", true)
	r.persistAll()
	r.vote("b", false)
	qt.Assert(t, r.Status().Role, qt.Equals, waxwingseam.RoleLeader)
	qt.Assert(t, r.Status().Term, qt.Equals, waxwingseam.Term(4))
}

func (r scriptedReplica) acknowledge(from waxwingseam.StorageID, match waxwingseam.LogIndex) {
	r.receive(from, 4, waxwingseam.ReplicaMessage{AppendReply: &waxwingseam.AppendReply{Accepted: true, Match: match, Round: 1}})
}

// TestEarlierTermsCommitOnlyWithCurrentTerm checks that a leader commits an
// entry of an earlier term only together with an entry of its own term, and
// accepts no membership change before: such an entry may still be overwritten
// although a majority has it (figure 8 of the Raft paper).
func TestEarlierTermsCommitOnlyWithCurrentTerm(t *testing.T) {
	r := newScriptedReplica("a", "b", "c")
	r.followLeader("b", 1)
	r.elect(t)
	r.persistAll()
	r.acknowledge("b", 2)
	qt.Assert(t, r.Status().Commit, qt.Equals, waxwingseam.LogIndex(1))
	r.acknowledge("z", 3)
	qt.Assert(t, r.Status().Commit, qt.Equals, waxwingseam.LogIndex(1))
	refused := r.Reduce(waxwingseam.MembershipProposed{ID: 1, Change: waxwingseam.MembershipChange{
		Kind:   waxwingseam.ChangeRemove,
		Member: waxwingseam.Member{Storage: "c"},
	}})
	qt.Assert(t, refused[0], qt.Equals, waxwingseam.Effect(waxwingseam.RefuseRequest{ID: 1, Reason: waxwingseam.ReasonChangePending}))
	r.acknowledge("b", 3)
	qt.Assert(t, r.Status().Commit, qt.Equals, waxwingseam.LogIndex(3))
}

func TestVotesOfNonVotersAreIgnored(t *testing.T) {
	r := newScriptedReplica("a", "b", "c")
	r.runUntilCampaign()
	r.vote("z", true)
	r.vote("stranger", true)
	qt.Assert(t, r.Status().Role, qt.Equals, waxwingseam.RolePreCandidate)
	r.vote("b", true)
	r.vote("z", false)
	r.vote("stranger", false)
	r.persistAll()
	qt.Assert(t, r.Status().Role, qt.Equals, waxwingseam.RoleCandidate)
}

// TestOwnVoteCountsOnceDurable checks that a candidate does not count its own
// vote, nor a leader its own entries, before they are durable. A sole voter
// needs no other votes.
func TestOwnVoteCountsOnceDurable(t *testing.T) {
	r := newScriptedReplica("a")
	r.runUntilCampaign()
	qt.Assert(t, r.Status().Role, qt.Equals, waxwingseam.RoleCandidate)
	r.persistAll()
	qt.Assert(t, r.Status().Role, qt.Equals, waxwingseam.RoleLeader)
	qt.Assert(t, r.Status().Commit, qt.Equals, waxwingseam.LogIndex(0))
	r.persistAll()
	qt.Assert(t, r.Status().Commit, qt.Equals, waxwingseam.LogIndex(3))
}

func TestLeaderLeaseBlocksVotes(t *testing.T) {
	for _, v := range []struct {
		name    string
		request waxwingseam.VoteRequest
		term    waxwingseam.Term
		want    waxwingseam.Term
	}{
		{"vote", waxwingseam.VoteRequest{}, 4, 3},
		{"pre-vote", waxwingseam.VoteRequest{PreVote: true}, 3, 3},
		{"vote requested by the leader", waxwingseam.VoteRequest{Handover: true}, 4, 4},
	} {
		t.Run(v.name, func(t *testing.T) {
			r := newScriptedReplica("a", "b", "c")
			r.followLeader("b", 2)
			v.request.Term = 4
			v.request.Last = waxwingseam.LogPosition{Index: 2, Term: 2}
			granted := false
			for _, e := range r.receive("c", v.term, waxwingseam.ReplicaMessage{VoteRequest: &v.request}) {
				m, ok := e.(waxwingseam.SendReplicaMessage)
				granted = granted || ok && m.Message.VoteReply.Granted
			}
			qt.Assert(t, granted, qt.Equals, v.want == 4)
			qt.Assert(t, r.Status().Term, qt.Equals, v.want)
		})
	}
}

func TestOlderSnapshotChangesNothing(t *testing.T) {
	r := newScriptedReplica("a", "b", "c")
	r.followLeader("b", 2)
	effects := r.Reduce(waxwingseam.SnapshotArrived{From: "b", Term: 3, Snapshot: waxwingseam.ReplicaSnapshot{
		LogPosition: waxwingseam.LogPosition{Index: 1, Term: 1},
	}})
	qt.Assert(t, effects, qt.HasLen, 1)
	qt.Assert(t, effects[0].(waxwingseam.SendReplicaMessage).Message.AppendReply.Match, qt.Equals, waxwingseam.LogIndex(2))
	qt.Assert(t, r.Status().Last, qt.Equals, waxwingseam.LogIndex(2))
}

func TestMalformedEntriesAreIgnored(t *testing.T) {
	for _, entries := range [][]waxwingseam.LogEntry{
		{{Index: 4, Term: 3}},
		{{Index: 3, Term: 3}, {Index: 5, Term: 3}},
		{{Index: 3, Term: 1}},
		{{Index: 3, Term: 3, Kind: waxwingseam.EntryMembership}},
	} {
		r := newScriptedReplica("a", "b", "c")
		effects := r.receive("b", 3, waxwingseam.ReplicaMessage{AppendRequest: &waxwingseam.AppendRequest{
			Previous: waxwingseam.LogPosition{Index: 2, Term: 2},
			Entries:  entries,
		}})
		qt.Assert(t, effects, qt.HasLen, 0)
		qt.Assert(t, r.Status().Last, qt.Equals, waxwingseam.LogIndex(2))
	}
}
