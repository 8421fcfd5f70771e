package forwarder

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// cancelTimeout limits the wait for the end of a cancelled attempt, and
	// silentCancelTimeout the wait on a connection on which nothing is received.
	cancelTimeout       = time.Second
	silentCancelTimeout = 2 * heartbeatInterval
	// minCancelInterval and maxCancelInterval bound the time between two deliveries of
	// a cancellation that was not answered.
	minCancelInterval = 50 * time.Millisecond
	maxCancelInterval = time.Second
)

// cancel tells the receiving node that the attempt is no longer wanted. If the node does
// not end the attempt in time, it is told over fresh connections.
func (a *attempt) cancel() {
	a.mu.Lock()
	a.cancelled = true
	c, sent, opened, ended := a.channel, a.sent, a.opened, a.ended
	a.mu.Unlock()
	if !sent || ended {
		return
	}
	time.AfterFunc(silentCancelTimeout, func() { a.checkCancelled(c, c.received()) })
	if opened && c.send(frame{Kind: frameCancel}) != nil {
		a.deliverCancellation()
	}
}

// checkCancelled delivers the cancellation over fresh connections if the channel has
// received nothing since it was sent. Otherwise the receiving node gets more time.
func (a *attempt) checkCancelled(c *channel, receivedBefore time.Duration) {
	if c.received() == receivedBefore {
		a.deliverCancellation()
		return
	}
	time.AfterFunc(cancelTimeout-silentCancelTimeout, a.deliverCancellation)
}

// deliverCancellation closes the connection of a cancelled attempt that has not ended. It
// tells the receiving node over fresh connections until the node answers or the call's
// deadline passes.
func (a *attempt) deliverCancellation() {
	a.mu.Lock()
	c, due := a.channel, a.sent && !a.ended
	a.mu.Unlock()
	if !due {
		return
	}
	a.cancelDelivery.Do(func() {
		if c != nil {
			c.closeUnlessStopped()
		}
		go a.askToCancel()
	})
}

func (a *attempt) askToCancel() {
	interval := minCancelInterval
	for time.Now().Before(a.call.Deadline) {
		_, err := a.exchange.forwarder.askFence(waxwingseam.Fence{
			ID:     a.call.ID,
			Server: a.server,
			Until:  a.call.Deadline.Add(maxSkew),
		}, true)
		if err == nil {
			return
		}
		a.exchange.forwarder.config.Logger.Debug("delivering a cancellation failed",
			"call", a.call.ID.String(), "server", string(a.server.Name), "error", err)
		time.Sleep(interval)
		interval = min(2*interval, maxCancelInterval)
	}
}
