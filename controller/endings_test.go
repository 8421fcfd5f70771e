package controller

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/messenger"
	"waxwingseam.example/waxwingseam/publisher"
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

// storeEndings has a replica store endings of a server that does not watch it.
func storeEndings(ctx context.Context, r *replica, m *waxwingseam.EndingsMessage) error {
	conn, err := messenger.Dialer{}.Dial(ctx, r.address)
	if err != nil {
		return err
	}
	return errors.Join(
		conn.Invoke(ctx, publisher.StoreEndingsMethod, messenger.Encoding, m, &publisher.EndingsStored{}),
		conn.Close(),
	)
}

// TestEndingOfOtherNodeIsNotStored guards against an ending that a replica confirms to another
// node than that of the server, and forgets when all replicas are killed, or keeps from the
// server's own node.
func TestEndingOfOtherNodeIsNotStored(t *testing.T) {
	t.Parallel()
	control := startCluster(t, 3)
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	ending := waxwingseam.Ending{Instance: "i-1", Started: time.UnixMilli(1_700_000_000_123), At: time.Now()}
	message := &waxwingseam.EndingsMessage{Server: "fees-1", Endings: []waxwingseam.Ending{ending}}
	watching := startNode(t, "fees-1", control[2].address)
	qt.Assert(t, storeEndings(ctx, control[1], message), qt.IsNil)
	// A repeated message is confirmed too.
	qt.Assert(t, storeEndings(ctx, control[1], message), qt.IsNil)
	watching.updates.await(t, "the server's node is told", func() bool { return watching.knows(ending) })
	watching.stop()
	for _, r := range control {
		r.stop()
	}
	for i, r := range control {
		control[i] = r.restart(t)
	}
	again := startNode(t, "fees-1", control[0].address)
	again.updates.await(t, "the ending is known", func() bool { return again.knows(ending) })
}
