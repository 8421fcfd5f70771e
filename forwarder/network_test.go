package forwarder_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"storj.io/drpc/drpcconn"
)

// mode is what a fake connection does with the data written to it.
type mode int

const (
	passing mode = iota
	// dropping accepts data without an error and delivers nothing.
	dropping
	// holding queues data until the mode is passing again.
	holding
)

// packet is the data of one write, with the time of its arrival.
type packet struct {
	data []byte
	due  time.Time
}

// wire is one direction of a fake connection. Writing to it never blocks, and fails
// once the other end was found closed.
type wire struct {
	// delay is the time from one end to the other.
	delay   time.Duration
	mu      sync.Mutex
	changed sync.Cond
	queue   []packet
	closed  bool
	mode    mode
	// remaining is how many bytes are delivered until the connection breaks;
	// below 0 for no limit.
	remaining int
	out       net.Conn
}

func newWire(remaining int, delay time.Duration) (*wire, net.Conn) {
	in, out := net.Pipe()
	w := &wire{out: in, remaining: remaining, delay: delay}
	w.changed.L = &w.mu
	go w.run()
	return w, out
}

func (w *wire) push(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return 0, net.ErrClosed
	}
	w.queue = append(w.queue, packet{append([]byte(nil), p...), time.Now().Add(w.delay)})
	w.changed.Broadcast()
	return len(p), nil
}

func (w *wire) set(m mode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mode = m
	w.changed.Broadcast()
}

// close ends the wire once the queued data is delivered, or at once if the mode is
// dropping.
func (w *wire) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.changed.Broadcast()
}

// reset ends the wire at once; queued data is not delivered.
func (w *wire) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.queue = nil
	w.changed.Broadcast()
}

// next waits for a packet to deliver. It returns false at the end.
func (w *wire) next() (packet, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for {
		switch {
		case w.remaining == 0 || w.closed && (len(w.queue) == 0 || w.mode == dropping):
			return packet{}, false
		case w.mode == dropping:
			w.queue = nil
		case w.mode == passing && len(w.queue) > 0:
			p := w.queue[0]
			w.queue = w.queue[1:]
			if w.remaining >= 0 {
				p.data = p.data[:min(len(p.data), w.remaining)]
				w.remaining -= len(p.data)
			}
			return p, true
		}
		w.changed.Wait()
	}
}

func (w *wire) run() {
	defer func() { _ = w.out.Close() }()
	for {
		p, ok := w.next()
		if !ok {
			return
		}
		time.Sleep(time.Until(p.due))
		if _, err := w.out.Write(p.data); err != nil {
			w.close()
			return
		}
	}
}

// end is one end of a fake connection.
type end struct {
	net.Conn
	out *wire
	// fails is how the dialed end fails, "write" or "silent"; empty if it works.
	fails string
	// resets is set if Close drops what was not delivered yet.
	resets atomic.Bool
}

// SetLinger sets what Close does with data that was not delivered yet, like that of a
// TCP connection.
func (e *end) SetLinger(seconds int) error {
	e.resets.Store(seconds == 0)
	return nil
}

func (e *end) Write(p []byte) (int, error) {
	if e.fails == "write" {
		return 0, syscall.EPIPE
	}
	return e.out.push(p)
}

// Read fails like a connection that the kernel has given up.
func (e *end) Read(p []byte) (int, error) {
	if e.fails == "silent" {
		time.Sleep(700 * time.Millisecond)
		return 0, &net.OpError{Op: "read", Err: syscall.ETIMEDOUT}
	}
	return e.Conn.Read(p)
}

func (e *end) Close() error {
	if e.resets.Load() {
		e.out.reset()
	} else {
		e.out.close()
	}
	return e.Conn.Close()
}

// link is a fake connection.
type link struct {
	to             netip.AddrPort
	dialed, served *end
}

func (l *link) set(m mode) {
	l.dialed.out.set(m)
	l.served.out.set(m)
}

func (l *link) kill() {
	l.set(dropping)
	_ = l.dialed.Close()
	_ = l.served.Close()
}

// network provides fake connections between the processes of one test.
type network struct {
	mu      sync.Mutex
	port    uint16
	servers map[netip.AddrPort]func(net.Conn)
	links   []*link
	dials   map[netip.AddrPort]int
	// cut is how many bytes the next connection delivers in each direction.
	cut map[netip.AddrPort][2]int
	// delay is the one-way latency of later connections between nodes.
	delay time.Duration
	// fails is how connections to an address fail.
	fails map[netip.AddrPort]string
	// stopped are the addresses whose later connections hold their data.
	stopped map[netip.AddrPort]bool
}

func newNetwork() *network {
	return &network{
		servers: map[netip.AddrPort]func(net.Conn){},
		dials:   map[netip.AddrPort]int{},
		cut:     map[netip.AddrPort][2]int{},
		fails:   map[netip.AddrPort]string{},
		stopped: map[netip.AddrPort]bool{},
	}
}

// reserve returns an unused address.
func (n *network) reserve() netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.port++
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), n.port)
}

// listen serves the connections to an address.
func (n *network) listen(address netip.AddrPort, serve func(net.Conn)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servers[address] = serve
}

// kill stops serving an address and breaks its connections.
func (n *network) kill(address netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.servers, address)
	for _, l := range n.links {
		if l.to == address {
			l.kill()
		}
	}
}

// set sets the mode of the current connections to an address; later ones pass.
func (n *network) set(address netip.AddrPort, m mode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		if l.to == address {
			l.set(m)
		}
	}
}

// stop holds the data of all connections to an address, also of later ones, until resume,
// as if the process there stood still.
func (n *network) stop(address netip.AddrPort) {
	n.set(address, holding)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped[address] = true
}

// resume delivers what was held since stop.
func (n *network) resume(address netip.AddrPort) {
	n.mu.Lock()
	delete(n.stopped, address)
	n.mu.Unlock()
	n.set(address, passing)
}

// reset breaks the current connections to an address.
func (n *network) reset(address netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		if l.to == address {
			l.kill()
		}
	}
}

// cutNext limits how many bytes the next connection to an address delivers to it
// and from it; below 0 for no limit.
func (n *network) cutNext(address netip.AddrPort, to, from int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = [2]int{to, from}
}

// setDelay sets the one-way latency of later connections between nodes.
func (n *network) setDelay(oneWay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = oneWay
}

func (n *network) dialed(address netip.AddrPort) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials[address]
}

func (n *network) connect(address netip.AddrPort, delayed bool) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var delay time.Duration
	if delayed {
		delay = n.delay
	}
	serve, ok := n.servers[address]
	if !ok {
		return nil, syscall.ECONNREFUSED
	}
	cut, ok := n.cut[address]
	if !ok {
		cut = [2]int{-1, -1}
	}
	delete(n.cut, address)
	to, served := newWire(cut[0], delay)
	from, dialed := newWire(cut[1], delay)
	l := &link{
		to:     address,
		dialed: &end{Conn: dialed, out: to, fails: n.fails[address]},
		served: &end{Conn: served, out: from},
	}
	if n.stopped[address] {
		l.set(holding)
	}
	n.links = append(n.links, l)
	n.dials[address]++
	go serve(l.served)
	return l.dialed, nil
}

// Dial implements forwarder.Dialer.
func (n *network) Dial(_ context.Context, address netip.AddrPort) (*drpcconn.Conn, error) {
	conn, err := n.connect(address, true)
	if err != nil {
		return nil, err
	}
	return drpcconn.New(conn), nil
}

// DialContext implements forwarder.BackendDialer.
func (n *network) DialContext(_ context.Context, _, address string) (net.Conn, error) {
	return n.connect(netip.MustParseAddrPort(address), false)
}

// fakeListener passes the connections of an address to an HTTP server.
type fakeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newFakeListener() *fakeListener {
	return &fakeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *fakeListener) serve(c net.Conn) {
	select {
	case l.conns <- c:
	case <-l.closed:
		_ = c.Close()
	}
}

func (l *fakeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *fakeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *fakeListener) Addr() net.Addr { return &net.TCPAddr{} }
