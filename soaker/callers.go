package soaker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/auditor"
	"waxwingseam.example/waxwingseam/forwarder"
	"waxwingseam.example/waxwingseam/imitator"
	"waxwingseam.example/waxwingseam/parser"
)

const (
	// callersPerHost is the number of callers of each desk node.
	callersPerHost = 4
	// meanThinkTime is the mean time between two requests of a caller.
	meanThinkTime = 30 * time.Millisecond
	// callTimeout is longer than every deadline, so that the system answers first.
	callTimeout = 15 * time.Second
	// One of leavingShare requests is given up by its caller, after maxStay at most.
	leavingShare = 5
	maxStay      = 200 * time.Millisecond
	// maxBodyBytes bounds the length of a request body.
	maxBodyBytes = 64 << 10
	// hostStreamShift is the number of bits by which the host number is shifted in
	// the number of a caller's random stream. The caller number is in the bits below,
	// so that no two callers share a stream. One caller shares its stream with Plan,
	// and some share theirs with operators.
	hostStreamShift = 32
)

// request is one request with the result that its caller received.
type request struct {
	tag           string
	notRepeatable bool
	host          *host
	// leavesAfter is how long the caller stays; 0 if it stays until the answer.
	leavesAfter time.Duration
	sent        time.Time
	ended       time.Time
	// left is when the caller gave up the request; zero if it did not.
	left time.Time
	// outcome is the value of the outcome header; empty without an answer.
	outcome string
	status  int
	// server is the backend server that answered, and stated what it stated.
	server string
	stated waxwingseam.Statement
	// connected is set unless dialling the node failed.
	connected bool
	err       error
	// broken is how the answer breaks the protocol; nil if it keeps it.
	broken error
	answer auditor.Answer
	// key is the key of a client account, and account the account that holds it, or that of
	// the caller if none does.
	key     string
	account waxwingseam.AccountName
}

// ordinary reports whether no fault concerns the request's account.
func (r *request) ordinary() bool {
	return r.account == accountOpen || r.account == accountWide
}

// interval returns the time from the start to the end of the request.
func (r *request) interval() interval { return interval{r.sent, r.ended} }

// callers send requests to the desk until their context ends.
type callers struct {
	deployment *deployment

	mu       sync.Mutex
	requests []*request
}

func (c *callers) run(ctx context.Context) {
	var group sync.WaitGroup
	for _, h := range c.deployment.hosts {
		if h.service != serviceDesk {
			continue
		}
		group.Go(func() { c.runAccountCallers(ctx, h) })
		for n := range callersPerHost {
			group.Go(func() { c.runCaller(ctx, h, n) })
		}
	}
	group.Wait()
}

// runCaller sends the requests of one caller. The caller reuses its connection
// for as long as the node leaves it open. Every other caller resets its connection when
// it gives up a request, and the others close it.
func (c *callers) runCaller(ctx context.Context, h *host, number int) {
	random := rand.New(rand.NewPCG(c.deployment.config.Seed, uint64(h.number)<<hostStreamShift|uint64(number)))
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	if number%2 == 1 {
		transport.DialContext = dialResetting
	}
	client := &http.Client{Transport: transport, Timeout: callTimeout}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		r := &request{
			tag:           fmt.Sprintf("%s-%d-%d", h.name, number, n),
			notRepeatable: random.IntN(2) == 0,
			host:          h,
			account:       accountOpen,
			key:           c.deployment.accounts.key(accountOpen),
		}
		if random.IntN(leavingShare) == 0 {
			r.leavesAfter = time.Duration(1 + random.Int64N(int64(maxStay)))
		}
		body := make([]byte, random.IntN(maxBodyBytes))
		for i := range body {
			body[i] = byte(random.Uint32())
		}
		r.send(client, body)
		c.add(r)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(random.ExpFloat64() * float64(meanThinkTime))):
		}
	}
}

// add records a request that has ended.
func (c *callers) add(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, r)
}

// dialResetting opens a connection that is reset when it is closed.
func dialResetting(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if t, ok := conn.(*net.TCPConn); ok {
		err = t.SetLinger(0)
	}
	return conn, trace.Wrap(err)
}

// send sends the request. The end of the soak does not cancel the request,
// because the checks need its answer.
func (r *request) send(client *http.Client, body []byte) {
	prefix := prefixRepeatable
	if r.notRepeatable {
		prefix = prefixNotRepeatable
	}
	r.sent = time.Now()
	defer func() { r.ended = time.Now() }()
	ctx := context.Background()
	if r.leavesAfter > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.leavesAfter)
		defer cancel()
	}
	url := fmt.Sprintf("http://%s/%s%s%s", r.host.entryAddress, serviceDesk, prefix, r.tag)
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		r.err = err
		return
	}
	httpRequest.ContentLength = int64(len(body))
	httpRequest.Header.Set(imitator.TagHeader, r.tag)
	setKey(httpRequest.Header, r.key)
	response, err := client.Do(httpRequest)
	r.connected = !isDialError(err)
	if err != nil {
		r.fail(err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		r.fail(err)
		return
	}
	r.broken = checkAnswer(response, data)
	r.status = response.StatusCode
	r.outcome = response.Header.Get(forwarder.HeaderOutcome)
	r.stated = waxwingseam.NewStatement(response.Header.Get(forwarder.HeaderRateLimit), response.Header.Get(forwarder.HeaderLeaving))
	if r.status == http.StatusOK {
		r.recordAnswer(data, body)
	}
}

// checkAnswer returns what is wrong with an answer that was received to its end.
func checkAnswer(response *http.Response, data []byte) error {
	if response.Header.Get("Content-Type") == "application/problem+json" && !json.Valid(data) {
		return trace.BadParameter("the problem is cut off")
	}
	return trace.Wrap(parser.CheckResponse(response))
}

// breaksProtocol reports whether a request has failed because of its answer, and not of its
// connection or its time.
func breaksProtocol(err error) bool {
	var operation *net.OpError
	var failure net.Error
	switch {
	case errors.As(err, &operation), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return false
	case errors.As(err, &failure) && failure.Timeout(), errors.Is(err, context.Canceled):
		return false
	}
	return !strings.Contains(err.Error(), "server closed idle connection")
}

// fail records why there is no answer.
func (r *request) fail(err error) {
	r.err = err
	if breaksProtocol(err) {
		r.broken = err
	}
	if r.leavesAfter > 0 && errors.Is(err, context.DeadlineExceeded) {
		r.left = time.Now()
	}
}

// recordAnswer records the expected and the received digest of the body. An
// unreadable answer or one to another request counts as a mismatch.
func (r *request) recordAnswer(data, body []byte) {
	var got imitator.Answer
	r.answer = auditor.Answer{Name: r.tag, Want: xxhash.Sum64(body)}
	err := json.Unmarshal(data, &got)
	r.server = string(got.Server)
	if err != nil || got.Tag != r.tag {
		r.answer.Got = ^r.answer.Want
		return
	}
	r.answer.Got = got.BodyDigest
}

func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// completed reports whether the caller received an answer of status 200.
func (r *request) completed() bool {
	return r.err == nil && r.status == http.StatusOK
}

// count returns the number of requests that have ended.
func (c *callers) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.requests)
}

// countSince returns the number of requests of ordinary callers that have ended after the
// first skip requests, and how many of them were served.
func (c *callers) countSince(skip int) (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests[skip:] {
		if !r.ordinary() {
			continue
		}
		sent++
		if r.completed() {
			served++
		}
	}
	return sent, served
}
