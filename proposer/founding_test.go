package proposer

import (
	"context"
	"net/netip"
	"path/filepath"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/journaler"
	"waxwingseam.example/waxwingseam/messenger"
	"waxwingseam.example/waxwingseam/replicator"
)

// startWithJoinAddresses starts n replicas in reverse order, with the first
// three addresses as Config.Join. If founder is set, these are the founders as
// well.
func startWithJoinAddresses(t *testing.T, n int, founder bool) []*replica {
	servers := make([]*messenger.Server, n)
	ctx, stopServers := context.WithCancel(context.Background())
	t.Cleanup(stopServers)
	for i := range servers {
		server, err := messenger.Listen(ctx, messenger.ServerConfig{Address: loopback})
		qt.Assert(t, err, qt.IsNil)
		servers[i] = server
	}
	joinAddresses := make([]netip.AddrPort, 3)
	for i := range joinAddresses {
		joinAddresses[i] = servers[i].Address()
	}
	folder := t.TempDir()
	out := make([]*replica, n)
	for i := n - 1; i >= 0; i-- {
		r := &replica{commands: &commandLog{}, stopped: make(chan error, 1)}
		name := ReplicaIDFromAddress(servers[i].Address())
		r.config = Config{
			DataFolder: filepath.Join(folder, string(name)),
			Self:       name,
			Address:    servers[i].Address(),
			Join:       joinAddresses,
			Voter:      true,
			Rejoin:     true,
			Messenger:  servers[i],
			Applier:    r.commands,
			Replicator: replicator.Config{ToleratedLosses: 2},
		}
		if founder {
			r.config.Founders = joinAddresses
		}
		disk, err := journaler.OpenFolder(r.config.DataFolder)
		qt.Assert(t, err, qt.IsNil)
		r.disk = &failingDisk{Disk: disk}
		r.config.Disk = r.disk
		r.Proposer, err = New(r.config)
		qt.Assert(t, err, qt.IsNil)
		serveCtx, stop := context.WithCancel(context.Background())
		r.stop = stop
		var group sync.WaitGroup
		group.Go(func() { _ = servers[i].Serve(ctx) })
		go func() { r.stopped <- r.Serve(serveCtx) }()
		t.Cleanup(func() { _ = r.stopAndWait() })
		out[i] = r
	}
	return out
}

// TestFoundingWithoutAnOperator starts five replicas with three founders. The
// founders start last, so that the other replicas wait longest. The replicas form
// one cluster of five voters, which accepts commands.
func TestFoundingWithoutAnOperator(t *testing.T) {
	all := startWithJoinAddresses(t, 5, true)
	clusters := map[waxwingseam.ClusterID]bool{}
	for _, r := range all {
		clusters[r.await(t, hasVoters(5)).Cluster] = true
	}
	qt.Assert(t, clusters, qt.HasLen, 1)
	all[4].propose(t, 1, 3)
}

// TestNoFoundingWithoutFounders checks that replicas on empty disks without a
// list of founders wait for a cluster instead of founding one. After the first
// start of the system, the replicas have no such list, so that no second
// cluster can arise.
func TestNoFoundingWithoutFounders(t *testing.T) {
	all := startWithJoinAddresses(t, 3, false)
	_, err := all[0].Propose(t.Context(), []byte("c1"))
	qt.Assert(t, waxwingseam.ReplicaReasonOf(err), qt.Equals, waxwingseam.ReasonNoQuorum)
	for _, r := range all {
		qt.Check(t, r.Status().Cluster, qt.Equals, waxwingseam.ClusterID(""))
	}
}

// TestRemovedReplicaRejoins removes a running replica from the cluster: it
// empties its data folder and joins again with another storage.
func TestRemovedReplicaRejoins(t *testing.T) {
	all := startWithJoinAddresses(t, 5, true)
	for _, r := range all {
		r.await(t, hasVoters(5))
	}
	// A removal is refused until the last promotion is committed.
	all[0].await(t, func(s waxwingseam.ReplicaStatus) bool { return s.Voters() == 5 && s.Settled })
	removed := all[4]
	before := removed.Status().Self.Storage
	err := all[0].ChangeMembership(t.Context(), waxwingseam.MembershipChange{
		Kind:   waxwingseam.ChangeRemove,
		Member: waxwingseam.Member{Storage: before},
	})
	qt.Assert(t, err, qt.IsNil)
	status := removed.await(t, func(s waxwingseam.ReplicaStatus) bool {
		return s.Self.Voter && s.Self.Storage != before
	})
	qt.Assert(t, status.Voters(), qt.Equals, 5)
}

// TestReplicaRemovedWhileItsDiskIsFull guards against entries that a replica could not store
// before it was removed, and stores once it has joined again: they are of another storage. It
// joins when there is room.
func TestReplicaRemovedWhileItsDiskIsFull(t *testing.T) {
	all := startWithJoinAddresses(t, 5, true)
	for _, r := range all {
		r.await(t, hasVoters(5))
	}
	all[0].await(t, func(s waxwingseam.ReplicaStatus) bool { return s.Voters() == 5 && s.Settled })
	removed := all[4]
	before := removed.Status().Self.Storage
	removed.disk.full.Store(true)
	all[0].propose(t, 1, 3)
	removed.awaitDiskFull(t, true)
	err := all[0].ChangeMembership(t.Context(), waxwingseam.MembershipChange{
		Kind:   waxwingseam.ChangeRemove,
		Member: waxwingseam.Member{Storage: before},
	})
	qt.Assert(t, err, qt.IsNil)
	for removed.Status().Self.Storage != "" {
		qt.Assert(t, removed.stopped, qt.HasLen, 0)
		time.Sleep(time.Millisecond)
	}
	removed.disk.full.Store(false)
	removed.await(t, func(s waxwingseam.ReplicaStatus) bool { return s.Self.Voter && s.Self.Storage != before })
	all[0].propose(t, 4, 6)
	qt.Assert(t, removed.appliedCommands(t), qt.Equals, all[0].appliedCommands(t))
}

// TestStoppedReplicaRetires guards against the vote of a replica that has stopped for good: in
// a cluster with more voters than the tolerated losses require it must be gone when the
// replica has ended. A replica that is restarted among five keeps its vote, and one that was
// retired joins again.
func TestStoppedReplicaRetires(t *testing.T) {
	all := startWithJoinAddresses(t, 6, true)
	for _, r := range all {
		r.await(t, hasVoters(6))
	}
	all[0].await(t, func(s waxwingseam.ReplicaStatus) bool { return s.Voters() == 6 && s.Settled })
	var leader *replica
	for _, r := range all {
		if r.Status().Role == waxwingseam.RoleLeader {
			leader = r
		}
	}
	qt.Assert(t, leader, qt.IsNotNil)
	retired := leader.Status().Self.Storage
	qt.Assert(t, leader.stopAndWait(), qt.IsNil)
	var others []*replica
	for _, r := range all {
		if r != leader {
			others = append(others, r)
		}
	}
	qt.Assert(t, others[0].ReadIndex(t.Context()), qt.IsNil)
	status := others[0].Status()
	qt.Assert(t, status.Voters(), qt.Equals, 5)
	_, member := waxwingseam.Membership{Members: members(status)}.Member(retired)
	qt.Assert(t, member, qt.IsFalse)
	qt.Assert(t, others[1].stopAndWait(), qt.IsNil)
	qt.Assert(t, others[0].ReadIndex(t.Context()), qt.IsNil)
	qt.Assert(t, others[0].Status().Voters(), qt.Equals, 5)
}
