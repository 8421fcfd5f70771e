package depositor

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/messenger"
)

const (
	methodHold   = "/waxwingseam.Endings/Hold"
	methodRemind = "/waxwingseam.Endings/Remind"
	methodCarry  = "/waxwingseam.Endings/Carry"
)

// Receipt is the empty answer to a message.
type Receipt struct{}

// Description describes the drpc service that a node offers to other nodes.
var Description = messenger.Description{
	{
		Name: methodHold,
		Receiver: func(service any, ctx context.Context, in, _ any) (drpc.Message, error) {
			return service.(*Depositor).Hold(ctx, in.(*waxwingseam.EndingsMessage))
		},
		Expression: (*Depositor).Hold,
	},
	{
		Name: methodRemind,
		Receiver: func(service any, ctx context.Context, in, _ any) (drpc.Message, error) {
			return service.(*Depositor).Remind(ctx, in.(*waxwingseam.EndingsMessage))
		},
		Expression: (*Depositor).Remind,
	},
	{
		Name: methodCarry,
		Receiver: func(service any, ctx context.Context, in, _ any) (drpc.Message, error) {
			return service.(*Depositor).Carry(ctx, in.(*waxwingseam.EndingsMessage))
		},
		Expression: (*Depositor).Carry,
	},
}

// Hold keeps endings for another node, and reminds the node of them.
func (d *Depositor) Hold(_ context.Context, m *waxwingseam.EndingsMessage) (*Receipt, error) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.held[m.Server]
	if !ok && len(d.held) >= maxHeldServers {
		return nil, trace.LimitExceeded("endings of %d servers are held", len(d.held))
	}
	known.node, known.until = m.Node, now.Add(remindTime)
	for _, e := range m.Endings {
		known.endings.Add(now, e)
		if !known.endings.Has(e) {
			// The clocks of the two hosts differ by more than the time for which endings are kept.
			return nil, trace.BadParameter("an ending at %v is too old to be held", e.At)
		}
	}
	d.held[m.Server] = known
	if !ok {
		go d.remind(m.Server)
	}
	return &Receipt{}, nil
}

// Remind tells this node of endings of its backend server.
func (d *Depositor) Remind(_ context.Context, m *waxwingseam.EndingsMessage) (*Receipt, error) {
	if m.Server != d.config.Self.Name {
		return nil, trace.BadParameter("the backend server is %s", d.config.Self.Name)
	}
	d.config.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.EndingsLearned{Stamp: s, Endings: m.Endings}
	})
	d.tellControl(m.Endings)
	return &Receipt{}, nil
}

// tellControl passes on what a holder has told, once each: the holders may end before the
// backend server does.
func (d *Depositor) tellControl(list []waxwingseam.Ending) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range list {
		if !d.passedOn.Add(time.Now(), e) {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), depositTime)
			defer cancel()
			if err := d.config.RecordAtControl(ctx, e); err != nil {
				// Control gets it from the node's next report.
				d.config.Logger.Info("an ending that another node held was not confirmed by control", "instance", e.Instance, "cause", err)
			}
		}()
	}
}

// Serve reminds other nodes of what is held for them until the context ends.
func (d *Depositor) Serve(ctx context.Context) error {
	defer close(d.stopped)
	<-ctx.Done()
	return nil
}

// remind sends the endings of a server to its node, until they are held for too long.
func (d *Depositor) remind(server waxwingseam.ServerName) {
	ticker := time.NewTicker(remindInterval)
	defer ticker.Stop()
	var conn Conn
	defer func() { closeConn(conn) }()
	limit := minSendTime
	for {
		select {
		case <-d.stopped:
			return
		case <-ticker.C:
		}
		m := d.reminder(server)
		if m == nil {
			return
		}
		var err error
		if conn, err = d.send(conn, m, limit); err != nil {
			// The node may be down, and is reminded again.
			d.config.Logger.Debug("reminding a node failed", "server", server, "cause", err)
			limit = min(2*limit, maxSendTime)
			continue
		}
		limit = minSendTime
	}
}

// reminder returns the message for a server's node; nil once its endings are no longer held.
func (d *Depositor) reminder(server waxwingseam.ServerName) *waxwingseam.EndingsMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.held[server]
	if time.Now().After(known.until) {
		delete(d.held, server)
		return nil
	}
	return &waxwingseam.EndingsMessage{Server: server, Node: known.node, Endings: slices.Clone(known.endings)}
}

// send sends a reminder over a connection, or a new one if it is nil, and waits for up to limit
// for each of the connection and the answer. It returns the connection to use next.
func (d *Depositor) send(conn Conn, m *waxwingseam.EndingsMessage, limit time.Duration) (Conn, error) {
	if conn == nil {
		dialCtx, cancelDial := context.WithTimeout(context.Background(), limit)
		defer cancelDial()
		var err error
		if conn, err = d.config.Dial(dialCtx, m.Node); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := conn.Invoke(ctx, methodRemind, messenger.Encoding, m, &Receipt{}); err != nil {
		closeConn(conn)
		return nil, trace.Wrap(err)
	}
	return conn, nil
}

// closeConn closes a connection in the background: that may wait for a peer that hangs.
func closeConn(conn Conn) {
	if conn != nil {
		go func() { _ = conn.Close() }()
	}
}

// invoke sends one message to another node.
func (d *Depositor) invoke(ctx context.Context, to netip.AddrPort, method string, m *waxwingseam.EndingsMessage) error {
	conn, err := d.config.Dial(ctx, to)
	if err != nil {
		return trace.Wrap(err)
	}
	defer closeConn(conn)
	return trace.Wrap(conn.Invoke(ctx, method, messenger.Encoding, m, &Receipt{}))
}
