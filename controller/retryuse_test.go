package controller

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/journaler"
)

// history returns the latest history of the node's retry budget that control has sent; false
// if there is none.
func (n *node) history() (waxwingseam.RetryHistory, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.histories) == 0 {
		return waxwingseam.RetryHistory{}, false
	}
	return n.histories[len(n.histories)-1], true
}

// awaitHistory waits until control has sent a history that satisfies a condition.
func (n *node) awaitHistory(t *testing.T, what string, condition func(waxwingseam.RetryHistory) bool) {
	t.Helper()
	n.updates.await(t, what, func() bool {
		h, ok := n.history()
		return ok && condition(h)
	})
}

// TestRetryUseOutlivesNode guards against a node whose next process has its part of the retry
// budget once more, although it had stated its use to a replica that has ended since.
func TestRetryUseOutlivesNode(t *testing.T) {
	t.Parallel()
	control := startCluster(t, 3)
	leaderOf(t, control)
	n := startNode(t, "fees-1", control[0].address)
	n.awaitHistory(t, "a first history", func(h waxwingseam.RetryHistory) bool { return h.Use.Repeats == 0 })
	n.subscriber.NoteRetryUse(3)
	n.subscriber.NoteRetryUse(5)
	// The other replicas learn it some milliseconds later.
	for _, r := range control[1:] {
		for !r.knowsRetryUse("fees-1") {
			time.Sleep(time.Millisecond)
		}
	}
	n.stop()
	control[0].stop()
	again := startIncarnation(t, "fees-1", 2, control[1].address)
	again.awaitHistory(t, "the use", func(h waxwingseam.RetryHistory) bool {
		return h.Use.Repeats == 5 && h.Use.Age > 0 && h.Use.Age < time.Minute
	})
	other := startIncarnation(t, "fees-2", 2, control[1].address)
	other.awaitHistory(t, "no use of another node", func(h waxwingseam.RetryHistory) bool { return h.Use.Repeats == 0 })
}

// TestStartedControlCoversNoRetryUse guards against replicas that say, after they were all
// killed, that nothing was used before. A single one learns what the others know.
func TestStartedControlCoversNoRetryUse(t *testing.T) {
	t.Parallel()
	control := startCluster(t, 3)
	leaderOf(t, control)
	time.Sleep(time.Second)
	control[0].stop()
	control[0] = control[0].restart(t)
	restarted := time.Now()
	n := startNode(t, "fees-1", control[0].address)
	n.awaitHistory(t, "what the others cover", func(h waxwingseam.RetryHistory) bool {
		return h.Covered > time.Since(restarted)+time.Second/2
	})
	for _, r := range control {
		r.stop()
	}
	restarted = time.Now()
	for i, r := range control {
		control[i] = r.restart(t)
	}
	again := startIncarnation(t, "fees-1", 2, control[1].address)
	again.awaitHistory(t, "a history", func(waxwingseam.RetryHistory) bool { return true })
	h, _ := again.history()
	qt.Assert(t, h.Covered <= time.Since(restarted), qt.IsTrue)
}

// TestNodeStatesRetryUseAgain guards against a use that control forgets with all its replicas
// although the node that stated it runs on.
func TestNodeStatesRetryUseAgain(t *testing.T) {
	t.Parallel()
	control := startCluster(t, 3)
	leaderOf(t, control)
	n := startNode(t, "fees-1", control[0].address)
	n.awaitHistory(t, "a first history", func(waxwingseam.RetryHistory) bool { return true })
	n.subscriber.NoteRetryUse(5)
	for !control[0].knowsRetryUse("fees-1") {
		time.Sleep(time.Millisecond)
	}
	for _, r := range control {
		r.stop()
	}
	for i, r := range control {
		control[i] = r.restart(t)
	}
	for !control[0].knowsRetryUse("fees-1") {
		time.Sleep(time.Millisecond)
	}
}

// TestFirstStartOfSystem guards against nodes that get no repeats at the first start of the
// whole system, and against a replica that claims a first start with a disk in use.
func TestFirstStartOfSystem(t *testing.T) {
	folder := t.TempDir()
	for _, v := range []struct {
		founder, formatted, want bool
	}{
		{false, false, false},
		{true, false, true},
		{true, true, false},
	} {
		if v.formatted {
			disk, err := journaler.OpenFolder(folder)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, journaler.Format(disk, waxwingseam.ReplicaIdentity{Cluster: "k", Replica: "a", Storage: "s"}, waxwingseam.PersistReplica{}), qt.IsNil)
			qt.Assert(t, disk.Close(), qt.IsNil)
		}
		c := &controller{config: Config{Founder: v.founder, DataFolder: folder}}
		first, err := c.isFirstStart()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, first, qt.Equals, v.want)
	}
}
