package forwarder

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/messenger"
)

const (
	// accountTimeout limits how long the sending of a message about client accounts may
	// take. The limiter sends again what is not answered.
	accountTimeout = 500 * time.Millisecond
	// accountSenders limits the connections over which one message is sent to many nodes at
	// the same time.
	accountSenders = 32
)

// accountMessage is a message about client accounts.
type accountMessage struct {
	Message []byte `cbor:"1,keyasint"`
}

// accountReceipt is the empty answer to a message about client accounts.
type accountReceipt struct{}

// sendAccountMessage carries out a SendAccountMessage. A message to many nodes leaves no
// connections behind, as a node may have fewer descriptors than there are nodes.
func (f *Forwarder) sendAccountMessage(e waxwingseam.SendAccountMessage) {
	m := &accountMessage{Message: e.Message}
	if len(e.To) <= accountSenders {
		for _, node := range e.To {
			go f.sendAccountTo(node, m, f.invoke)
		}
		return
	}
	var next atomic.Int64
	for range accountSenders {
		go func() {
			for i := next.Add(1) - 1; i < int64(len(e.To)); i = next.Add(1) - 1 {
				f.sendAccountTo(e.To[i], m, f.invokeOnce)
			}
		}()
	}
}

// sendAccountTo sends a message to one node, and again if its connection had been closed:
// the message may have been delivered twice then, which the limiter allows for. If nothing
// listens at the node's address, its process has ended.
func (f *Forwarder) sendAccountTo(node netip.AddrPort, m *accountMessage, invoke func(waxwingseam.Server, string, any, any, time.Duration) error) {
	to := waxwingseam.Server{Node: node}
	err := invoke(to, methodAccount, m, &accountReceipt{}, accountTimeout)
	if err != nil && !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, syscall.ECONNREFUSED) {
		err = invoke(to, methodAccount, m, &accountReceipt{}, accountTimeout)
	}
	if err == nil {
		return
	}
	f.config.Logger.Debug("a message about client accounts was not delivered", "node", node, "cause", err)
	if errors.Is(err, syscall.ECONNREFUSED) {
		f.config.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
			return waxwingseam.AccountMessageRefused{Stamp: s, To: node}
		})
	}
}

// invokeOnce calls a method of another node over a connection of its own.
func (f *Forwarder) invokeOnce(to waxwingseam.Server, method string, question, answer any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	conn, err := f.dial(ctx, to.Node)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	return trace.Wrap(conn.Invoke(ctx, method, messenger.Encoding, question, answer))
}

// Account reports a message of another node about client accounts.
func (n *nodeService) Account(_ context.Context, m *accountMessage) (*accountReceipt, error) {
	n.forwarder.config.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.AccountMessageReceived{Stamp: s, Message: m.Message}
	})
	return &accountReceipt{}, nil
}
