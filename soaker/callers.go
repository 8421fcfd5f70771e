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
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingseam.example/waxwingseam/auditor"
	"waxwingseam.example/waxwingseam/forwarder"
	"waxwingseam.example/waxwingseam/imitator"
)

const (
	// callersAHost is how many callers keep a connection open to each node.
	callersAHost = 4
	// thinkTime is the mean time between two requests of a caller.
	thinkTime = 30 * time.Millisecond
	// callTimeout is longer than every deadline: the system has to answer first.
	callTimeout = 15 * time.Second
	// maxBody is the longest request body.
	maxBody = 64 << 10
	// seedBits keeps the seeds of callers apart from those of the soak.
	seedBits = 32
)

// request is one request as its caller saw it.
type request struct {
	tag   string
	never bool
	host  *host
	sent  time.Time
	ended time.Time
	// outcome is what the caller was told; empty without an answer.
	outcome string
	status  int
	// dialled is set once there was a connection.
	dialled bool
	err     error
	answer  auditor.Answer
}

// span returns the time that the request took.
func (r *request) span() span { return span{r.sent, r.ended} }

// callers send requests until their context ends.
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
		for n := range callersAHost {
			group.Go(func() { c.call(ctx, h, n) })
		}
	}
	group.Wait()
}

// call is one caller: it keeps its connection for as long as the node does.
func (c *callers) call(ctx context.Context, h *host, number int) {
	random := rand.New(rand.NewPCG(c.deployment.config.Seed, uint64(h.number)<<seedBits|uint64(number)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: callTimeout}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		r := &request{
			tag:   fmt.Sprintf("%s-%d-%d", h.name, number, n),
			never: random.IntN(2) == 0,
			host:  h,
		}
		body := make([]byte, random.IntN(maxBody))
		for i := range body {
			body[i] = byte(random.Uint32())
		}
		r.send(client, body)
		c.mu.Lock()
		c.requests = append(c.requests, r)
		c.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(random.ExpFloat64() * float64(thinkTime))):
		}
	}
}

// send sends the request. It is not cancelled at the end of the soak, as its
// answer is part of the evidence.
func (r *request) send(client *http.Client, body []byte) {
	prefix := prefixFree
	if r.never {
		prefix = prefixNever
	}
	r.sent = time.Now()
	defer func() { r.ended = time.Now() }()
	url := fmt.Sprintf("http://%s/%s%s%s", r.host.entry, serviceDesk, prefix, r.tag)
	q, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		r.err = err
		return
	}
	q.ContentLength = int64(len(body))
	q.Header.Set(imitator.TagHeader, r.tag)
	response, err := client.Do(q)
	r.dialled = !isDial(err)
	if err != nil {
		r.err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		r.err = err
		return
	}
	r.status = response.StatusCode
	r.outcome = response.Header.Get(forwarder.HeaderOutcome)
	if r.status == http.StatusOK {
		r.judge(data, body)
	}
}

// judge notes what bytes were due and what came.
func (r *request) judge(data, body []byte) {
	var got imitator.Answer
	r.answer = auditor.Answer{Name: r.tag, Want: xxhash.Sum64(body)}
	if err := json.Unmarshal(data, &got); err != nil || got.Tag != r.tag {
		r.answer.Got = ^r.answer.Want
		return
	}
	r.answer.Got = got.BodyDigest
}

func isDial(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// completed reports whether the backend server did the request.
func (r *request) completed() bool {
	return r.err == nil && r.status == http.StatusOK
}

// count returns how many requests have ended.
func (c *callers) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.requests)
}

// since counts the requests that ended after the first ones, and those of them
// that were served.
func (c *callers) since(first int) (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests[first:] {
		sent++
		if r.completed() {
			served++
		}
	}
	return sent, served
}
