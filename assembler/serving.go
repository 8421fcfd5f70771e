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

	"waxwingseam.example/waxwingseam"
)

// errStopped is the cause with which the process ends in an orderly way.
var errStopped = trace.Errorf("the process was stopped")

// Serve runs the process. When stop is done, the node drains: it refuses new work
// and completes its calls. Then Serve returns. When abort is done, Serve returns
// without waiting for calls.
func (p *Process) Serve(stop, abort context.Context) error {
	ctx, cancelWithCause := context.WithCancelCause(abort)
	cancel := func() { cancelWithCause(errStopped) }
	defer cancel()
	stopMessenger := p.serveMessenger(cancel)
	group, ctx := errgroup.WithContext(ctx)
	if p.controller != nil {
		group.Go(func() error { return p.controller.Serve(ctx) })
	}
	if p.node != nil {
		group.Go(func() error { return p.subscriber.Run(ctx) })
		group.Go(func() error { return p.depositor.Serve(ctx) })
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
	err := waitUntilLimit(stop, p.settings.Process.DrainLimit, func() error {
		err := trace.NewAggregate(group.Wait(), stopMessenger())
		p.closeTracer()
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

// exitMargin is how long before the drain limit a process exits if it is still
// waiting for other processes. The last log lines are written during this time.
const exitMargin = 200 * time.Millisecond

// errConnectionsOpen means that a process exits without an orderly close of its
// connections.
var errConnectionsOpen = trace.LimitExceeded("connections were still open shortly before the drain limit")

// waitUntilLimit returns the result of wait. If wait is still running shortly
// before the limit, counted from when stop is done, it returns errConnectionsOpen;
// a limit of 0 means none. A stream that another process keeps open must not delay
// the exit.
func waitUntilLimit(stop context.Context, limit time.Duration, wait func() error) error {
	result := make(chan error, 1)
	go func() { result <- wait() }()
	var limitReached <-chan time.Time
	stopped := stop.Done()
	for {
		select {
		case err := <-result:
			return err
		case <-stopped:
			stopped = nil
			if limit > 0 {
				timer := time.NewTimer(max(limit-exitMargin, 0))
				defer timer.Stop()
				limitReached = timer.C
			}
		case <-limitReached:
			return errConnectionsOpen
		}
	}
}

// serveMessenger serves other processes until the returned function is called.
// Serve calls that function after the control role, the subscriber and the HTTP
// servers have ended, so that a replica can still hand over its leadership and a
// node can announce that it is leaving. A failure ends the process.
func (p *Process) serveMessenger(cancelProcess context.CancelFunc) (stop func() error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- p.messenger.Serve(ctx)
		cancelProcess()
	}()
	return func() error {
		cancel()
		return <-ended
	}
}

// drainMargin is how long before the drain limit a node stops waiting for its
// calls. The last answers, announcement and log lines are sent during this time.
const drainMargin = 600 * time.Millisecond

// waitForStop waits until stop is done, drains the node, and returns once the
// process may exit.
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
	drainTimer := time.NewTimer(p.settings.Process.DrainTime)
	defer drainTimer.Stop()
	var plan waxwingseam.ProcessStop
	if limit := p.settings.Process.DrainLimit; limit > 0 {
		now, left := time.Now(), max(limit-drainMargin, 0)
		plan = waxwingseam.ProcessStop{CallersUntil: now.Add(p.settings.Process.DrainTime), CallsUntil: now.Add(left)}
		bounded, cancel := context.WithTimeout(ctx, left)
		defer cancel()
		ctx = bounded
	}
	err := p.node.Drain(ctx, plan, drainTimer.C)
	sending, running := p.node.Forwarder.ActiveCalls()
	p.logger.Part("node").Info("drained", "sending", sending, "running", running, "cause", err)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

func (p *Process) closeTracer() {
	if p.tracer == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), tracerCloseTimeout)
	defer cancel()
	if err := p.tracer.Close(ctx); err != nil {
		p.logger.Part("tracer").Warn("exporting the last spans failed", "error", err)
	}
}

func (p *Process) serveNode(ctx context.Context, group *errgroup.Group) error {
	f := p.node.Forwarder
	if address := p.settings.Node.HeartbeatAddress; address.IsValid() && p.external.Heartbeats != nil {
		handler := newRefusalLogger(p.external.Heartbeats(p.depositor), p.logger.Part("heartbeats"))
		if err := p.serveChecks(ctx, group, address, handler); err != nil {
			return err
		}
	}
	if p.external.AllServices {
		if err := p.serveCallers(ctx, group, p.settings.Node.EntryAddress, p.closeConnectionsOnDrain(f.Entry())); err != nil {
			return err
		}
		return p.serveCallers(ctx, group, p.settings.Node.OutboundAddress, p.closeConnectionsOnDrain(f.Entry()))
	}
	entry := chi.NewRouter()
	entry.Get("/v1/entry-points", p.entryPoints.ServeHTTP)
	entry.NotFound(p.interests.WaitForServers(f.Entry()).ServeHTTP)
	entry.MethodNotAllowed(p.interests.WaitForServers(f.Entry()).ServeHTTP)
	if err := p.serveCallers(ctx, group, p.settings.Node.EntryAddress, p.closeConnectionsOnDrain(entry)); err != nil {
		return err
	}
	return p.serveCallers(ctx, group, p.settings.Node.OutboundAddress, p.closeConnectionsOnDrain(p.interests.WaitForServers(f.Outbound())))
}

// serveCallers serves the callers at an address until the context is done.
func (p *Process) serveCallers(ctx context.Context, group *errgroup.Group, address netip.AddrPort, handler http.Handler) error {
	listener, err := listen(ctx, address)
	if err != nil {
		return err
	}
	serveListener(ctx, group, listener, p.callerServer(handler))
	return nil
}

// closeConnectionsOnDrain returns a handler that asks callers to close their
// connections while the node drains.
func (p *Process) closeConnectionsOnDrain(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.node.Draining() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// serveReadiness serves the readiness checks of the host's platform, if the
// settings contain an address and the interface has such checks.
func (p *Process) serveReadiness(ctx context.Context, group *errgroup.Group) error {
	address := p.settings.Process.ReadinessAddress
	if !address.IsValid() || p.external.Readiness == nil {
		return nil
	}
	ready := func() bool { return p.node == nil || p.node.Ready() }
	return p.serveChecks(ctx, group, address, p.external.Readiness(ready))
}

// serveChecks serves the handler of readiness, heartbeats or metrics at an address until
// the context is done.
func (p *Process) serveChecks(ctx context.Context, group *errgroup.Group, address netip.AddrPort, handler http.Handler) error {
	listener, err := listen(ctx, address)
	if err != nil {
		return err
	}
	serveListener(ctx, group, listener, p.checkServer(handler))
	return nil
}

// httpServer is a server for one or more listeners.
type httpServer interface {
	Serve(listener net.Listener) error
	Shutdown(ctx context.Context) error
	Close() error
}

func serveListener(ctx context.Context, group *errgroup.Group, listener net.Listener, server httpServer) {
	closed := make(chan struct{})
	context.AfterFunc(ctx, func() {
		defer close(closed)
		closeServer(ctx, server)
	})
	group.Go(func() error {
		err := server.Serve(listener)
		if ctx.Err() == nil {
			return trace.Wrap(err)
		}
		<-closed
		return nil
	})
}

// stopTimeout limits how long a stopped server waits for its handlers. It is less than
// the time between drainMargin and exitMargin.
const stopTimeout = 300 * time.Millisecond

// closeServer closes a server and its connections. If the process was stopped, requests
// that were read are answered first.
func closeServer(ctx context.Context, server httpServer) {
	if errors.Is(context.Cause(ctx), errStopped) {
		limited, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		_ = server.Shutdown(limited)
	}
	_ = server.Close()
}

func listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return listener, nil
}
