package controller

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// TestEndingIsLostWithNode guards against the end of a backend server that is forgotten when
// its node and the replica that confirmed it are killed: a restarted node must receive
// it from another replica, before that one names the endings as complete.
func TestEndingIsLostWithNode(t *testing.T) {
	t.Parallel()
	control := startCluster(t, 3)
	n := startNode(t, "fees-1", control[0].address)
	ending := waxwingseam.Ending{Instance: "i-1", Started: time.UnixMilli(1_700_000_000_123), At: time.Now()}
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	qt.Assert(t, n.subscriber.RecordEnding(ctx, ending), qt.IsNil)
	for _, r := range control[1:] {
		// The other replicas learn it some milliseconds later.
		for !r.knowsEnding("fees-1") {
			qt.Assert(t, ctx.Err(), qt.IsNil)
			time.Sleep(time.Millisecond)
		}
	}
	n.stop()
	control[0].stop()
	again := startNode(t, "fees-1", control[1].address)
	again.updates.await(t, "the endings are complete", again.endingsComplete)
	qt.Assert(t, again.endings, qt.HasLen, 1)
	qt.Assert(t, again.endings[0].Started.Equal(ending.Started), qt.IsTrue)
}

// TestStartedReplicaNamesNoEndings guards against a node that receives no endings although its
// replica has just started and can't know them all, and against one that never receives them.
func TestStartedReplicaNamesNoEndings(t *testing.T) {
	t.Parallel()
	control := startCluster(t, 3)
	n := startNode(t, "fees-1", control[0].address)
	n.updates.await(t, "the endings are complete", n.endingsComplete)
	qt.Assert(t, n.endings, qt.HasLen, 0)
}

// TestEndingIsLostWithAllProcesses guards against the end of a backend server that is
// forgotten when its node, the nodes that hold it and all control replicas are killed at once.
func TestEndingIsLostWithAllProcesses(t *testing.T) {
	t.Parallel()
	control := startCluster(t, 3)
	n := startNode(t, "fees-1", control[0].address)
	ending := waxwingseam.Ending{Instance: "i-1", Started: time.UnixMilli(1_700_000_000_123), At: time.Now()}
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	qt.Assert(t, n.subscriber.RecordEnding(ctx, ending), qt.IsNil)
	n.stop()
	for _, r := range control {
		r.stop()
	}
	for i, r := range control {
		control[i] = r.restart(t)
	}
	again := startNode(t, "fees-1", control[0].address)
	again.updates.await(t, "the ending is known", func() bool { return again.knows(ending) })
}
