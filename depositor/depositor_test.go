package depositor_test

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/depositor"
	"waxwingseam.example/waxwingseam/messenger"
	"waxwingseam.example/waxwingseam/publisher"
	"waxwingseam.example/waxwingseam/registrar"
)

// waitTimeout is how long a test waits for a value before it fails.
const waitTimeout = 20 * time.Second

var errDown = errors.New("control is out of reach")

// node is a depositor with its drpc server. Its events are collected.
type node struct {
	*depositor.Depositor
	self   waxwingseam.Server
	events chan waxwingseam.Event
	// atControl receives the endings that are sent to control.
	atControl chan waxwingseam.Ending
	stop      func()
	// handshake is how long a connection to another node takes.
	handshake time.Duration
	// replicas are the control replicas that the node reaches.
	replicas atomic.Pointer[[]netip.AddrPort]
}

// reach sets the control replicas that the node reaches.
func (n *node) reach(replicas ...*replica) {
	list := make([]netip.AddrPort, len(replicas))
	for i, r := range replicas {
		list[i] = r.address
	}
	n.replicas.Store(&list)
}

// replica is a control replica that stores endings unless its disk is full.
type replica struct {
	publisher.Publisher
	address netip.AddrPort
	full    bool
	stored  chan waxwingseam.EndingsMessage
}

func startReplica(t *testing.T, full bool) *replica {
	server, err := messenger.Listen(t.Context(), messenger.ServerConfig{Address: netip.MustParseAddrPort("127.0.0.1:0")})
	qt.Assert(t, err, qt.IsNil)
	r := &replica{address: server.Address(), full: full, stored: make(chan waxwingseam.EndingsMessage, 64)}
	qt.Assert(t, server.Register(r, publisher.Description), qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return r
}

// StoreEndings implements publisher.Publisher.
func (r *replica) StoreEndings(ctx context.Context, m *waxwingseam.EndingsMessage) (*publisher.EndingsStored, error) {
	if r.full {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	r.stored <- *m
	return &publisher.EndingsStored{}, nil
}

// startNode starts a node at an address. Its reducer records each ending that is reported.
func startNode(t *testing.T, self waxwingseam.Server, atControl error, others ...*node) *node {
	server, err := messenger.Listen(t.Context(), messenger.ServerConfig{Address: self.Node})
	qt.Assert(t, err, qt.IsNil)
	self.Node = server.Address()
	n := &node{self: self, events: make(chan waxwingseam.Event, 1024), atControl: make(chan waxwingseam.Ending, 16)}
	n.reach()
	n.Depositor = depositor.New(depositor.Config{
		Self: self,
		Servers: func() []waxwingseam.Server {
			list := make([]waxwingseam.Server, 0, 1+len(others))
			list = append(list, self)
			for _, other := range others {
				list = append(list, other.self)
			}
			return list
		},
		RecordAtControl: func(_ context.Context, e waxwingseam.Ending) error { n.atControl <- e; return atControl },
		Replicas: func() (replicas []netip.AddrPort, connected bool) {
			replicas = *n.replicas.Load()
			return replicas, len(replicas) > 0
		},
		Dial: func(ctx context.Context, address netip.AddrPort) (depositor.Conn, error) {
			select {
			case <-time.After(n.handshake):
			case <-ctx.Done():
				return nil, ctx.Err()
			}
			return messenger.Dialer{}.Dial(ctx, address)
		},
		Step: func(build func(waxwingseam.Stamp) waxwingseam.Event) {
			e := build(waxwingseam.Stamp{})
			n.events <- e
			if v, ok := e.(waxwingseam.BackendReported); ok {
				n.Execute(waxwingseam.RecordEnding{Request: v.Request, Ending: waxwingseam.Ending{
					Instance: v.Report.Instance, Started: v.Report.Started, At: time.Now(),
				}})
			}
		},
		Logger: slog.New(slog.DiscardHandler),
	})
	qt.Assert(t, server.Register(n.Depositor, depositor.Description), qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx)
	}()
	go func() { _ = n.Serve(ctx) }()
	n.stop = func() { cancel(); <-done }
	t.Cleanup(n.stop)
	return n
}

func newSelf(name waxwingseam.ServerName) waxwingseam.Server {
	return waxwingseam.Server{Name: name, Service: "fees", Node: netip.MustParseAddrPort("127.0.0.1:0")}
}

var left = waxwingseam.BackendReport{Instance: "i-1", State: waxwingseam.BackendGone, Started: time.UnixMilli(1_700_000_000_123)}

// TestEndingIsAcknowledgedUnheld guards against an acknowledgement of a leave that nobody but
// nodes know, which have no disk, and against a leave that needs a node although control has it.
func TestEndingIsAcknowledgedUnheld(t *testing.T) {
	holder := startNode(t, newSelf("fees-2"), nil)
	for _, v := range []struct {
		name      string
		atControl error
		others    []*node
		recorded  bool
	}{
		{"control and a node", nil, []*node{holder}, true},
		{"control alone", nil, nil, true},
		{"a node alone", errDown, []*node{holder}, false},
		{"nobody", errDown, nil, false},
	} {
		t.Run(v.name, func(t *testing.T) {
			n := startNode(t, newSelf("fees-1"), v.atControl, v.others...)
			err := n.Report(t.Context(), left)
			qt.Assert(t, err == nil, qt.Equals, v.recorded, qt.Commentf("%v", err))
		})
	}
}

// TestAcknowledgedLeaveIsOnNoDisk guards against the loss of an acknowledged leave with the
// nodes that hold it, and against one that stays unacknowledged although a control replica can
// store it: one that the node does not watch, or that only another node reaches.
func TestAcknowledgedLeaveIsOnNoDisk(t *testing.T) {
	for _, v := range []struct {
		name string
		// full says of each replica that the node reaches whether its disk is full.
		full []bool
		// carried is set if another node reaches a replica.
		carried  bool
		recorded bool
	}{
		{"no replica in reach", nil, false, false},
		{"all disks full", []bool{true, true}, false, false},
		{"one disk full", []bool{true, false}, false, true},
		{"another node reaches control", nil, true, true},
	} {
		for _, state := range []waxwingseam.BackendState{waxwingseam.BackendDraining, waxwingseam.BackendGone} {
			t.Run(v.name+", "+state.String(), func(t *testing.T) {
				holder := startNode(t, newSelf("fees-2"), errDown)
				n := startNode(t, newSelf("fees-1"), errDown, holder)
				reached := make([]*replica, len(v.full))
				for i, full := range v.full {
					reached[i] = startReplica(t, full)
				}
				n.reach(reached...)
				if v.carried {
					holder.reach(startReplica(t, false))
				}
				report := left
				report.State = state
				err := n.Report(t.Context(), report)
				qt.Assert(t, err == nil, qt.Equals, v.recorded, qt.Commentf("%v", err))
				// Control is back, and the report is sent again.
				n.reach(startReplica(t, false))
				qt.Assert(t, n.Report(t.Context(), report), qt.IsNil)
			})
		}
	}
}

// TestLeaveAtAnotherNodeIsOnNoDisk guards against the loss of a leave that another node
// acknowledges: without control it would be lost with the nodes.
func TestLeaveAtAnotherNodeIsOnNoDisk(t *testing.T) {
	beside := startNode(t, newSelf("fees-1"), errDown)
	beside.self.Instance, beside.self.Started = left.Instance, left.Started
	another := startNode(t, newSelf("fees-2"), errDown, beside)
	qt.Assert(t, another.Report(t.Context(), left), qt.ErrorMatches, ".*control has not stored.*")
	control := startReplica(t, false)
	another.reach(control)
	qt.Assert(t, another.Report(t.Context(), left), qt.IsNil)
	stored := <-control.stored
	qt.Assert(t, stored.Server, qt.Equals, beside.self.Name)
	qt.Assert(t, stored.Endings[0].Instance, qt.Equals, left.Instance)
}

// TestStatedLeaveIsOnNoDisk guards against the loss of a leave that a backend server states in
// an answer only: nobody repeats it when control is back.
func TestStatedLeaveIsOnNoDisk(t *testing.T) {
	n := startNode(t, newSelf("fees-1"), errDown, startNode(t, newSelf("fees-2"), errDown))
	n.Execute(waxwingseam.RecordEnding{Ending: waxwingseam.Ending{Instance: left.Instance, Started: left.Started, At: time.Now()}})
	<-n.atControl
	control := startReplica(t, false)
	n.reach(control)
	select {
	case m := <-control.stored:
		qt.Assert(t, m.Endings[0].Instance, qt.Equals, left.Instance)
	case <-time.After(waitTimeout):
		t.Fatal("control was not told")
	}
}

// TestStartedNodeIsNotReminded guards against a node that restarts beside a server that has
// left, without control, and receives nothing from any holder.
func TestStartedNodeIsNotReminded(t *testing.T) {
	holder := startNode(t, newSelf("fees-2"), nil)
	n := startNode(t, newSelf("fees-1"), errDown, holder)
	n.reach(startReplica(t, false))
	qt.Assert(t, n.Report(t.Context(), left), qt.IsNil)
	n.stop()
	again := newSelf("fees-1")
	again.Node = n.self.Node
	n = startNode(t, again, errDown)
	select {
	case e := <-n.events:
		learned, ok := e.(waxwingseam.EndingsLearned)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, learned.Endings, qt.HasLen, 1)
		qt.Assert(t, learned.Endings[0].Instance, qt.Equals, left.Instance)
		qt.Assert(t, learned.Endings[0].Started.Equal(left.Started), qt.IsTrue)
		qt.Assert(t, learned.Complete, qt.IsFalse)
	case <-time.After(waitTimeout):
		t.Fatal("no holder told the node")
	}
}

// TestControlIsNotToldOfHeldEnding guards against an ending that only other nodes hold, as
// control was down when the server left: it would be lost with them.
func TestControlIsNotToldOfHeldEnding(t *testing.T) {
	n := startNode(t, newSelf("fees-1"), nil)
	ending := waxwingseam.Ending{Instance: left.Instance, Started: left.Started, At: time.Now()}
	message := &waxwingseam.EndingsMessage{Server: "fees-1", Endings: []waxwingseam.Ending{ending}}
	_, err := n.Remind(t.Context(), message)
	qt.Assert(t, err, qt.IsNil)
	select {
	case e := <-n.atControl:
		qt.Assert(t, e.Started.Equal(ending.Started), qt.IsTrue)
	case <-time.After(waitTimeout):
		t.Fatal("control was not told")
	}
}

// TestLeaveAtAnotherNodeIsIgnored guards against a leave that another node acknowledges and
// keeps to itself, after the node beside the server did not: the server would stay in use.
func TestLeaveAtAnotherNodeIsIgnored(t *testing.T) {
	beside := startNode(t, newSelf("fees-1"), nil)
	beside.self.Instance, beside.self.Started = left.Instance, left.Started
	another := startNode(t, newSelf("fees-2"), errDown, beside)
	control := startReplica(t, false)
	another.reach(control)
	leave := left
	leave.Started = time.Time{}
	qt.Assert(t, another.Report(t.Context(), leave), qt.IsNil)
	qt.Assert(t, another.events, qt.HasLen, 0)
	select {
	case e := <-beside.events:
		learned, ok := e.(waxwingseam.EndingsLearned)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, learned.Endings[0].Started.Equal(left.Started), qt.IsTrue)
	case <-time.After(waitTimeout):
		t.Fatal("the node beside the server was not told")
	}
}

// TestSlowNodeIsNeverReminded guards against a holder that gives a connection up before the
// handshake with a far or busy host can end, each time anew: the restarted node would never
// learn of the ending.
func TestSlowNodeIsNeverReminded(t *testing.T) {
	n := startNode(t, newSelf("fees-1"), errDown)
	holder := startNode(t, newSelf("fees-2"), errDown)
	holder.handshake = 600 * time.Millisecond
	_, err := holder.Hold(t.Context(), &waxwingseam.EndingsMessage{
		Server: "fees-1", Node: n.self.Node,
		Endings: []waxwingseam.Ending{{Instance: left.Instance, Started: left.Started, At: time.Now()}},
	})
	qt.Assert(t, err, qt.IsNil)
	select {
	case <-n.events:
	case <-time.After(waitTimeout):
		t.Fatal("the holder never told the node")
	}
}

// TestHolderDropsWhatItAcknowledged guards against a holder whose clock is far ahead: it
// answered that it holds an ending that it had dropped as old.
func TestHolderDropsWhatItAcknowledged(t *testing.T) {
	holder := startNode(t, newSelf("fees-2"), errDown)
	_, err := holder.Hold(t.Context(), &waxwingseam.EndingsMessage{
		Server: "fees-1", Node: holder.self.Node,
		Endings: []waxwingseam.Ending{{Instance: left.Instance, Started: left.Started, At: time.Now().Add(-2 * registrar.EndingTime)}},
	})
	qt.Assert(t, err, qt.ErrorMatches, ".*too old to be held.*")
}
