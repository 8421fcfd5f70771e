package proposer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/messenger"
)

// ledger is a state machine that lists the commands it was given.
type ledger struct {
	mu       sync.Mutex
	commands []string
}

func (l *ledger) Apply(_ waxwingseam.LogIndex, command []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands = append(l.commands, string(command))
	return fmt.Appendf(nil, "%d", len(l.commands))
}

func (l *ledger) Snapshot() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return json.Marshal(l.commands)
}

func (l *ledger) Restore(data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands = nil
	return json.Unmarshal(data, &l.commands)
}

func (l *ledger) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.commands, " ")
}

// replica is one replica under test, with its own listener.
type replica struct {
	waxwingseam.Proposer
	config  Config
	ledger  *ledger
	stop    context.CancelFunc
	stopped chan error
}

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// start runs a replica on a folder. One without join addresses is initialized
// where its folder is new.
func start(t testing.TB, folder, name string, address netip.AddrPort, join ...netip.AddrPort) *replica {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	server, err := messenger.Listen(ctx, messenger.ServerConfig{Address: address})
	qt.Assert(t, err, qt.IsNil)
	r := &replica{ledger: &ledger{}, stop: stop, stopped: make(chan error, 1)}
	r.config = Config{
		DataFolder:     filepath.Join(folder, name),
		Self:           waxwingseam.ReplicaID(name),
		Address:        server.Address(),
		Join:           join,
		Voter:          true,
		LeaderTimeout:  time.Minute,
		RequestTimeout: time.Minute,
		Messenger:      server,
		Applier:        r.ledger,
	}
	if len(join) == 0 {
		_, _ = Initialize(r.config)
	}
	r.Proposer, err = New(r.config)
	qt.Assert(t, err, qt.IsNil)
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve(ctx) })
	go func() {
		err := r.Serve(ctx)
		stop()
		serving.Wait()
		r.stopped <- err
	}()
	t.Cleanup(r.kill)
	return r
}

// kill stops a replica and waits for its end.
func (r *replica) kill() {
	r.stop()
	r.stopped <- <-r.stopped
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

func voters(n int) func(waxwingseam.ReplicaStatus) bool {
	return func(s waxwingseam.ReplicaStatus) bool {
		voting := 0
		for _, m := range s.Members {
			if m.Voter {
				voting++
			}
		}
		return voting == n && s.Leader != ""
	}
}

// propose has commands accepted and checks each answer.
func (r *replica) propose(t testing.TB, from, to int) {
	t.Helper()
	for i := from; i <= to; i++ {
		answer, err := r.Propose(t.Context(), fmt.Appendf(nil, "c%d", i))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(answer), qt.Equals, fmt.Sprint(i))
	}
}

// trio starts three replicas of a new cluster, all of them voters.
func trio(t testing.TB, folder string) []*replica {
	t.Helper()
	a := start(t, folder, "a", loopback)
	b := start(t, folder, "b", loopback, a.config.Address)
	c := start(t, folder, "c", loopback, a.config.Address)
	for _, r := range []*replica{a, b, c} {
		r.await(t, voters(3))
	}
	return []*replica{a, b, c}
}

func TestSingleReplicaKeepsCommandsOverRestart(t *testing.T) {
	folder := t.TempDir()
	r := start(t, folder, "a", loopback)
	r.propose(t, 1, 3)
	r.kill()
	r = start(t, folder, "a", r.config.Address)
	qt.Assert(t, r.ReadIndex(t.Context()), qt.IsNil)
	qt.Assert(t, r.ledger.String(), qt.Equals, "c1 c2 c3")
	r.propose(t, 4, 4)
}

func TestThreeReplicasSurviveTheLeader(t *testing.T) {
	replicas := trio(t, t.TempDir())
	replicas[1].propose(t, 1, 5)
	leader := replicas[0]
	qt.Assert(t, leader.Status().Role, qt.Equals, waxwingseam.RoleLeader)
	leader.kill()
	replicas[1].propose(t, 6, 9)
	for _, r := range replicas[1:] {
		qt.Assert(t, r.ReadIndex(t.Context()), qt.IsNil)
		qt.Assert(t, r.ledger.String(), qt.Equals, "c1 c2 c3 c4 c5 c6 c7 c8 c9")
	}
}
