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
	// exchangeDialTimeout bounds the time to connect to another replica.
	exchangeDialTimeout = 500 * time.Millisecond
	// exchangeBackoff is the mean delay before a reconnect.
	exchangeBackoff = 500 * time.Millisecond
	// peerCheckInterval is the time between checks of the cluster's members.
	peerCheckInterval = 500 * time.Millisecond
)

// maintainExchanges runs an exchange with each other control replica of the
// current membership until the context ends.
func (c *controller) maintainExchanges(ctx context.Context) error {
	ticker := time.NewTicker(peerCheckInterval)
	defer ticker.Stop()
	for {
		c.updateExchanges(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// updateExchanges starts an exchange with each new peer and stops those with
// former peers.
func (c *controller) updateExchanges(ctx context.Context) {
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

// exchange receives from one other control replica the servers that are
// announced there and a summary of the revisions that its nodes hold.
type exchange struct {
	controller *controller
	address    netip.AddrPort
	stop       context.CancelFunc

	mu      sync.Mutex
	summary *publisher.RevisionSummary
	usage   *publisher.UsageSummary
}

func startExchange(ctx context.Context, c *controller, address netip.AddrPort) *exchange {
	ctx, stop := context.WithCancel(ctx)
	x := &exchange{controller: c, address: address, stop: stop}
	go x.run(ctx)
	return x
}

// latestSummary returns the latest summary received on the current stream, if any.
func (x *exchange) latestSummary() (publisher.RevisionSummary, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.summary == nil {
		return publisher.RevisionSummary{}, false
	}
	return *x.summary, true
}

// latestUsage returns the latest use of client accounts received on the current stream,
// and whether there is a stream.
func (x *exchange) latestUsage() (publisher.UsageSummary, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.usage == nil {
		return publisher.UsageSummary{}, x.summary != nil
	}
	return *x.usage, true
}

// run opens streams to the other replica, one after another, until the context
// ends.
func (x *exchange) run(ctx context.Context) {
	logger := x.controller.config.Logger("exchange")
	for ctx.Err() == nil {
		err := x.watch(ctx)
		logger.Info("stream to another control replica ended", "address", x.address, "cause", err)
		x.clearSummary()
		x.step(func(s waxwingseam.Stamp) waxwingseam.Event {
			return waxwingseam.PeerLost{Stamp: s, Peer: x.address.String()}
		})
		select {
		case <-ctx.Done():
		case <-time.After(exchangeBackoff/2 + rand.N(exchangeBackoff)):
		}
	}
}

func (x *exchange) clearSummary() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.summary, x.usage = nil, nil
}

func (x *exchange) step(build func(waxwingseam.Stamp) waxwingseam.Event) {
	x.controller.runner.Step(build)
}

// watch reads one stream until it fails or the peer sends nothing for too long.
func (x *exchange) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dialCtx, cancelDial := context.WithTimeout(ctx, exchangeDialTimeout)
	conn, err := x.controller.config.Dialer.Dial(dialCtx, x.address)
	cancelDial()
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
	go x.sendHeartbeats(ctx, stream)
	return x.receivePushes(stream, silence)
}

// sendHeartbeats sends heartbeats until the context ends or the stream fails.
func (x *exchange) sendHeartbeats(ctx context.Context, stream drpc.Stream) {
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

// receivePushes handles the peer's pushes until the stream ends.
func (x *exchange) receivePushes(stream drpc.Stream, silence *publisher.Watchdog) error {
	for {
		var p publisher.Push
		if err := stream.MsgRecv(&p, messenger.Encoding); err != nil {
			return trace.Wrap(err)
		}
		silence.MessageReceived()
		x.handlePush(&p)
	}
}

func (x *exchange) handlePush(p *publisher.Push) {
	if p.Summary != nil {
		x.mu.Lock()
		x.summary = p.Summary
		x.mu.Unlock()
	}
	if p.Usage != nil {
		x.mu.Lock()
		x.usage = p.Usage
		x.mu.Unlock()
	}
	if p.Complete {
		x.controller.publisher.MarkPeerComplete(x.address.String())
	}
	if len(p.Endings) > 0 || p.EndingsComplete {
		x.controller.publisher.AddEndings(x.address.String(), p.Endings, p.EndingsComplete)
	}
	if len(p.RetryUses) > 0 || p.RetryUsesCovered > 0 {
		x.controller.publisher.AddRetryUses(x.address.String(), p.RetryUses, p.RetryUsesCovered)
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
