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
)

const (
	// maxTries is how often a caller sends one request, at once after each
	// failure.
	maxTries = 5
	// quietLoad is the load before and after the surge, in parts of saturation.
	quietLoad = 0.7
	// tick is how often new requests are started.
	tick = 5 * time.Millisecond
	// distance is the time from a caller to a node, one way.
	distance = 8 * time.Millisecond
	// idleConnections bounds the idle connections of one client to one address.
	idleConnections = 64
	// clients is how many HTTP clients share the load, so that their locks do
	// not become the bottleneck.
	clients = 64
)

// schedule says how the load changes over a demonstration.
type schedule struct {
	length     time.Duration
	surgeStart time.Duration
	surgeEnd   time.Duration
	surge      float64
	saturation float64
}

func newSchedule(length time.Duration, surge, saturation float64) schedule {
	return schedule{
		length:     length,
		surgeStart: length / 4,
		surgeEnd:   length * 6 / 10,
		surge:      surge,
		saturation: saturation,
	}
}

// rate returns the requests a second that begin at a time.
func (s schedule) rate(at time.Duration) float64 {
	if at >= s.surgeStart && at < s.surgeEnd {
		return s.surge * s.saturation
	}
	return quietLoad * s.saturation
}

// outcome is what one request came to.
type outcome struct {
	kind  int
	tag   string
	began time.Duration
	took  time.Duration
	tries int
	done  bool
	// answer is what the last try was told: an outcome of the system, or the
	// kind of failure.
	answer string
}

// load makes the requests of a demonstration.
type load struct {
	deployment Deployment
	schedule   schedule
	targets    map[waxwingseam.ServiceName][]netip.AddrPort
	// entry is set when the path names the service.
	entry   bool
	clients []*http.Client
	random  *rand.Rand
	start   time.Time

	mu       sync.Mutex
	outcomes []outcome
	answers  []auditor.Answer
}

// newLoad returns the load on a fleet. With the layer on a request may enter
// at any node, else it goes to a stand-in of its service.
func newLoad(f *launcher.Fleet, d Deployment, s schedule, on bool, seed uint64) *load {
	l := &load{
		deployment: d,
		schedule:   s,
		targets:    map[waxwingseam.ServiceName][]netip.AddrPort{},
		entry:      on,
		clients:    newClients(),
		random:     rand.New(rand.NewPCG(seed, seed)),
	}
	for _, v := range f.StandIns {
		for _, service := range d.Services {
			if on {
				l.targets[service.Name] = append(l.targets[service.Name], v.Entry)
			} else if service.Name == v.Service.Name {
				l.targets[service.Name] = append(l.targets[service.Name], v.Address())
			}
		}
	}
	return l
}

func newClients() []*http.Client {
	list := make([]*http.Client, clients)
	for n := range list {
		list[n] = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}}
	}
	return list
}

// run makes requests until the schedule or the context ends, and returns when
// all have been answered.
func (l *load) run(ctx context.Context, progress func(at time.Duration)) {
	l.start = time.Now()
	var wait sync.WaitGroup
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	due, number := 0.0, 0
	last := time.Duration(0)
	for ctx.Err() == nil {
		<-ticker.C
		at := time.Since(l.start)
		if at >= l.schedule.length {
			break
		}
		due += l.schedule.rate(at) * (at - last).Seconds()
		last = at
		for ; due >= 1; due-- {
			r := l.prepare(number, at)
			number++
			wait.Go(func() { l.request(ctx, r) })
		}
		progress(at)
	}
	wait.Wait()
	progress(l.schedule.length)
	for _, c := range l.clients {
		c.CloseIdleConnections()
	}
}

// prepared is one request before its first try.
type prepared struct {
	outcome
	client  *http.Client
	request Request
	targets []netip.AddrPort
	body    []byte
}

// prepare draws the kind and the targets of a request.
func (l *load) prepare(number int, at time.Duration) prepared {
	kind := l.draw()
	request := l.deployment.Requests[kind]
	p := prepared{
		outcome: outcome{kind: kind, tag: "request-" + strconv.Itoa(number), began: at},
		client:  l.clients[number%clients],
		request: request,
		body:    bytes.Repeat([]byte{byte(number)}, request.BodyLength),
	}
	targets := l.targets[request.Service]
	for range maxTries {
		p.targets = append(p.targets, targets[l.random.IntN(len(targets))])
	}
	return p
}

func (l *load) draw() int {
	n := l.random.IntN(100)
	for i, r := range l.deployment.Requests {
		if n -= r.Percent; n < 0 {
			return i
		}
	}
	return len(l.deployment.Requests) - 1
}

// request sends a request until it is done or its tries are used up.
func (l *load) request(ctx context.Context, p prepared) {
	for _, target := range p.targets {
		p.tries++
		if p.done = l.try(ctx, &p, target); p.done {
			break
		}
	}
	p.took = time.Since(l.start) - p.began
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, p.outcome)
}

func (l *load) try(ctx context.Context, p *prepared, target netip.AddrPort) bool {
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
	time.Sleep(distance)
	response, err := p.client.Do(request)
	defer time.Sleep(distance)
	if err != nil {
		p.answer = "no answer in time"
		return false
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		p.answer = "answer cut off"
		return false
	}
	p.answer = answered(response)
	if response.StatusCode >= http.StatusBadRequest {
		return false
	}
	l.check(p, data)
	return true
}

// answered names a response by its outcome, or by its status without one.
func answered(r *http.Response) string {
	if v := r.Header.Get("Waxwingseam-Outcome"); v != "" && v != "completed" {
		return v
	}
	return "status " + strconv.Itoa(r.StatusCode)
}

func (l *load) url(p *prepared, target netip.AddrPort) string {
	url := "http://" + target.String()
	if l.entry {
		url += "/" + string(p.request.Service)
	}
	return url + p.request.Path
}

// check keeps whether a caller got the answer to its own request.
func (l *load) check(p *prepared, data []byte) {
	want := fmt.Sprintf("%s %s %d", p.request.Path, p.tag, xxhash.Sum64(p.body))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, auditor.Answer{
		Name: p.tag,
		Want: xxhash.Sum64String(want),
		Got:  xxhash.Sum64String(summary(data)),
	})
}
