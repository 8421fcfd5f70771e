package demonstrator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/auditor"
	"waxwingseam.example/waxwingseam/imitator"
	"waxwingseam.example/waxwingseam/launcher"
	"waxwingseam.example/waxwingseam/parser"
)

const (
	// maxTries is the maximum number of tries of one request. A caller tries again
	// immediately after each failure.
	maxTries = 5
	// baseLoad is the load before and after the surge as a fraction of saturation.
	baseLoad = 0.7
	// tickInterval is the time between two ticks. At each tick, the requests that
	// are due are started.
	tickInterval = 5 * time.Millisecond
	// networkDelay is the simulated one-way delay between a caller and its target.
	networkDelay = 8 * time.Millisecond
	// idleConnections is the maximum number of idle connections of one client to
	// one address.
	idleConnections = 64
	// clientCount is the number of HTTP clients that share the load, so that their
	// locks do not become the bottleneck.
	clientCount = 64
)

// schedule defines the load over the time of one part of a demonstration.
type schedule struct {
	duration   time.Duration
	surgeStart time.Duration
	surgeEnd   time.Duration
	// surge is the load of the surge as a multiple of saturation.
	surge float64
	// saturation is in requests per second.
	saturation float64
}

func newSchedule(duration time.Duration, surge, saturation float64) schedule {
	return schedule{
		duration:   duration,
		surgeStart: duration / 4,
		surgeEnd:   duration * 6 / 10,
		surge:      surge,
		saturation: saturation,
	}
}

// rate returns the load at a time in requests per second.
func (s schedule) rate(at time.Duration) float64 {
	if at >= s.surgeStart && at < s.surgeEnd {
		return s.surge * s.saturation
	}
	return baseLoad * s.saturation
}

// outcome is the result of one request.
type outcome struct {
	// kind is the index of the request in Deployment.Requests.
	kind int
	tag  string
	// began is the time from the start of the load to the start of the request.
	began     time.Duration
	elapsed   time.Duration
	tries     int
	succeeded bool
	// lastResult is the result of the last try: an outcome of the system, an HTTP
	// status, or the kind of failure.
	lastResult string
}

// load makes the requests of one part of a demonstration.
type load struct {
	deployment Deployment
	schedule   schedule
	targets    map[waxwingseam.ServiceName][]netip.AddrPort
	// viaNode is set if requests go to nodes, where the path starts with the
	// service name.
	viaNode bool
	clients []*http.Client
	random  *rand.Rand
	start   time.Time

	mu       sync.Mutex
	outcomes []outcome
	answers  []auditor.Answer
}

// newLoad returns the load on a fleet. With the layer, a request may go to any
// node; without it, a request goes to a stand-in of its service.
func newLoad(f *launcher.Fleet, d Deployment, s schedule, withLayer bool, seed uint64) *load {
	l := &load{
		deployment: d,
		schedule:   s,
		targets:    map[waxwingseam.ServiceName][]netip.AddrPort{},
		viaNode:    withLayer,
		clients:    newClients(),
		random:     rand.New(rand.NewPCG(seed, seed)),
	}
	for _, v := range f.StandIns {
		for _, service := range d.Services {
			if withLayer {
				l.targets[service.Name] = append(l.targets[service.Name], v.Entry)
			} else if service.Name == v.Service.Name {
				l.targets[service.Name] = append(l.targets[service.Name], v.Address())
			}
		}
	}
	return l
}

func newClients() []*http.Client {
	list := make([]*http.Client, clientCount)
	for n := range list {
		list[n] = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}}
	}
	return list
}

// run makes requests until the schedule ends or the context is cancelled, and
// returns when all requests have ended.
func (l *load) run(ctx context.Context, progress func(at time.Duration)) {
	l.start = time.Now()
	var wait sync.WaitGroup
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	due, number := 0.0, 0
	last := time.Duration(0)
	for ctx.Err() == nil {
		<-ticker.C
		at := time.Since(l.start)
		if at >= l.schedule.duration {
			break
		}
		due += l.schedule.rate(at) * (at - last).Seconds()
		last = at
		for ; due >= 1; due-- {
			r := l.prepare(number, at)
			number++
			wait.Go(func() { l.send(ctx, r) })
		}
		progress(at)
	}
	wait.Wait()
	progress(l.schedule.duration)
	for _, c := range l.clients {
		c.CloseIdleConnections()
	}
}

// preparedRequest is one request with the targets of its tries.
type preparedRequest struct {
	outcome
	client  *http.Client
	request Request
	targets []netip.AddrPort
	body    []byte
}

// prepare returns a request of a random kind with a random target for each try.
func (l *load) prepare(number int, at time.Duration) preparedRequest {
	kind := l.drawKind()
	request := l.deployment.Requests[kind]
	p := preparedRequest{
		outcome: outcome{kind: kind, tag: "request-" + strconv.Itoa(number), began: at},
		client:  l.clients[number%clientCount],
		request: request,
		body:    bytes.Repeat([]byte{byte(number)}, request.Body),
	}
	targets := l.targets[request.Service]
	for range maxTries {
		p.targets = append(p.targets, targets[l.random.IntN(len(targets))])
	}
	return p
}

// drawKind returns a random index in Deployment.Requests, distributed by the
// percentages of the requests.
func (l *load) drawKind() int {
	n := l.random.IntN(100)
	for i, r := range l.deployment.Requests {
		if n -= r.Percent; n < 0 {
			return i
		}
	}
	return len(l.deployment.Requests) - 1
}

// send sends a request until a try succeeds or all tries are used, and records the
// outcome.
func (l *load) send(ctx context.Context, p preparedRequest) {
	for _, target := range p.targets {
		p.tries++
		if p.succeeded = l.try(ctx, &p, target); p.succeeded {
			break
		}
	}
	p.elapsed = time.Since(l.start) - p.began
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, p.outcome)
}

// try sends a request once and reports whether it succeeded.
func (l *load) try(ctx context.Context, p *preparedRequest, target netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, p.request.TryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, p.request.Method, l.url(p, target), bytes.NewReader(p.body))
	if err != nil {
		return false
	}
	request.Header.Set(imitator.TagHeader, p.tag)
	if p.request.NotRepeatable {
		request.Header.Set("Idempotency-Key", fmt.Sprintf("%q", p.tag))
	}
	time.Sleep(networkDelay)
	response, err := p.client.Do(request)
	defer time.Sleep(networkDelay)
	if err != nil {
		p.lastResult = "no answer"
		return false
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		p.lastResult = "answer cut off"
		return false
	}
	if err := parser.CheckResponse(response); err != nil {
		p.lastResult = "answer broken: " + err.Error()
		return false
	}
	p.lastResult = describeResponse(response)
	if response.StatusCode >= http.StatusBadRequest {
		return false
	}
	l.recordAnswer(p, data)
	return true
}

// describeResponse returns the outcome in the header of a response, or the HTTP
// status if the header is missing or the outcome is completed.
func describeResponse(r *http.Response) string {
	if v := r.Header.Get("Waxwingseam-Outcome"); v != "" && v != "completed" {
		return v
	}
	return "status " + strconv.Itoa(r.StatusCode)
}

func (l *load) url(p *preparedRequest, target netip.AddrPort) string {
	url := "http://" + target.String()
	if l.viaNode {
		url += "/" + string(p.request.Service)
	}
	return url + p.request.Path
}

// recordAnswer records digests of the expected and the received answer. The audit
// compares them to detect a caller that received the answer to another request.
func (l *load) recordAnswer(p *preparedRequest, data []byte) {
	want := fmt.Sprintf("%s %s %d", p.request.Path, p.tag, xxhash.Sum64(p.body))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, auditor.Answer{
		Name: p.tag,
		Want: xxhash.Sum64String(want),
		Got:  xxhash.Sum64String(answerIdentity(data)),
	})
}
