package soaker

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// direction is one of the two directions of a relay.
type direction uint8

const (
	toTarget direction = iota
	toCaller
)

// relay forwards connections to a target, and can delay, block or reset them.
type relay struct {
	target netip.AddrPort
	bound  netip.AddrPort

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	delay    time.Duration
	// blocked contains a channel for each blocked direction, which is closed when
	// the block ends; nil otherwise.
	blocked [2]chan struct{}
}

// listenRelay starts a relay on a free loopback port.
func listenRelay(ctx context.Context, target netip.AddrPort) (*relay, error) {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	r := &relay{listener: listener, bound: netip.MustParseAddrPort(listener.Addr().String()), target: target, conns: map[net.Conn]struct{}{}}
	context.AfterFunc(ctx, func() {
		_ = listener.Close()
		r.reset()
	})
	go r.accept(ctx, listener)
	return r, nil
}

func (r *relay) address() netip.AddrPort {
	return r.bound
}

func (r *relay) accept(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go r.serve(ctx, conn)
	}
}

func (r *relay) serve(ctx context.Context, caller net.Conn) {
	defer r.closeConn(caller)
	r.addConn(caller)
	var dialer net.Dialer
	target, err := dialer.DialContext(ctx, "tcp", r.target.String())
	if err != nil {
		return
	}
	defer r.closeConn(target)
	r.addConn(target)
	var group sync.WaitGroup
	group.Go(func() { r.forward(toTarget, target, caller) })
	group.Go(func() { r.forward(toCaller, caller, target) })
	group.Wait()
}

// forward copies the bytes of one direction and passes on the end of the stream.
func (r *relay) forward(dir direction, to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if r.wait(dir) && wasReset(from) {
			// On a silent path, the sender's kernel would have dropped the bytes.
			abort(to)
			_ = from.Close()
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
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

// wait waits until a direction is not blocked, and then for the delay. It reports whether
// the direction was blocked.
func (r *relay) wait(dir direction) bool {
	r.mu.Lock()
	blocked, delay := r.blocked[dir], r.delay
	r.mu.Unlock()
	if blocked != nil {
		<-blocked
	}
	time.Sleep(delay)
	return blocked != nil
}

// wasReset reports whether the other end has reset a connection.
func wasReset(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	pending := 0
	err = raw.Control(func(fd uintptr) {
		pending, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
	})
	return err != nil || pending != 0
}

// abort resets a connection.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (r *relay) addConn(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[conn] = struct{}{}
}

func (r *relay) closeConn(conn net.Conn) {
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
		abort(conn)
	}
}

// refuse resets all connections and listens to none for a time.
func (r *relay) refuse(ctx context.Context, d time.Duration) {
	r.mu.Lock()
	listener := r.listener
	r.mu.Unlock()
	_ = listener.Close()
	r.reset()
	time.Sleep(d)
	if ctx.Err() != nil {
		return
	}
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", r.address().String())
	if err != nil {
		return
	}
	r.mu.Lock()
	r.listener = listener
	r.mu.Unlock()
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go r.accept(ctx, listener)
}

// block blocks the given directions for a time.
func (r *relay) block(d time.Duration, dirs ...direction) {
	unblocked := make(chan struct{})
	r.mu.Lock()
	for _, dir := range dirs {
		r.blocked[dir] = unblocked
	}
	r.mu.Unlock()
	time.Sleep(d)
	r.mu.Lock()
	for _, dir := range dirs {
		r.blocked[dir] = nil
	}
	r.mu.Unlock()
	close(unblocked)
}

// slow adds a delay to both directions for a time.
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
