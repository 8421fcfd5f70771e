package forwarder_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam/forwarder"
	"waxwingseam.example/waxwingseam/pipeliner"
)

const (
	// untilClose is the head of a reply that ends with its connection.
	untilClose = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
	// uploadLength is more than the buffers of a node and of its sockets hold.
	uploadLength = 6 << 20
)

// upload is a request body of uploadLength bytes.
type upload struct {
	left int
	// pause is the time before each part of 16 KB; without it, parts have any length.
	pause time.Duration
}

func (u *upload) Read(p []byte) (int, error) {
	if u.left == 0 {
		return 0, io.EOF
	}
	if u.pause > 0 {
		time.Sleep(u.pause)
		p = p[:min(len(p), 16<<10)]
	}
	n := min(len(p), u.left)
	u.left -= n
	return n, nil
}

// uploadRequest returns a request with a body of uploadLength bytes.
func uploadRequest(chunked bool, pause time.Duration) *http.Request {
	r := request{body: &upload{left: uploadLength, pause: pause}, header: map[string]string{forwarder.HeaderTimeout: "15"}}.build(context.Background())
	if !chunked {
		r.ContentLength = uploadLength
	}
	return r
}

// socketBackend is a backend server on a loopback socket. It reads the head of each request
// only, and leaves the rest to answer.
func socketBackend(t *testing.T, answer func(c *net.TCPConn)) netip.AddrPort {
	var lc net.ListenConfig
	listener, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	var open sync.WaitGroup
	open.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			open.Go(func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					answer(conn.(*net.TCPConn))
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		open.Wait()
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}

// socketPair returns two nodes, the second of which reaches its backend server over sockets. A
// third node has the same backend server for another service.
func socketPair(t *testing.T, answer func(c *net.TCPConn), dialer forwarder.BackendDialer) (front, back *node) {
	tb := &testbed{t: t, net: newNetwork()}
	address := socketBackend(t, answer)
	front = tb.newNode(nodeConfig{})
	back = tb.newNode(nodeConfig{service: "ledger", name: "ledger-1", backend: address, backendDialer: dialer})
	fees := tb.newNode(nodeConfig{service: "fees", name: "fees-1", backend: address, backendDialer: dialer})
	front.updateServers(back, fees)
	back.updateServers(back, fees)
	return front, back
}

// reset closes a connection without its orderly end.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// closeUnread waits for a part of the upload and closes the connection without having read it,
// which makes the kernel reset it.
func closeUnread(c *net.TCPConn) {
	if raw, err := c.SyscallConn(); err == nil {
		_ = raw.Read(func(fd uintptr) bool {
			_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			return !errors.Is(err, syscall.EAGAIN)
		})
	}
	_ = c.Close()
}

// lateReader reads the end of a connection only after a write has failed, and before that write
// returns.
type lateReader struct {
	*net.TCPConn
	// left is how many bytes are read before.
	left atomic.Int64
	// failed is closed once a write has failed, and read once a read followed or failed, or
	// the connection was closed.
	failed, read         chan struct{}
	failedOnce, readOnce sync.Once
}

func (c *lateReader) Read(p []byte) (int, error) {
	if left := c.left.Load(); left > 0 {
		n, err := c.TCPConn.Read(p[:min(int64(len(p)), left)])
		c.left.Add(-int64(n))
		if err != nil {
			c.release()
		}
		return n, err
	}
	<-c.failed
	defer c.release()
	return c.TCPConn.Read(p)
}

// release lets a write that has failed return.
func (c *lateReader) release() {
	c.readOnce.Do(func() { close(c.read) })
}

func (c *lateReader) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		c.failedOnce.Do(func() { close(c.failed) })
		<-c.read
	}
	return n, err
}

func (c *lateReader) Close() error {
	c.release()
	return c.TCPConn.Close()
}

// lateReading dials connections of which the given number of bytes are read at once, and what
// follows only after a write has failed.
type lateReading struct {
	net.Dialer
	left int
}

func (d lateReading) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &lateReader{TCPConn: conn.(*net.TCPConn), failed: make(chan struct{}), read: make(chan struct{})}
	c.left.Store(int64(d.left))
	return c, nil
}

// wrapped dials connections of which nothing but net.Conn is known.
type wrapped struct{ forwarder.BackendDialer }

func (w wrapped) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := w.BackendDialer.DialContext(ctx, network, address)
	return struct{ net.Conn }{conn}, err
}

// TestResetReplyIsPassedOnAsWhole guards against a reply without a length that is reset while
// the upload is being written, and that the caller gets as whole. The kernel reports the
// reset to the write, and an end without an error to the read that follows.
func TestResetReplyIsPassedOnAsWhole(t *testing.T) {
	for _, part := range []int{0, 10, 1 << 10, 64 << 10, 400 << 10} {
		for name, end := range map[string]func(*net.TCPConn){"reset": reset, "closed unread": closeUnread} {
			for _, hidden := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d bytes, %s, hidden %v", part, name, hidden), func(t *testing.T) {
					sent := untilClose + strings.Repeat("p", part)
					var dialer forwarder.BackendDialer = lateReading{left: len(sent)}
					if hidden {
						dialer = wrapped{dialer}
					}
					front, _ := socketPair(t, func(c *net.TCPConn) {
						_, _ = io.WriteString(c, sent)
						end(c)
					}, dialer)
					got := front.serve(uploadRequest(false, 0))
					qt.Assert(t, got.completed(), qt.IsFalse, qt.Commentf("%d bytes", len(got.body)))
				})
			}
		}
	}
}

// TestResetReplies resets replies at different times of an upload that is sent in different
// ways, at the node of the backend server and at another one.
func TestResetReplies(t *testing.T) {
	for _, part := range []int{10, 1 << 10, 64 << 10, 400 << 10} {
		for name, end := range map[string]func(*net.TCPConn){"reset": reset, "closed unread": closeUnread} {
			for _, pause := range []time.Duration{0, 5 * time.Millisecond, 100 * time.Millisecond} {
				t.Run(fmt.Sprintf("%d bytes, %s after %v", part, name, pause), func(t *testing.T) {
					front, back := socketPair(t, func(c *net.TCPConn) {
						_, _ = io.WriteString(c, untilClose+strings.Repeat("p", part))
						time.Sleep(pause)
						end(c)
					}, &net.Dialer{})
					for _, n := range []*node{front, back} {
						for _, chunked := range []bool{false, true} {
							for _, between := range []time.Duration{0, 2 * time.Millisecond} {
								got := n.serve(uploadRequest(chunked, between))
								qt.Check(t, got.completed(), qt.IsFalse, qt.Commentf("%d bytes", len(got.body)))
							}
						}
					}
				})
			}
		}
	}
}

// TestResetReplyToCalls resets replies to keyed calls, to calls that may be repeated and to calls
// of a backend server.
func TestResetReplyToCalls(t *testing.T) {
	for _, part := range []int{10, 400 << 10} {
		front, back := resettingPair(t, part)
		for _, n := range []*node{front, back} {
			for range 2 {
				keyed := uploadRequest(true, 0)
				keyed.Header.Set(forwarder.HeaderKey, "lot-7")
				qt.Check(t, n.serve(keyed).completed(), qt.IsFalse)
			}
			repeatable := uploadRequest(false, 0)
			repeatable.URL.Path, repeatable.RequestURI = "/fees/7", "/fees/7"
			qt.Check(t, n.serve(repeatable).completed(), qt.IsFalse)
			qt.Check(t, serve(n.Outbound(), uploadRequest(false, 0)).completed(), qt.IsFalse)
		}
	}
}

// resettingPair returns the nodes of socketPair with a backend server that resets its replies after
// a part of the body.
func resettingPair(t *testing.T, part int) (front, back *node) {
	sent := untilClose + strings.Repeat("p", part)
	return socketPair(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, sent)
		closeUnread(c)
	}, lateReading{left: len(sent)})
}

// TestResetReplyOverHTTP2 resets replies to callers that use HTTP/2.
func TestResetReplyOverHTTP2(t *testing.T) {
	for _, part := range []int{10, 400 << 10} {
		front, _ := resettingPair(t, part)
		server := httptest.NewUnstartedServer(nil)
		server.Config = forwarder.NewServer(front.Entry())
		server.Start()
		protocols := &http.Protocols{}
		protocols.SetUnencryptedHTTP2(true)
		transport := &http.Transport{Protocols: protocols}
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/ledger/lot", &upload{left: uploadLength})
		qt.Assert(t, err, qt.IsNil)
		response, err := transport.RoundTrip(r)
		qt.Check(t, isWhole(response, err), qt.IsFalse)
		transport.CloseIdleConnections()
		server.Close()
	}
}

// TestResetReplyOverHTTP1 resets replies to callers that use HTTP/1.1, and HTTP/1.0, where an answer
// without a length ends with its connection again.
func TestResetReplyOverHTTP1(t *testing.T) {
	for _, part := range []int{10, 400 << 10} {
		front, _ := resettingPair(t, part)
		server := pipeliner.New(pipeliner.Config{Handler: front.Entry()})
		var lc net.ListenConfig
		listener, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		go func() { _ = server.Serve(listener) }()
		for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			head := fmt.Sprintf("POST /ledger/lot %s\r\nHost: a\r\nContent-Length: %d\r\n\r\n", version, uploadLength)
			sendErr := make(chan error, 1)
			go func() {
				_, err := io.Copy(conn, io.MultiReader(strings.NewReader(head), &upload{left: uploadLength}))
				sendErr <- err
			}()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			whole := isWhole(response, err)
			_ = conn.Close()
			// The caller's own write may have got the error of a reset.
			whole = !errors.Is(<-sendErr, syscall.ECONNRESET) && whole
			qt.Check(t, whole, qt.IsFalse, qt.Commentf("%s, %d bytes", version, part))
		}
		_ = server.Close()
	}
}

// isWhole reports whether an answer is that of a backend server, and was received to its end.
func isWhole(r *http.Response, err error) bool {
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	return err == nil && r.StatusCode == http.StatusOK
}

// completed reports whether the caller got a whole reply of a backend server.
func (a answer) completed() bool {
	return !a.broken && a.header.Get(forwarder.HeaderOutcome) == "completed"
}

// TestResetRefusal guards against a refusal whose promise is lost with its body, and against one
// whose head breaks the protocol and that is taken for a promise.
func TestResetRefusal(t *testing.T) {
	for _, v := range []struct{ head, want string }{
		{"HTTP/1.1 503 Service Unavailable\r\n\r\n", "did-not-run"},
		{"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 900000\r\n\r\n", "did-not-run"},
		{"HTTP/1.1 503 Service Unavailable\r\nBad : x\r\n\r\n", "may-have-run"},
		{"HTTP/1.1 000 Service Unavailable\r\n\r\n", "may-have-run"},
	} {
		tb := &testbed{t: t, net: newNetwork()}
		address := socketBackend(t, func(c *net.TCPConn) {
			_, _ = io.WriteString(c, v.head+"busy")
			closeUnread(c)
		})
		back := tb.newNode(nodeConfig{service: "ledger", name: "ledger-1", backend: address, backendDialer: lateReading{left: len(v.head)}, protocol: refusals{}})
		back.updateServers(back)
		got := back.serve(uploadRequest(true, 0))
		qt.Check(t, got.header.Get(forwarder.HeaderOutcome), qt.Equals, v.want, qt.Commentf("%q", v.head))
	}
}
