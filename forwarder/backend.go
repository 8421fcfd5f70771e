package forwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingseam.example/waxwingseam"
)

const (
	// backendIdle is how long a connection to the backend server may lie idle.
	backendIdle = time.Second
	// backendProbe is the time between two probes of a connection on which the
	// backend server sends nothing; the kernel takes whole seconds.
	backendProbe = time.Second
	// maxHeaderBytes bounds the headers of a request or a reply.
	maxHeaderBytes = 64 << 10
	// maxRefusalBytes bounds what is read of a refusal so that its connection
	// can be used again.
	maxRefusalBytes = 4 << 10
)

// newBackendTransport returns the connections to the backend server.
func newBackendTransport(config Config) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := config.BackendDialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		MaxConnsPerHost:        config.Connections,
		MaxIdleConnsPerHost:    config.Connections,
		IdleConnTimeout:        backendIdle,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
}

// newBackendDialer returns the dialer for the backend server. Its probes find
// connections that go silent while the backend server works.
func newBackendDialer() BackendDialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     backendProbe,
			Interval: backendProbe,
			Count:    1,
		},
	}
}

// countedConn counts the writes that were tried.
type countedConn struct {
	net.Conn
	writes atomic.Int64
	// suspected is set once the other end was found silent.
	suspected atomic.Bool
	// silent is set once the connection was left for silence.
	silent atomic.Bool
}

// leaveIfSilent closes the connection where the other end is found twice to
// acknowledge nothing. Once is not enough: what was written just now after a
// pause is not acknowledged yet.
func (c *countedConn) leaveIfSilent() {
	suspected := unacknowledged(c.Conn) >= silenceLimit-2*heartbeatInterval
	if suspected && c.suspected.Load() {
		c.silent.Store(true)
		_ = c.Close()
	}
	c.suspected.Store(suspected)
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// witness remembers the connection of one request, to tell whether anything
// was written of it.
type witness struct {
	conn   atomic.Pointer[countedConn]
	writes int64
}

// watch returns a context in which the request's connection is remembered.
func (w *witness) watch(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*countedConn); ok {
				w.writes = conn.writes.Load()
				w.conn.Store(conn)
			}
		},
	})
}

// leave closes the connection, so that it serves no other request.
func (w *witness) leave() {
	if conn := w.conn.Load(); conn != nil {
		_ = conn.Close()
	}
}

// written reports whether a part of the request may have been written.
func (w *witness) written() bool {
	conn := w.conn.Load()
	return conn != nil && conn.writes.Load() != w.writes
}

// silent reports whether an error or the watch shows the connection as silent.
func (w *witness) silent(err error) bool {
	conn := w.conn.Load()
	return errors.Is(err, syscall.ETIMEDOUT) || conn != nil && conn.silent.Load()
}

// guard looks at the connection now and then until the returned function is
// called.
func (w *witness) guard() (stop func()) {
	var timer *time.Timer
	var mu sync.Mutex
	ended := false
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(heartbeatInterval, func() {
		if conn := w.conn.Load(); conn != nil {
			conn.leaveIfSilent()
		}
		mu.Lock()
		defer mu.Unlock()
		if !ended {
			timer.Reset(heartbeatInterval)
		}
	})
	return func() {
		mu.Lock()
		defer mu.Unlock()
		ended = true
		timer.Stop()
	}
}

// execute runs the call at the backend server.
func (h *hosted) execute(run waxwingseam.Run) {
	began := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), run.Call.Deadline)
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		h.body.fail(errLeft)
		h.reply.fail(errLeft)
	})
	defer stop()
	h.mu.Lock()
	h.cancel = cancel
	h.mu.Unlock()
	result := h.exchange(ctx, run)
	if result.Completed() {
		h.reply.end()
	} else {
		h.reply.fail(errLeft)
	}
	h.settle()
	h.forwarder.endRun(h.opening.ID, result, time.Since(began))
}

// settle ends the run's own part.
func (h *hosted) settle() {
	h.mu.Lock()
	h.done = true
	h.mu.Unlock()
	if h.head == nil {
		close(h.headed)
	}
	h.body.drop(errLeft)
}

// exchange sends the request and takes the whole reply in.
func (h *hosted) exchange(ctx context.Context, run waxwingseam.Run) waxwingseam.Result {
	w := &witness{}
	defer w.guard()()
	request := h.request(w.watch(ctx), run)
	response, err := h.forwarder.backend.RoundTrip(request)
	if err != nil {
		return h.failed(ctx, w, err)
	}
	defer func() { _ = response.Body.Close() }()
	verdict, reason := h.forwarder.config.BackendServer.CheckReply(request.Header, response.StatusCode, response.Header)
	switch verdict {
	case waxwingseam.ReplyDidNotRun:
		_, _ = io.CopyN(io.Discard, response.Body, maxRefusalBytes)
		result := unreached(reason)
		result.Reached = true
		return result
	case waxwingseam.ReplyMismatched:
		// Other replies that are not the call's own may follow on the connection.
		w.leave()
		return waxwingseam.Result{
			Outcome: waxwingseam.OutcomeMayHaveRun,
			Reason:  waxwingseam.ReasonServerFailed,
			Reached: true,
		}
	}
	h.begin(response)
	digest := xxhash.New()
	length, err := copyBody(io.MultiWriter(h.reply, digest), response.Body)
	if err != nil {
		return h.failed(ctx, w, err)
	}
	return waxwingseam.Result{
		Outcome: waxwingseam.OutcomeCompleted,
		Status:  response.StatusCode,
		Length:  length,
		Digest:  digest.Sum64(),
		Reached: true,
	}
}

// begin lets the reply's beginning go to the senders.
func (h *hosted) begin(response *http.Response) {
	h.head = &heading{
		Status: response.StatusCode,
		Header: forwardable(response.Header),
		Length: response.ContentLength,
	}
	close(h.headed)
}

// failed is the result of a run without a whole reply.
func (h *hosted) failed(ctx context.Context, w *witness, err error) waxwingseam.Result {
	result := waxwingseam.Result{
		Outcome: waxwingseam.OutcomeMayHaveRun,
		Reason:  waxwingseam.ReasonServerFailed,
		Reached: true,
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		result.Reason = waxwingseam.ReasonDeadline
	case ctx.Err() != nil:
		result.Reason = waxwingseam.ReasonCancelled
	case w.silent(err):
		result.Reason = waxwingseam.ReasonConnectionSilent
		h.forwarder.backend.CloseIdleConnections()
	}
	if !w.written() {
		result.Outcome = waxwingseam.OutcomeDidNotRun
		result.Reason = waxwingseam.ReasonConnectionFailed
	}
	return result
}

// emptyBody is a request body without bytes that can't be rewound.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) {
	return 0, io.EOF
}

// Close implements io.Closer.
func (emptyBody) Close() error {
	return nil
}

// request returns the request for the backend server, which the HTTP client
// must not take for one that it may send twice on its own.
func (h *hosted) request(ctx context.Context, run waxwingseam.Run) *http.Request {
	o := h.opening
	address := h.forwarder.config.Backend.String()
	host := o.Host
	if host == "" {
		host = address
	}
	target, err := url.ParseRequestURI(o.Target)
	if err != nil {
		target = &url.URL{Path: "/"}
	}
	target.Scheme = "http"
	target.Host = address
	request := &http.Request{
		Method:        o.Method,
		URL:           target,
		Host:          host,
		Header:        h.requestHeader(run),
		ContentLength: o.Length,
		Body:          h,
	}
	if o.Length == 0 {
		request.Body = noBody(o.Method)
	}
	return request.WithContext(ctx)
}

// noBody returns the body of a request without one. The HTTP client probes the
// body of some methods, and takes the others for chunked.
func noBody(method string) io.ReadCloser {
	switch method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return http.NoBody
	}
	return emptyBody{}
}

// rewindableKeys are headers that make the HTTP client send a request twice;
// in lower case it does not see them.
var rewindableKeys = []string{HeaderKey, "X-Idempotency-Key"}

// requestHeader returns the headers of the request for the backend server.
func (h *hosted) requestHeader(run waxwingseam.Run) http.Header {
	header := h.opening.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	for _, name := range rewindableKeys {
		if values, ok := header[name]; ok {
			delete(header, name)
			header[strings.ToLower(name)] = values
		}
	}
	h.forwarder.config.BackendServer.SetRequestFields(header, waxwingseam.BackendRequest{
		Call:           run.Call,
		Instance:       run.Instance,
		TimeToDeadline: time.Until(run.Call.Deadline),
	})
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil
	}
	return header
}
