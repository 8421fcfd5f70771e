// Package founder lets control grant the founding of a service's view, in which
// callers' keys are claimed, to one life only. After the loss of all nodes of a
// service nobody is granted it again, so that no key runs a second time because
// its claim was forgotten.
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

// method is the drpc path of Found.
const method = "/waxwingseam.Control/Found"

// Log is the replicated log of control.
type Log interface {
	Propose(ctx context.Context, command []byte) (answer []byte, err error)
}

// Config holds the parts of a founder.
type Config struct {
	Log    Log
	Logger *slog.Logger
}

// Founder grants foundings at a control replica.
type Founder interface {
	// Found decides on a founding; it is the same for a question asked again.
	Found(ctx context.Context, q *historian.Founding) (*Grant, error)
}

// Grant is the answer to a founding.
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

// New returns a founder on a replicated log.
func New(config Config) Founder {
	return &founder{config: config}
}

// Found implements Founder.
func (f *founder) Found(ctx context.Context, q *historian.Founding) (*Grant, error) {
	if err := vouch(ctx, q); err != nil {
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
	f.config.Logger.Info("founding answered", "service", q.Service, "server", q.Incarnation.Name, "granted", granted)
	return &Grant{Granted: granted}, nil
}

// vouch checks that a node asks for its own life.
func vouch(ctx context.Context, q *historian.Founding) error {
	id, plain, err := authenticator.PeerIdentity(ctx)
	if plain || err != nil {
		return err
	}
	if id.Name != string(q.Incarnation.Name) {
		return trace.AccessDenied("%s asks for %s", id.Name, q.Incarnation.Name)
	}
	return nil
}

// Client asks control replicas for a founding.
type Client struct {
	Control []netip.AddrPort
	Dialer  messenger.Dialer
}

// Ask reports whether a life may found the view of its service. Without an
// answer it may not.
func (c Client) Ask(ctx context.Context, e waxwingseam.AskFounding) bool {
	question := &historian.Founding{Service: e.Service, Incarnation: e.Incarnation}
	for n, address := range c.Control {
		if grant, err := c.askInShare(ctx, address, question, len(c.Control)-n); err == nil {
			return grant.Granted
		}
	}
	return false
}

// askInShare asks one replica for its share of the time left, so that a silent
// one leaves time for the others.
func (c Client) askInShare(ctx context.Context, address netip.AddrPort, q *historian.Founding, shares int) (*Grant, error) {
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
