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

// restart stops the replica and starts it again with its data folder and address.
func (r *replica) restart(t testing.TB) *replica {
	r.stop()
	config := r.config
	config.Messenger = listen(t, r.address)
	return startReplica(t, config)
}

// submit sends a submission to the replicas in turn until one of them answers,
// like an operator whose requests or answers are lost.
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
	t.Fatalf("no answer to submission %s in time", s.ID)
	return historian.Answer{}, ""
}

// submissionWithSlots returns a submission of the Van Dalen set with n slots for
// the service fees.
func submissionWithSlots(t testing.TB, n int) administrator.Submission {
	file := example(t, "van-dalen")
	file.Data = []byte(strings.Replace(string(file.Data), "slots = 15", fmt.Sprintf("slots = %d", n), 1))
	return submission(fmt.Sprintf("slots-%d", n), file)
}

// voters returns the number of voters that a replica reports.
func voters(s waxwingseam.ReplicaStatus) int {
	n := 0
	for _, m := range s.Members {
		if m.Voter {
			n++
		}
	}
	return n
}

// configuredVoters returns the number of replicas that are configured as voters.
func configuredVoters(replicas []*replica) int {
	n := 0
	for _, r := range replicas {
		if r.config.Voter {
			n++
		}
	}
	return n
}

// leaderOf waits for a leader whose membership includes all configured voters, and
// returns its index.
func leaderOf(t testing.TB, replicas []*replica) int {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); {
		for i, r := range replicas {
			status, err := r.client.Status(t.Context())
			if err == nil && status.Current && status.Log.Role == waxwingseam.RoleLeader && voters(status.Log) == configuredVoters(replicas) {
				return i
			}
		}
	}
	t.Fatal("no leader with all voters in time")
	return 0
}

// TestConcurrentSubmissions submits two sets on the same base at two replicas at
// once, several times. Exactly one is accepted each time, and it must reach a
// node that watches a non-voting replica.
func TestConcurrentSubmissions(t *testing.T) {
	t.Parallel()
	replicas := startMixedCluster(t, 3, 1)
	leaderOf(t, replicas)
	n := startNode(t, "fees-1", replicas[3].address)
	for base := range waxwingseam.Revision(5) {
		var answers [2]historian.Answer
		var group sync.WaitGroup
		for i := range answers {
			s := submissionWithSlots(t, 20+10*int(base)+i)
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
		n.updates.await(t, "winning revision in force", func() bool { return n.revision() == base+1 })
	}
}

// TestResendDuringLeaderChange stops the leader during a submission. The
// submission is resent to the other replicas, and once more after a restart of
// all replicas, and must be accepted only once.
func TestResendDuringLeaderChange(t *testing.T) {
	t.Parallel()
	replicas := startCluster(t, 3)
	leader := leaderOf(t, replicas)
	n := startNode(t, "fees-1", replicas[0].address, replicas[1].address, replicas[2].address)
	others := append(append([]*replica{}, replicas[:leader]...), replicas[leader+1:]...)
	s := submissionWithSlots(t, 20)
	var group sync.WaitGroup
	group.Go(func() { _, _ = replicas[leader].client.Submit(t.Context(), s) })
	replicas[leader].stop()
	first, _ := submit(t, s, others...)
	group.Wait()
	qt.Assert(t, first, qt.DeepEquals, historian.Answer{Verdict: historian.VerdictAccepted, Revision: 1})
	n.updates.await(t, "revision 1 in force", func() bool { return n.revision() == 1 })

	for i, r := range replicas {
		r.stop()
		replicas[i] = r.restart(t)
	}
	again, _ := submit(t, s, replicas...)
	qt.Assert(t, again, qt.DeepEquals, first)
	late := submissionWithSlots(t, 30)
	answer, reason := submit(t, late, replicas...)
	qt.Assert(t, reason, qt.Equals, administrator.ReasonConflict)
	qt.Assert(t, answer.Winner.Submission, qt.Equals, s.ID)
	late.ID, late.BaseRevision = "late", 1
	answer, _ = submit(t, late, replicas...)
	qt.Assert(t, answer.Revision, qt.Equals, waxwingseam.Revision(2))
	n.updates.await(t, "revision 2 in force", func() bool { return n.revision() == 2 })
}

// TestStartWithoutQuorum starts a node that watches a replica without a quorum.
// The replica sends it no set, so that it must fetch the set of another node.
func TestStartWithoutQuorum(t *testing.T) {
	t.Parallel()
	replicas := startCluster(t, 3)
	leaderOf(t, replicas)
	old := startNode(t, "fees-1", replicas[0].address)
	_, _ = submit(t, submissionWithSlots(t, 20), replicas...)
	old.updates.await(t, "revision 1 in force", func() bool { return old.revision() == 1 })
	old.updates.await(t, "own server received", func() bool { _, ok := old.server("fees-1"); return ok })
	replicas[1].stop()
	replicas[2].stop()
	status, err := replicas[0].client.Status(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status.Current, qt.IsFalse)
	_, err = replicas[0].client.Set(t.Context(), 0)
	qt.Assert(t, err, qt.ErrorMatches, "no-quorum.*")

	fresh := startNode(t, "fees-2", replicas[0].address)
	fresh.updates.await(t, "other server received", func() bool { _, ok := fresh.server("fees-1"); return ok })
	fresh.updates.await(t, "revision 1 fetched", func() bool { return fresh.revision() == 1 })
	nodeStatus := fresh.subscriber.Status()
	qt.Assert(t, nodeStatus.Revision, qt.Equals, waxwingseam.Revision(1))

	replicas[0].stop()
	_, known := fresh.server("fees-1")
	qt.Assert(t, known, qt.IsTrue)
	qt.Assert(t, fresh.revision(), qt.Equals, waxwingseam.Revision(1))
}

// TestRevisionFetchedFromNode silences a node's connection to control. After a
// notice of a higher revision, the node must fetch it from another node.
func TestRevisionFetchedFromNode(t *testing.T) {
	t.Parallel()
	control := startCluster(t, 1)[0]
	link := newRelay(t, control.address)
	behind := startNode(t, "fees-1", link.address())
	ahead := startNode(t, "fees-2", control.address)
	_, _ = submit(t, submissionWithSlots(t, 20), control)
	behind.updates.await(t, "revision 1 in force", func() bool { return behind.revision() == 1 })
	behind.updates.await(t, "other server received", func() bool { _, ok := behind.server("fees-2"); return ok })
	link.silent.Store(true)
	s := submissionWithSlots(t, 30)
	s.BaseRevision = 1
	_, _ = submit(t, s, control)
	ahead.updates.await(t, "revision 2 in force", func() bool { return ahead.revision() == 2 })
	qt.Assert(t, behind.revision(), qt.Equals, waxwingseam.Revision(1))
	behind.subscriber.NoteRevision(2, netip.AddrPort{})
	behind.updates.await(t, "revision 2 fetched", func() bool { return behind.revision() == 2 })
}

// TestStartWithLaggingReplica starts a node that watches a replica without a
// quorum and without the newest revision. The node must not receive the replica's
// outdated revision.
func TestStartWithLaggingReplica(t *testing.T) {
	t.Parallel()
	replicas := startCluster(t, 3)
	leaderOf(t, replicas)
	n := startNode(t, "fees-1", replicas[2].address)
	first := submissionWithSlots(t, 20)
	_, _ = submit(t, first, replicas...)
	n.updates.await(t, "revision 1 in force", func() bool { return n.revision() == 1 })
	n.stop()
	replicas[2].stop()
	s := submissionWithSlots(t, 30)
	s.BaseRevision = 1
	_, _ = submit(t, s, replicas[:2]...)
	replicas[0].stop()
	replicas[1].stop()

	replicas[2] = replicas[2].restart(t)
	restarted := startNode(t, "fees-1", replicas[2].address)
	restarted.updates.await(t, "own server received", func() bool { _, ok := restarted.server("fees-1"); return ok })
	for range 3 {
		status, err := replicas[2].client.Status(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, status.Current, qt.IsFalse)
		qt.Assert(t, restarted.revision(), qt.Equals, waxwingseam.Revision(0))
	}
	replicas[0] = replicas[0].restart(t)
	restarted.updates.await(t, "revision 2 in force", func() bool { return restarted.revision() == 2 })
	qt.Assert(t, restarted.revisions, qt.DeepEquals, []waxwingseam.Revision{2})
}
