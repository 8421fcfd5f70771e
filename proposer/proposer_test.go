package proposer

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/journaler"
	"waxwingseam.example/waxwingseam/messenger"
	"waxwingseam.example/waxwingseam/replicator"
)

// commandLog is a state machine that lists the applied commands.
type commandLog struct {
	mu       sync.Mutex
	commands []string
}

func (l *commandLog) Apply(_ waxwingseam.LogIndex, command []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands = append(l.commands, string(command))
	return fmt.Appendf(nil, "%d", len(l.commands))
}

func (l *commandLog) Snapshot() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return json.Marshal(l.commands)
}

func (l *commandLog) Restore(data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands = nil
	return json.Unmarshal(data, &l.commands)
}

func (l *commandLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.commands, " ")
}

// replica is one replica under test, with its own listener.
type replica struct {
	waxwingseam.Proposer
	config   Config
	commands *commandLog
	disk     *failingDisk
	stop     context.CancelFunc
	stopped  chan error
}

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// failingDisk is a data folder whose writes fail once the disk is full.
type failingDisk struct {
	waxwingseam.Disk
	full atomic.Bool
}

type failingFile struct {
	waxwingseam.DiskFile
	disk *failingDisk
}

func (d *failingDisk) Append(name string, offset int64) (waxwingseam.DiskFile, error) {
	file, err := d.Disk.Append(name, offset)
	return failingFile{DiskFile: file, disk: d}, err
}

func (d *failingDisk) Create(name string) (waxwingseam.DiskFile, error) {
	if d.full.Load() {
		return nil, syscall.ENOSPC
	}
	file, err := d.Disk.Create(name)
	return failingFile{DiskFile: file, disk: d}, err
}

func (d *failingDisk) Rename(from, to string) error {
	if d.full.Load() {
		return syscall.ENOSPC
	}
	return d.Disk.Rename(from, to)
}

func (f failingFile) Write(data []byte) (int, error) {
	if f.disk.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.DiskFile.Write(data)
}

// launchOptions configures a replica under test.
type launchOptions struct {
	folder, name string
	// listen is the replica's own address; advertise is the address that the
	// other replicas use, if it differs.
	listen, advertise netip.AddrPort
	join              []netip.AddrPort
	applier           waxwingseam.Applier
	learner           bool
	limits            replicator.Config
}

// smallLimits causes a snapshot after a few commands.
var smallLimits = replicator.Config{SnapshotEntries: 16, KeepEntries: 2}

// start launches a replica with smallLimits.
func start(t testing.TB, folder, name string, address netip.AddrPort, join ...netip.AddrPort) *replica {
	t.Helper()
	r, err := launch(t, launchOptions{folder: folder, name: name, listen: address, join: join, limits: smallLimits})
	qt.Assert(t, err, qt.IsNil)
	return r
}

// launch starts a replica. Without join addresses, it initializes a new data
// folder first.
func launch(t testing.TB, s launchOptions) (*replica, error) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	serverCtx, stopServer := context.WithCancel(context.Background())
	server, err := messenger.Listen(serverCtx, messenger.ServerConfig{Address: s.listen})
	qt.Assert(t, err, qt.IsNil)
	r := &replica{commands: &commandLog{}, stop: stop, stopped: make(chan error, 1)}
	r.config = Config{
		DataFolder:     filepath.Join(s.folder, s.name),
		Self:           waxwingseam.ReplicaID(s.name),
		Address:        cmp.Or(s.advertise, server.Address()),
		Join:           s.join,
		Voter:          !s.learner,
		LeaderTimeout:  time.Minute,
		RequestTimeout: time.Minute,
		Replicator:     s.limits,
		Messenger:      server,
		Applier:        r.commands,
	}
	if s.applier != nil {
		r.config.Applier = s.applier
	}
	if len(s.join) == 0 {
		_, _ = Initialize(r.config)
	}
	folder, err := journaler.OpenFolder(r.config.DataFolder)
	qt.Assert(t, err, qt.IsNil)
	r.disk = &failingDisk{Disk: folder}
	r.config.Disk = r.disk
	r.Proposer, err = New(r.config)
	if err != nil {
		stop()
		stopServer()
		return nil, trace.NewAggregate(err, server.Serve(serverCtx))
	}
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve(serverCtx) })
	go func() {
		err := r.Serve(ctx)
		stop()
		stopServer()
		serving.Wait()
		r.stopped <- err
	}()
	t.Cleanup(func() { _ = r.stopAndWait() })
	return r, nil
}

// stopAndWait stops a replica and returns the result of Serve.
func (r *replica) stopAndWait() error {
	r.stop()
	return r.waitStopped()
}

// waitStopped waits for Serve to return and returns its result.
func (r *replica) waitStopped() error {
	err := <-r.stopped
	r.stopped <- err
	return err
}

// await waits until the replica's status satisfies a condition.
func (r *replica) await(t testing.TB, condition func(waxwingseam.ReplicaStatus) bool) waxwingseam.ReplicaStatus {
	t.Helper()
	p := r.Proposer.(*proposer)
	for {
		status, changed := p.watch()
		if condition(status) {
			return status
		}
		select {
		case <-changed:
		case <-t.Context().Done():
			t.Fatal("the test ended before the condition held")
		}
	}
}

func hasVoters(n int) func(waxwingseam.ReplicaStatus) bool {
	return func(s waxwingseam.ReplicaStatus) bool {
		return s.Voters() == n && s.Leader != ""
	}
}

// propose proposes numbered commands in order and checks each answer.
func (r *replica) propose(t testing.TB, from, to int) {
	t.Helper()
	for i := from; i <= to; i++ {
		answer, err := r.Propose(t.Context(), fmt.Appendf(nil, "c%d", i))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(answer), qt.Equals, fmt.Sprint(i))
	}
}

// startThree starts three replicas of a new cluster, all of them voters.
func startThree(t testing.TB, folder string) []*replica {
	t.Helper()
	a := start(t, folder, "a", loopback)
	b := start(t, folder, "b", loopback, a.config.Address)
	c := start(t, folder, "c", loopback, a.config.Address)
	for _, r := range []*replica{a, b, c} {
		r.await(t, hasVoters(3))
	}
	return []*replica{a, b, c}
}

func TestSingleReplicaRestoresCommandsAfterRestart(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	r := start(t, folder, "a", loopback)
	r.propose(t, 1, 3)
	qt.Assert(t, r.stopAndWait(), qt.IsNil)
	r = start(t, folder, "a", r.config.Address)
	qt.Assert(t, r.ReadIndex(t.Context()), qt.IsNil)
	qt.Assert(t, r.commands.String(), qt.Equals, "c1 c2 c3")
	r.propose(t, 4, 4)
}

func TestRemainingReplicasContinueAfterLeaderStops(t *testing.T) {
	t.Parallel()
	replicas := startThree(t, t.TempDir())
	replicas[1].propose(t, 1, 5)
	leader := replicas[0]
	qt.Assert(t, leader.Status().Role, qt.Equals, waxwingseam.RoleLeader)
	qt.Assert(t, leader.stopAndWait(), qt.IsNil)
	replicas[1].propose(t, 6, 9)
	for _, r := range replicas[1:] {
		qt.Assert(t, r.ReadIndex(t.Context()), qt.IsNil)
		qt.Assert(t, r.commands.String(), qt.Equals, "c1 c2 c3 c4 c5 c6 c7 c8 c9")
	}
}

// TestReplicaWithEmptiedDiskRejoins empties the disk of one replica, and stops
// another one permanently once the first is a voter again.
func TestReplicaWithEmptiedDiskRejoins(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	replicas := startThree(t, folder)
	a, b, c := replicas[0], replicas[1], replicas[2]
	a.propose(t, 1, 40)
	old := c.Status().Self
	qt.Assert(t, c.stopAndWait(), qt.IsNil)
	qt.Assert(t, os.RemoveAll(c.config.DataFolder), qt.IsNil)
	c = start(t, folder, "c", c.config.Address, a.config.Address, b.config.Address)
	status := c.await(t, func(s waxwingseam.ReplicaStatus) bool { return s.Self.Voter })
	qt.Assert(t, status.Self.Storage, qt.Not(qt.Equals), old.Storage)
	qt.Assert(t, a.stopAndWait(), qt.IsNil)
	c.propose(t, 41, 42)
	qt.Assert(t, b.ReadIndex(t.Context()), qt.IsNil)
	qt.Assert(t, c.commands.String(), qt.Equals, b.commands.String())
	receipt, err := c.Proposer.(*proposer).Deliver(t.Context(), &Delivery{Cluster: status.Cluster, To: old.Storage})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, receipt.Reason, qt.Equals, waxwingseam.ReasonStorageMismatch)
}

func TestLargeSnapshotIsSentInParts(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	a := start(t, folder, "a", loopback)
	large := bytes.Repeat([]byte("x"), 3*snapshotPartBytes/2)
	_, err := a.Propose(t.Context(), large)
	qt.Assert(t, err, qt.IsNil)
	a.propose(t, 2, 40)
	b := start(t, folder, "b", loopback, a.config.Address)
	b.await(t, hasVoters(2))
	qt.Assert(t, b.ReadIndex(t.Context()), qt.IsNil)
	qt.Assert(t, b.commands.String() == a.commands.String(), qt.IsTrue)
	_, err = a.Propose(t.Context(), make([]byte, MaxCommandBytes+1))
	qt.Assert(t, waxwingseam.ReplicaReasonOf(err), qt.Equals, waxwingseam.ReasonCommandTooLarge)
}

// TestReestablishAfterLossOfQuorum creates a new cluster from one of three data
// folders. The cluster refuses a replica of the old one and admits an empty one.
func TestReestablishAfterLossOfQuorum(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	replicas := startThree(t, folder)
	replicas[0].propose(t, 1, 5)
	for _, r := range replicas {
		qt.Assert(t, r.ReadIndex(t.Context()), qt.IsNil)
	}
	for _, r := range replicas {
		qt.Assert(t, r.stopAndWait(), qt.IsNil)
	}
	last := replicas[2].config
	last.Disk = nil
	qt.Assert(t, os.RemoveAll(replicas[0].config.DataFolder), qt.IsNil)
	cluster, err := Reestablish(last)
	qt.Assert(t, err, qt.IsNil)
	c := start(t, folder, "c", last.Address, replicas[1].config.Address)
	c.propose(t, 6, 7)
	qt.Assert(t, c.Status().Cluster, qt.Equals, cluster)
	old := start(t, folder, "b", replicas[1].config.Address, last.Address)
	qt.Assert(t, old.waitStopped(), qt.ErrorMatches, "(?s).*belongs to cluster.*")
	a := start(t, folder, "a", replicas[0].config.Address, last.Address)
	a.await(t, hasVoters(2))
	qt.Assert(t, a.ReadIndex(t.Context()), qt.IsNil)
	qt.Assert(t, a.commands.String(), qt.Equals, "c1 c2 c3 c4 c5 c6 c7")
}

// TestForeignReplicasAreRefused starts a replica of another cluster, a removed
// replica, and a replica on the data folder of another one: each is refused.
func TestForeignReplicasAreRefused(t *testing.T) {
	t.Parallel()
	folder, other := t.TempDir(), t.TempDir()
	replicas := startThree(t, folder)
	foreign := start(t, other, "d", loopback)
	qt.Assert(t, foreign.stopAndWait(), qt.IsNil)
	foreign = start(t, other, "d", loopback, replicas[0].config.Address)
	qt.Assert(t, foreign.waitStopped(), qt.ErrorMatches, "(?s).*belongs to cluster.*")
	qt.Assert(t, start(t, other, "e", loopback).stopAndWait(), qt.IsNil)
	removed := replicas[2]
	member := removed.Status().Self
	qt.Assert(t, removed.stopAndWait(), qt.IsNil)
	err := replicas[1].ChangeMembership(t.Context(), waxwingseam.MembershipChange{Kind: waxwingseam.ChangeRemove, Member: member})
	qt.Assert(t, err, qt.IsNil)
	removed = start(t, folder, "c", removed.config.Address, replicas[0].config.Address)
	qt.Assert(t, removed.waitStopped(), qt.ErrorMatches, "(?s).*is no longer a member.*")
	qt.Assert(t, os.Rename(filepath.Join(other, "e"), filepath.Join(other, "f")), qt.IsNil)
	_, err = launch(t, launchOptions{folder: other, name: "f", listen: loopback})
	qt.Assert(t, err, qt.ErrorMatches, `(?s).*belongs to replica "e".*`)
}

// TestFullDiskStopsTheLeader fills the leader's disk: the leader acknowledges no
// further command and leaves the lead, and the other replicas continue. It does not end, and
// once there is room again it has what the others accepted, and accepts commands itself.
func TestFullDiskStopsTheLeader(t *testing.T) {
	t.Parallel()
	replicas := startThree(t, t.TempDir())
	replicas[0].propose(t, 1, 1)
	replicas[0].disk.full.Store(true)
	_, err := replicas[0].Propose(t.Context(), []byte("c2"))
	qt.Assert(t, waxwingseam.ReplicaReasonOf(err), qt.Equals, waxwingseam.ReasonOutcomeUnknown)
	replicas[0].awaitDiskFull(t, true)
	replicas[1].await(t, func(s waxwingseam.ReplicaStatus) bool {
		return s.Leader != "" && s.Leader != replicas[0].Status().Self.Storage
	})
	replicas[0].await(t, func(s waxwingseam.ReplicaStatus) bool { return s.Role != waxwingseam.RoleLeader })
	_, err = replicas[1].Propose(t.Context(), []byte("c3"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, replicas[0].commands.String(), qt.Equals, "c1")
	qt.Assert(t, replicas[0].stopped, qt.HasLen, 0)
	replicas[0].disk.full.Store(false)
	_, err = replicas[0].Propose(t.Context(), []byte("c4"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, replicas[0].ReadIndex(t.Context()), qt.IsNil)
	qt.Assert(t, replicas[0].commands.String(), qt.Equals, replicas[1].appliedCommands(t))
	qt.Assert(t, replicas[0].commands.String(), qt.Matches, "c1 (c2 )?c3 c4")
	qt.Assert(t, replicas[0].stopped, qt.HasLen, 0)
}

// appliedCommands returns the commands that the replica has applied, after a confirmed read.
func (r *replica) appliedCommands(t *testing.T) string {
	t.Helper()
	qt.Assert(t, r.ReadIndex(t.Context()), qt.IsNil)
	return r.commands.String()
}

// awaitDiskFull waits until the replica's disk is full, or has room. It fails if the replica ends.
func (r *replica) awaitDiskFull(t *testing.T, full bool) {
	t.Helper()
	for r.Status().DiskFull != full {
		qt.Assert(t, r.stopped, qt.HasLen, 0)
		time.Sleep(time.Millisecond)
	}
}

// TestDisksFullOneAfterAnother guards against changes that are refused, or stay unanswered,
// after the disks of all replicas were full for a while, never two at once, and against
// replicas that end. Snapshots fall due meanwhile.
func TestDisksFullOneAfterAnother(t *testing.T) {
	t.Parallel()
	replicas := startThree(t, t.TempDir())
	n := 0
	// A command whose outcome is unknown is proposed again.
	propose := func(through *replica) {
		t.Helper()
		n++
		var err error
		for range 3 {
			_, err = through.Propose(t.Context(), fmt.Appendf(nil, "c%d", n))
			if waxwingseam.ReplicaReasonOf(err) != waxwingseam.ReasonOutcomeUnknown {
				break
			}
		}
		qt.Assert(t, err, qt.IsNil)
	}
	propose(replicas[0])
	for range 2 {
		for i, r := range replicas {
			r.disk.full.Store(true)
			for range 20 {
				propose(replicas[(i+1)%len(replicas)])
			}
			r.awaitDiskFull(t, true)
			r.disk.full.Store(false)
			r.awaitDiskFull(t, false)
		}
	}
	for _, r := range replicas {
		propose(r)
	}
	want := replicas[0].appliedCommands(t)
	for _, r := range replicas {
		qt.Assert(t, r.appliedCommands(t), qt.Equals, want)
		qt.Assert(t, r.stopped, qt.HasLen, 0)
	}
	accepted := strings.Fields(want)
	for i := range n {
		qt.Assert(t, accepted, qt.Contains, fmt.Sprintf("c%d", i+1))
	}
}

// TestStoppedLeaderHandsOver stops a leader and proposes a command to another
// replica immediately.
func TestStoppedLeaderHandsOver(t *testing.T) {
	t.Parallel()
	replicas := startThree(t, t.TempDir())
	replicas[0].propose(t, 1, 1)
	term := replicas[0].Status().Term
	qt.Assert(t, replicas[0].stopAndWait(), qt.IsNil)
	qt.Assert(t, replicas[0].Status().Role, qt.Equals, waxwingseam.RoleFollower)
	qt.Assert(t, replicas[0].Status().Term, qt.Equals, term+1)
	replicas[1].propose(t, 2, 2)
}

func TestReplicaWithoutQuorumRefusesReadsAndCommands(t *testing.T) {
	t.Parallel()
	replicas := startThree(t, t.TempDir())
	replicas[0].propose(t, 1, 1)
	remaining := replicas[2]
	qt.Assert(t, replicas[0].stopAndWait(), qt.IsNil)
	qt.Assert(t, replicas[1].stopAndWait(), qt.IsNil)
	status := remaining.await(t, func(s waxwingseam.ReplicaStatus) bool { return s.Leader == "" })
	qt.Assert(t, status.Refused, qt.Equals, waxwingseam.ReasonNoQuorum)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	qt.Assert(t, waxwingseam.ReplicaReasonOf(remaining.ReadIndex(ctx)), qt.Equals, waxwingseam.ReasonNoQuorum)
	_, err := remaining.Propose(ctx, []byte("c2"))
	qt.Assert(t, waxwingseam.ReplicaReasonOf(err), qt.Equals, waxwingseam.ReasonNoQuorum)
}

// TestUnansweredConnectionIsReplaced checks that a link closes and replaces a
// connection on which its peer never answers.
func TestUnansweredConnectionIsReplaced(t *testing.T) {
	t.Parallel()
	var lc net.ListenConfig
	listener, err := lc.Listen(t.Context(), "tcp", loopback.String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	config := Config{MessageTimeout: 10 * time.Millisecond}.withDefaults()
	l := newLinks(config, waxwingseam.ReplicaIdentity{Storage: "s1"})
	defer l.close()
	l.updatePeer(waxwingseam.Member{Storage: "s2", Address: netip.MustParseAddrPort(listener.Addr().String())})
	stop := l.sendRepeatedly(waxwingseam.ReplicaMessage{To: "s2"})
	defer stop()
	for range 2 {
		conn, err := listener.Accept()
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		_, err = io.Copy(io.Discard, conn)
		qt.Assert(t, err, qt.IsNil)
	}
}

// sendRepeatedly sends a message repeatedly until stop is called.
func (l *links) sendRepeatedly(m waxwingseam.ReplicaMessage) (stop func()) {
	ticker := time.NewTicker(time.Millisecond)
	stopped := make(chan struct{})
	go func() {
		for {
			select {
			case <-ticker.C:
				l.send(m)
			case <-stopped:
				ticker.Stop()
				return
			}
		}
	}()
	return func() { close(stopped) }
}
