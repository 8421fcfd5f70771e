package forwarder

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/messenger"
)

// AttemptSender sends attempts to a node, one after another, over one connection.
type AttemptSender struct {
	link *link
}

// NewAttemptSender connects to a node.
func NewAttemptSender(ctx context.Context, address netip.AddrPort) (*AttemptSender, error) {
	conn, err := messenger.Dialer{}.Dial(ctx, address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	l, err := newLink(conn)
	return &AttemptSender{link: l}, err
}

// AttemptRequest is the request of an attempt.
type AttemptRequest struct {
	Now                  time.Time
	Method, Target, Host string
	Header               http.Header
}

// Send sends the first attempt of a call and waits for its result.
func (s *AttemptSender) Send(call waxwingseam.Call, r AttemptRequest) (waxwingseam.Result, error) {
	c := newChannel(s.link.stream, 0, new(atomic.Int64), s.link)
	defer c.stop()
	o := newOpening(call, 1, r.Now)
	o.Method, o.Target, o.Host, o.Header = r.Method, r.Target, r.Host, r.Header
	if err := c.send(frame{Kind: frameOpen, Open: o, Whole: true, Digest: xxhash.Sum64(nil)}); err != nil {
		return waxwingseam.Result{}, err
	}
	f := &s.link.received
	for {
		if err := c.receive(f); err != nil {
			return waxwingseam.Result{}, err
		}
		if f.Kind == frameResult {
			return *f.Result, nil
		}
	}
}

// Close closes the connection.
func (s *AttemptSender) Close() {
	s.link.closeTransport()
}

// HostedCalls returns how many calls the node holds for its backend server.
func (f *Forwarder) HostedCalls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.hostedCalls)
}
