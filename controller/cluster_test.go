package controller

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/administrator"
	"waxwingseam.example/waxwingseam/historian"
	"waxwingseam.example/waxwingseam/operator"
)

// restart starts a stopped replica on its data folder and address.
func (r *replica) restart(t testing.TB) *replica {
	r.stop()
	config := r.config
	config.Server = listen(t, r.address)
	return start(t, config)
}

// submit submits until an answer is had, as an operator does whose answers
// get lost; the replicas are asked in turn.
func submit(t testing.TB, s administrator.Submission, replicas ...*replica) (historian.Answer, administrator.Reason) {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); {
		for _, r := range replicas {
			answer, err := r.client.Submit(t.Context(), s)
			var refusal *operator.Refusal
			if errors.As(err, &refusal) && refusal.Answer != nil {
				return *refusal.Answer, refusal.Reason
			}
			if err == nil {
				return answer, ""
			}
		}
	}
	t.Fatalf("submission %s never had an answer", s.ID)
	return historian.Answer{}, ""
}

// slots returns the Van Dalen set with other slots for the fees.
func slots(t testing.TB, n int) administrator.Submission {
	file := example(t, "van-dalen")
	file.Data = []byte(strings.Replace(string(file.Data), "slots = 15", fmt.Sprintf("slots = %d", n), 1))
	return submission(fmt.Sprintf("slots-%d", n), file)
}

// voters counts the voters that a replica knows of.
func voters(s waxwingseam.ReplicaStatus) int {
	n := 0
	for _, m := range s.Members {
		if m.Voter {
			n++
		}
	}
	return n
}

// configured counts the replicas that are to vote.
func configured(replicas []*replica) int {
	n := 0
	for _, r := range replicas {
		if r.config.Voter {
			n++
		}
	}
	return n
}

// leaderOf waits until all replicas that are to vote do, and returns which one
// leads.
func leaderOf(t testing.TB, replicas []*replica) int {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); {
		for i, r := range replicas {
			status, err := r.client.Status(t.Context())
			if err == nil && status.Current && status.Log.Role == waxwingseam.RoleLeader && voters(status.Log) == configured(replicas) {
				return i
			}
		}
	}
	t.Fatal("never had a leader")
	return 0
}

// TestOperatorsRace has two operators submit on one base at two replicas at
// once, round after round, before a node beside a replica that does not vote.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	replicas := clusterWith(t, 3, 1)
	leaderOf(t, replicas)
	n := join(t, "fees-1", replicas[3].address)
	for base := range waxwingseam.Revision(5) {
		var answers [2]historian.Answer
		var group sync.WaitGroup
		for i := range answers {
			s := slots(t, 20+10*int(base)+i)
			s.BaseRevision = base
			group.Go(func() { answers[i], _ = submit(t, s, replicas[i]) })
		}
		group.Wait()
		if answers[0].Verdict == historian.VerdictConflict {
			answers[0], answers[1] = answers[1], answers[0]
		}
		qt.Assert(t, answers[0], qt.DeepEquals, historian.Answer{Verdict: historian.VerdictAccepted, Revision: base + 1})
		qt.Assert(t, answers[1].Verdict, qt.Equals, historian.VerdictConflict)
		qt.Assert(t, answers[1].Winner.Revision, qt.Equals, base+1)
		n.news.await(t, "the winner in force", func() bool { return n.revision() == base+1 })
	}
}

// TestResendDuringLeaderChange stops the leader while a submission is under
// way, resends it elsewhere, and again once all replicas were restarted.
func TestResendDuringLeaderChange(t *testing.T) {
	t.Parallel()
	replicas := cluster(t, 3)
	leader := leaderOf(t, replicas)
	n := join(t, "fees-1", replicas[0].address, replicas[1].address, replicas[2].address)
	others := append(append([]*replica{}, replicas[:leader]...), replicas[leader+1:]...)
	s := slots(t, 20)
	var group sync.WaitGroup
	group.Go(func() { _, _ = replicas[leader].client.Submit(t.Context(), s) })
	replicas[leader].stop()
	first, _ := submit(t, s, others...)
	group.Wait()
	qt.Assert(t, first, qt.DeepEquals, historian.Answer{Verdict: historian.VerdictAccepted, Revision: 1})
	n.news.await(t, "revision 1 in force", func() bool { return n.revision() == 1 })

	for i, r := range replicas {
		r.stop()
		replicas[i] = r.restart(t)
	}
	again, _ := submit(t, s, replicas...)
	qt.Assert(t, again, qt.DeepEquals, first)
	late := slots(t, 30)
	answer, reason := submit(t, late, replicas...)
	qt.Assert(t, reason, qt.Equals, administrator.ReasonConflict)
	qt.Assert(t, answer.Winner.Submission, qt.Equals, s.ID)
	late.ID, late.BaseRevision = "late", 1
	answer, _ = submit(t, late, replicas...)
	qt.Assert(t, answer.Revision, qt.Equals, waxwingseam.Revision(2))
	n.news.await(t, "revision 2 in force", func() bool { return n.revision() == 2 })
}

// TestStartWithoutQuorum starts a node beside a replica that is cut off: it
// gets no set from there, but that of another node.
func TestStartWithoutQuorum(t *testing.T) {
	t.Parallel()
	replicas := cluster(t, 3)
	leaderOf(t, replicas)
	old := join(t, "fees-1", replicas[0].address)
	_, _ = submit(t, slots(t, 20), replicas...)
	old.news.await(t, "revision 1 in force", func() bool { return old.revision() == 1 })
	old.news.await(t, "itself known", func() bool { _, ok := old.server("fees-1"); return ok })
	replicas[1].stop()
	replicas[2].stop()
	status, err := replicas[0].client.Status(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status.Current, qt.IsFalse)
	_, err = replicas[0].client.Set(t.Context(), 0)
	qt.Assert(t, err, qt.ErrorMatches, "no-quorum.*")

	fresh := join(t, "fees-2", replicas[0].address)
	fresh.news.await(t, "the other node known", func() bool { _, ok := fresh.server("fees-1"); return ok })
	fresh.news.await(t, "revision 1 taken over", func() bool { return fresh.revision() == 1 })
	held := fresh.subscriber.Status()
	qt.Assert(t, held.Revision, qt.Equals, waxwingseam.Revision(1))

	replicas[0].stop()
	_, known := fresh.server("fees-1")
	qt.Assert(t, known, qt.IsTrue)
	qt.Assert(t, fresh.revision(), qt.Equals, waxwingseam.Revision(1))
}

// TestNoticedRevision cuts a node off from control: it takes a revision over
// from another node, of which it was told that it holds a higher one.
func TestNoticedRevision(t *testing.T) {
	t.Parallel()
	control := cluster(t, 1)[0]
	between := newRelay(t, control.address)
	behind := join(t, "fees-1", between.address())
	ahead := join(t, "fees-2", control.address)
	_, _ = submit(t, slots(t, 20), control)
	behind.news.await(t, "revision 1 in force", func() bool { return behind.revision() == 1 })
	behind.news.await(t, "the other node known", func() bool { _, ok := behind.server("fees-2"); return ok })
	between.silent.Store(true)
	s := slots(t, 30)
	s.BaseRevision = 1
	_, _ = submit(t, s, control)
	ahead.news.await(t, "revision 2 in force", func() bool { return ahead.revision() == 2 })
	qt.Assert(t, behind.revision(), qt.Equals, waxwingseam.Revision(1))
	behind.subscriber.NoteRevision(2, netip.AddrPort{})
	behind.news.await(t, "revision 2 taken over", func() bool { return behind.revision() == 2 })
}

// TestStartBesideLaggingReplica starts a node beside a replica that missed the
// last revision and is alone: the node must not be given the one before.
func TestStartBesideLaggingReplica(t *testing.T) {
	t.Parallel()
	replicas := cluster(t, 3)
	leaderOf(t, replicas)
	n := join(t, "fees-1", replicas[2].address)
	first := slots(t, 20)
	_, _ = submit(t, first, replicas...)
	n.news.await(t, "revision 1 in force", func() bool { return n.revision() == 1 })
	n.stop()
	replicas[2].stop()
	s := slots(t, 30)
	s.BaseRevision = 1
	_, _ = submit(t, s, replicas[:2]...)
	replicas[0].stop()
	replicas[1].stop()

	replicas[2] = replicas[2].restart(t)
	again := join(t, "fees-1", replicas[2].address)
	again.news.await(t, "itself known", func() bool { _, ok := again.server("fees-1"); return ok })
	for range 3 {
		status, err := replicas[2].client.Status(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, status.Current, qt.IsFalse)
		qt.Assert(t, again.revision(), qt.Equals, waxwingseam.Revision(0))
	}
	replicas[0] = replicas[0].restart(t)
	again.news.await(t, "revision 2 in force", func() bool { return again.revision() == 2 })
	qt.Assert(t, again.revisions, qt.DeepEquals, []waxwingseam.Revision{2})
}
