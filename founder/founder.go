// Package founder lets control grant the founding of a service's view, in which
// callers' keys are claimed, to a single server incarnation. After the loss of
// all nodes of a service no other incarnation is granted it, since a new view
// would lack the old claims and a key could run a second time.
package founder

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/authenticator"
	"waxwingseam.example/waxwingseam/historian"
	"waxwingseam.example/waxwingseam/messenger"
)

// method is the drpc path of Founder.Found.
const method = "/waxwingseam.Control/Found"

// Log is the replicated log of control.
type Log interface {
	Propose(ctx context.Context, command []byte) (answer []byte, err error)
}

// Config holds the dependencies of a founder. Log receives the foundings as
// commands, and Logger logs each decision; both are required.
type Config struct {
	Log    Log
	Logger *slog.Logger
}

// Founder decides at a control replica which server incarnation may found the
// view of its service.
type Founder interface {
	// Found decides on a founding. A repeated request has the same result.
	Found(ctx context.Context, q *historian.Founding) (*Grant, error)
}

// Grant is the answer to a request for a founding.
type Grant struct {
	Granted bool `cbor:"1,keyasint"`
}

// Description describes the drpc service of a founder.
var Description = messenger.Description{{
	Name: method,
	Receiver: func(service any, ctx context.Context, in, _ any) (drpc.Message, error) {
		return service.(Founder).Found(ctx, in.(*historian.Founding))
	},
	Expression: Founder.Found,
}}

type founder struct {
	config Config
}

// New returns a founder that proposes to a replicated log.
func New(config Config) Founder {
	return &founder{config: config}
}

// Found implements Founder.
func (f *founder) Found(ctx context.Context, q *historian.Founding) (*Grant, error) {
	if err := verifyIdentity(ctx, q); err != nil {
		return nil, err
	}
	command, err := historian.Encode(historian.Command{Founding: q})
	if err != nil {
		return nil, err
	}
	data, err := f.config.Log.Propose(ctx, command)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	answer, err := historian.DecodeAnswer(data)
	if err != nil {
		return nil, err
	}
	granted := answer.Verdict == historian.VerdictAccepted || answer.Verdict == historian.VerdictUnchanged
	f.config.Logger.Info("decided on a founding request", "service", q.Service, "server", q.Incarnation.Name, "granted", granted)
	return &Grant{Granted: granted}, nil
}

// verifyIdentity checks that a node on a protected connection requests the
// founding for itself.
func verifyIdentity(ctx context.Context, q *historian.Founding) error {
	id, plain, err := authenticator.PeerIdentity(ctx)
	if plain || err != nil {
		return err
	}
	if id.Name != string(q.Incarnation.Name) {
		return trace.AccessDenied("%s asks for %s", id.Name, q.Incarnation.Name)
	}
	return nil
}

// Client requests foundings from control replicas.
type Client struct {
	Control []netip.AddrPort
	Dialer  messenger.Dialer
}

// Ask reports whether a server incarnation may found the view of its service.
// It returns false if no control replica answers.
func (c Client) Ask(ctx context.Context, e waxwingseam.AskFounding) bool {
	request := &historian.Founding{Service: e.Service, Incarnation: e.Incarnation}
	for n, address := range c.Control {
		if grant, err := c.askWithinShare(ctx, address, request, len(c.Control)-n); err == nil {
			return grant.Granted
		}
	}
	return false
}

// askWithinShare asks one replica and waits for at most an equal share of the
// time left, so that an unresponsive replica leaves time for the others.
func (c Client) askWithinShare(ctx context.Context, address netip.AddrPort, q *historian.Founding, shares int) (*Grant, error) {
	if deadline, ok := ctx.Deadline(); ok {
		share, cancel := context.WithTimeout(ctx, time.Until(deadline)/time.Duration(shares))
		defer cancel()
		ctx = share
	}
	return c.ask(ctx, address, q)
}

func (c Client) ask(ctx context.Context, address netip.AddrPort, q *historian.Founding) (*Grant, error) {
	conn, err := c.Dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	grant := &Grant{}
	if err := conn.Invoke(ctx, method, messenger.Encoding, q, grant); err != nil {
		return nil, trace.Wrap(err)
	}
	return grant, nil
}
