package assembler

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"waxwingseam.example/waxwingseam/forwarder"
)

// Serve runs the process. When stop ends, the node drains: it refuses new work
// and ends its calls. When abort ends, the process leaves at once.
func (p *Process) Serve(stop, abort context.Context) error {
	ctx, cancel := context.WithCancel(abort)
	defer cancel()
	hangUp := p.serveMessenger(cancel)
	group, ctx := errgroup.WithContext(ctx)
	if p.controller != nil {
		group.Go(func() error { return p.controller.Serve(ctx) })
	}
	if p.node != nil {
		group.Go(func() error { return p.subscriber.Run(ctx) })
		if err := p.serveNode(ctx, group); err != nil {
			return err
		}
	}
	if err := p.serveTelemetry(ctx, group); err != nil {
		return err
	}
	if err := p.serveReadiness(ctx, group); err != nil {
		return err
	}
	p.logger.Part("process").Info("ready", "peer-address", p.messenger.Address())
	group.Go(func() error {
		defer cancel()
		return p.waitForStop(ctx, stop)
	})
	err := beforeKill(stop, p.settings.Process.DrainLimit, func() error {
		err := trace.NewAggregate(group.Wait(), hangUp())
		p.close()
		return err
	})
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	p.logger.Part("process").Info("stopped", "cause", err)
	if errors.Is(err, errConnectionsOpen) {
		return nil
	}
	return trace.Wrap(err)
}

// exitMargin is how long before the limit a process exits that still waits for
// others: the last log lines go out in it.
const exitMargin = 200 * time.Millisecond

// errConnectionsOpen says that a process left without closing its connections
// in order.
var errConnectionsOpen = trace.LimitExceeded("connections were still open shortly before the kill")

// beforeKill returns what leave returns, or errConnectionsOpen shortly before
// the limit after the request to stop, 0 for no limit. A stream that another
// process does not end must not keep this one.
func beforeKill(stop context.Context, limit time.Duration, leave func() error) error {
	left := make(chan error, 1)
	go func() { left <- leave() }()
	var kill <-chan time.Time
	stopped := stop.Done()
	for {
		select {
		case err := <-left:
			return err
		case <-stopped:
			stopped = nil
			if limit > 0 {
				timer := time.NewTimer(max(limit-exitMargin, 0))
				defer timer.Stop()
				kill = timer.C
			}
		case <-kill:
			return errConnectionsOpen
		}
	}
}

// serveMessenger serves other processes until the returned function is called,
// so that a replica can still hand over and a node announce that it leaves. A
// failure ends the process.
func (p *Process) serveMessenger(fail context.CancelFunc) (hangUp func() error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- p.messenger.Serve(ctx)
		fail()
	}()
	return func() error {
		cancel()
		return <-ended
	}
}

// drainMargin is how long before the limit a draining process leaves: the last
// answers, the announcement and the logs go out in it.
const drainMargin = 600 * time.Millisecond

// waitForStop returns once the process may leave.
func (p *Process) waitForStop(ctx, stop context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-stop.Done():
	}
	if p.node == nil {
		return nil
	}
	p.logger.Part("node").Info("draining")
	linger := time.NewTimer(p.settings.Process.DrainTime)
	defer linger.Stop()
	if limit := p.settings.Process.DrainLimit; limit > 0 {
		bounded, cancel := context.WithTimeout(ctx, max(limit-drainMargin, 0))
		defer cancel()
		ctx = bounded
	}
	err := p.node.Drain(ctx, linger.C)
	sending, running := p.node.Forwarder.ActiveCalls()
	p.logger.Part("node").Info("drained", "sending", sending, "running", running, "cause", err)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

func (p *Process) close() {
	if p.tracer == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := p.tracer.Close(ctx); err != nil {
		p.logger.Part("tracer").Warn("last spans are lost", "error", err)
	}
}

func (p *Process) serveNode(ctx context.Context, group *errgroup.Group) error {
	f := p.node.Forwarder
	if address := p.settings.Node.HeartbeatAddress; address.IsValid() && p.outside.Heartbeats != nil {
		handler := refusals{next: p.outside.Heartbeats(p.node), logger: p.logger.Part("heartbeats")}
		if err := serveHTTP(ctx, group, address, handler); err != nil {
			return err
		}
	}
	if p.outside.AllServices {
		if err := serveHTTP(ctx, group, p.settings.Node.EntryAddress, p.leaving(f.Entry())); err != nil {
			return err
		}
		return serveHTTP(ctx, group, p.settings.Node.OutboundAddress, p.leaving(f.Entry()))
	}
	entry := chi.NewRouter()
	entry.Get("/v1/entry-points", p.entries.ServeHTTP)
	entry.NotFound(p.interests.Hold(f.Entry()).ServeHTTP)
	entry.MethodNotAllowed(p.interests.Hold(f.Entry()).ServeHTTP)
	if err := serveHTTP(ctx, group, p.settings.Node.EntryAddress, entry); err != nil {
		return err
	}
	return serveHTTP(ctx, group, p.settings.Node.OutboundAddress, p.interests.Hold(f.Outbound()))
}

// leaving asks callers to close their connections while the node drains.
func (p *Process) leaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.node.Draining() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// serveReadiness answers the host's platform, where the settings name an address.
func (p *Process) serveReadiness(ctx context.Context, group *errgroup.Group) error {
	address := p.settings.Process.ReadinessAddress
	if !address.IsValid() || p.outside.Readiness == nil {
		return nil
	}
	ready := func() bool { return p.node == nil || p.node.Ready() }
	return serveHTTP(ctx, group, address, p.outside.Readiness(ready))
}

// serveHTTP serves a handler until the context ends.
func serveHTTP(ctx context.Context, group *errgroup.Group, address netip.AddrPort, handler http.Handler) error {
	listener, err := listen(ctx, address)
	if err != nil {
		return err
	}
	server := forwarder.NewServer(handler)
	context.AfterFunc(ctx, func() { _ = server.Close() })
	group.Go(func() error {
		if err := server.Serve(listener); ctx.Err() == nil {
			return trace.Wrap(err)
		}
		return nil
	})
	return nil
}

func listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return listener, nil
}
