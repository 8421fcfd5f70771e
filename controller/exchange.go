package controller

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/messenger"
	"waxwingseam.example/waxwingseam/publisher"
)

const (
	// exchangeDialTimeout bounds the time to reach another replica.
	exchangeDialTimeout = 500 * time.Millisecond
	// exchangeBackoff is the mean time between attempts.
	exchangeBackoff = 500 * time.Millisecond
	// followEvery is the time between two looks at the members of the cluster.
	followEvery = 500 * time.Millisecond
)

// followPeers keeps an exchange with each other control replica, as replicas come
// and go.
func (c *controller) followPeers(ctx context.Context) error {
	ticker := time.NewTicker(followEvery)
	defer ticker.Stop()
	for {
		c.matchExchanges(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// matchExchanges begins an exchange with each new peer, and ends those with the
// ones that are gone.
func (c *controller) matchExchanges(ctx context.Context) {
	peers := c.peers()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range peers {
		if c.exchanges[address] == nil {
			c.exchanges[address] = startExchange(ctx, c, address)
		}
	}
	maps.DeleteFunc(c.exchanges, func(address netip.AddrPort, x *exchange) bool {
		if slices.Contains(peers, address) {
			return false
		}
		x.stop()
		return true
	})
}

// exchange learns from one other control replica which servers announce
// themselves there, and which revisions its nodes hold.
type exchange struct {
	controller *controller
	address    netip.AddrPort
	stop       context.CancelFunc

	mu      sync.Mutex
	holding *publisher.RevisionSummary
}

func startExchange(ctx context.Context, c *controller, address netip.AddrPort) *exchange {
	ctx, stop := context.WithCancel(ctx)
	x := &exchange{controller: c, address: address, stop: stop}
	go x.run(ctx)
	return x
}

// latest returns the latest summary while the replica is in touch.
func (x *exchange) latest() (publisher.RevisionSummary, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.holding == nil {
		return publisher.RevisionSummary{}, false
	}
	return *x.holding, true
}

// run keeps a stream to the other replica until the context ends.
func (x *exchange) run(ctx context.Context) {
	logger := x.controller.config.Logger("exchange")
	for ctx.Err() == nil {
		err := x.watch(ctx)
		logger.Info("left another control replica", "address", x.address, "cause", err)
		x.forget()
		x.step(func(s waxwingseam.Stamp) waxwingseam.Event {
			return waxwingseam.PeerLost{Stamp: s, Peer: x.address.String()}
		})
		select {
		case <-ctx.Done():
		case <-time.After(exchangeBackoff/2 + rand.N(exchangeBackoff)):
		}
	}
}

func (x *exchange) forget() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.holding = nil
}

func (x *exchange) step(build func(waxwingseam.Stamp) waxwingseam.Event) {
	x.controller.runner.Step(build)
}

// watch keeps one stream until it fails or goes silent.
func (x *exchange) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dialing, done := context.WithTimeout(ctx, exchangeDialTimeout)
	conn, err := x.controller.config.Dialer.Dial(dialing, x.address)
	done()
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = conn.Close() }()
	silence := publisher.NewWatchdog(func() { _ = conn.Close() })
	defer silence.Stop()
	stream, err := conn.NewStream(ctx, publisher.WatchMethod, messenger.Encoding)
	if err != nil {
		return trace.Wrap(err)
	}
	report := publisher.Report{Peer: true, Interest: &publisher.Interest{All: true}}
	if err := stream.MsgSend(&report, messenger.Encoding); err != nil {
		return trace.Wrap(err)
	}
	go x.beat(ctx, stream)
	return x.read(stream, silence)
}

// beat sends heartbeats.
func (x *exchange) beat(ctx context.Context, stream drpc.Stream) {
	ticker := time.NewTicker(publisher.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if err := stream.MsgSend(&publisher.Report{}, messenger.Encoding); err != nil {
				return
			}
		}
	}
}

// read takes in pushes.
func (x *exchange) read(stream drpc.Stream, silence *publisher.Watchdog) error {
	for {
		var p publisher.Push
		if err := stream.MsgRecv(&p, messenger.Encoding); err != nil {
			return trace.Wrap(err)
		}
		silence.MessageReceived()
		x.take(&p)
	}
}

func (x *exchange) take(p *publisher.Push) {
	if p.Summary != nil {
		x.mu.Lock()
		x.holding = p.Summary
		x.mu.Unlock()
	}
	if p.Complete {
		x.controller.publisher.MarkPeerComplete(x.address.String())
	}
	if len(p.Present)+len(p.Gone) == 0 && !p.Complete {
		return
	}
	x.step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.PeerServersUpdated{
			Stamp:    s,
			Peer:     x.address.String(),
			Present:  p.Present,
			Gone:     p.Gone,
			Complete: p.Complete,
		}
	})
}
