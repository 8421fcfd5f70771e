package depositor

import (
	"context"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/messenger"
	"waxwingseam.example/waxwingseam/publisher"
)

const (
	// storeInterval is the time between two attempts to store an ending while its report
	// waits, and laterStoreInterval afterwards. The watched replica has storeInterval before
	// others are asked.
	storeInterval      = 100 * time.Millisecond
	laterStoreInterval = 250 * time.Millisecond
	// storeTimeout bounds one attempt.
	storeTimeout = 500 * time.Millisecond
	// storeTime is how long an ending is tried to be stored. Nobody waits for it as long as
	// that, but the report is repeated, and another ending may be stated in an answer only.
	storeTime = remindTime
	// carryReplicas is how many replicas a node asks for another node: the watched one, and
	// another one if the disk of the first is full or slow.
	carryReplicas = 2
)

// incarnation identifies what an ending is of.
type incarnation struct {
	server   waxwingseam.ServerName
	instance string
	started  int64
}

func incarnationOf(server waxwingseam.ServerName, e waxwingseam.Ending) incarnation {
	key := incarnation{server: server, instance: e.Instance}
	if !e.Started.IsZero() {
		key.started = e.Started.UnixNano()
	}
	return key
}

// store has an ending stored on the disk of a control replica. The returned channel is closed
// once one has it. Reports of the same ending share the attempts.
func (d *Depositor) store(m *waxwingseam.EndingsMessage, watched recordWay) <-chan struct{} {
	key := incarnationOf(m.Server, m.Endings[0])
	d.mu.Lock()
	defer d.mu.Unlock()
	if stored, ok := d.storing[key]; ok {
		return stored
	}
	stored := make(chan struct{})
	d.storing[key] = stored
	go func() {
		began := time.Now()
		err := d.tryToStore(m, watched)
		d.mu.Lock()
		delete(d.storing, key)
		d.mu.Unlock()
		if err != nil {
			d.config.Logger.Warn("the end of a backend server was not stored by control", "server", m.Server, "instance", key.instance, "cause", err)
			return
		}
		close(stored)
		if took := time.Since(began); took > depositTime {
			d.config.Logger.Info("the end of a backend server is stored by control now", "server", m.Server, "instance", key.instance, "after", took)
		}
	}()
	return stored
}

// tryToStore tries one way after the other until one has succeeded. It does not wait for a
// way that hangs before it tries the next one. The node's own session with the watched replica,
// if any, goes on all the while.
func (d *Depositor) tryToStore(m *waxwingseam.EndingsMessage, watched recordWay) error {
	ctx, cancel := context.WithTimeout(context.Background(), storeTime)
	defer cancel()
	stored := make(chan struct{}, 1)
	try := func(way recordWay, limit time.Duration) {
		tryCtx, cancelTry := context.WithTimeout(ctx, limit)
		defer cancelTry()
		if err := way(tryCtx); err != nil {
			d.config.Logger.Debug("storing the end of a backend server failed", "server", m.Server, "cause", err)
			return
		}
		select {
		case stored <- struct{}{}:
		default:
		}
	}
	began, interval := time.Now(), storeInterval
	timer := time.NewTimer(0)
	defer timer.Stop()
	if watched != nil {
		go try(watched, storeTime)
		timer.Reset(interval)
	}
	for n := 0; ; n++ {
		select {
		case <-stored:
			return nil
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		case <-d.stopped:
			return trace.ConnectionProblem(nil, "the process stops")
		case <-timer.C:
		}
		if way := d.storeWay(m, n); way != nil {
			go try(way, storeTimeout)
		}
		if time.Since(began) > depositTime {
			interval = laterStoreInterval
		}
		timer.Reset(interval)
	}
}

// storeWay returns the way of the nth attempt to store endings: control replicas in turn, and
// after each of them another node, which may reach control while this one does not.
func (d *Depositor) storeWay(m *waxwingseam.EndingsMessage, n int) recordWay {
	replicas, connected := d.config.Replicas()
	holders := d.holders(m.Server)
	if n%2 == 1 && len(holders) > 0 {
		return func(ctx context.Context) error {
			return d.invoke(ctx, holders[n/2%len(holders)], methodCarry, m)
		}
	}
	if len(replicas) == 0 {
		return nil
	}
	at := n / 2
	if connected && m.Server == d.config.Self.Name {
		// The session with the first one is a way of its own.
		at++
	}
	return func(ctx context.Context) error { return d.storeAt(ctx, replicas[at%len(replicas)], m) }
}

// storeAt has a control replica store endings.
func (d *Depositor) storeAt(ctx context.Context, replica netip.AddrPort, m *waxwingseam.EndingsMessage) error {
	conn, err := d.config.Dial(ctx, replica)
	if err != nil {
		return trace.Wrap(err)
	}
	defer closeConn(conn)
	return trace.Wrap(conn.Invoke(ctx, publisher.StoreEndingsMethod, messenger.Encoding, m, &publisher.EndingsStored{}))
}

// Carry has control store endings for another node, which does not reach control.
func (d *Depositor) Carry(ctx context.Context, m *waxwingseam.EndingsMessage) (*Receipt, error) {
	replicas, connected := d.config.Replicas()
	if !connected {
		return nil, trace.ConnectionProblem(nil, "no control replica is in reach")
	}
	var failures []error
	for _, replica := range replicas[:min(len(replicas), carryReplicas)] {
		limited, cancel := context.WithTimeout(ctx, storeTimeout/carryReplicas)
		err := d.storeAt(limited, replica, m)
		cancel()
		if err == nil {
			return &Receipt{}, nil
		}
		failures = append(failures, err)
	}
	return nil, trace.NewAggregate(failures...)
}
