package soaker

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// direction is one of the two ways through a relay.
type direction uint8

const (
	toTarget direction = iota
	toCaller
)

// relay passes connections on to a target, and delays, holds or resets them.
type relay struct {
	listener net.Listener
	target   netip.AddrPort

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	delay time.Duration
	// held holds, for each direction, what is closed once bytes pass again; nil
	// while they pass.
	held [2]chan struct{}
}

// listenRelay starts a relay on a free port of loopback.
func listenRelay(ctx context.Context, target netip.AddrPort) (*relay, error) {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	r := &relay{listener: listener, target: target, conns: map[net.Conn]struct{}{}}
	context.AfterFunc(ctx, func() {
		_ = listener.Close()
		r.reset()
	})
	go r.accept(ctx)
	return r, nil
}

func (r *relay) address() netip.AddrPort {
	return netip.MustParseAddrPort(r.listener.Addr().String())
}

func (r *relay) accept(ctx context.Context) {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(ctx, conn)
	}
}

func (r *relay) serve(ctx context.Context, caller net.Conn) {
	defer r.drop(caller)
	r.add(caller)
	var dialer net.Dialer
	target, err := dialer.DialContext(ctx, "tcp", r.target.String())
	if err != nil {
		return
	}
	defer r.drop(target)
	r.add(target)
	var group sync.WaitGroup
	group.Go(func() { r.pass(toTarget, target, caller) })
	group.Go(func() { r.pass(toCaller, caller, target) })
	group.Wait()
}

// pass copies one direction until it ends, and passes on its end.
func (r *relay) pass(way direction, to, from net.Conn) {
	chunk := make([]byte, 32<<10)
	for {
		n, err := from.Read(chunk)
		r.wait(way)
		if n > 0 {
			if _, err := to.Write(chunk[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// wait returns once bytes may pass in a direction.
func (r *relay) wait(way direction) {
	r.mu.Lock()
	held, delay := r.held[way], r.delay
	r.mu.Unlock()
	if held != nil {
		<-held
	}
	time.Sleep(delay)
}

func (r *relay) add(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[conn] = struct{}{}
}

func (r *relay) drop(conn net.Conn) {
	_ = conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
}

// reset resets all connections.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// hold lets no bytes pass in some directions for a time.
func (r *relay) hold(d time.Duration, ways ...direction) {
	open := make(chan struct{})
	r.mu.Lock()
	for _, way := range ways {
		r.held[way] = open
	}
	r.mu.Unlock()
	time.Sleep(d)
	r.mu.Lock()
	for _, way := range ways {
		r.held[way] = nil
	}
	r.mu.Unlock()
	close(open)
}

// slow delays all bytes for a time.
func (r *relay) slow(delay, d time.Duration) {
	r.setDelay(delay)
	time.Sleep(d)
	r.setDelay(0)
}

func (r *relay) setDelay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}
