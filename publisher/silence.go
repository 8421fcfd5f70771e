package publisher

import (
	"sync/atomic"
	"time"
)

// gracePeriod is added to SilenceTimeout before a connection is closed. It lets a
// process that was itself suspended read the messages that arrived meanwhile.
const gracePeriod = 50 * time.Millisecond

// Watchdog closes a connection that delivers no message for SilenceTimeout.
type Watchdog struct {
	timer  *time.Timer
	resets atomic.Int64
}

// NewWatchdog returns a running watchdog that calls onTimeout to close the
// connection.
func NewWatchdog(onTimeout func()) *Watchdog {
	w := &Watchdog{}
	w.timer = time.AfterFunc(SilenceTimeout, func() {
		before := w.resets.Load()
		time.AfterFunc(gracePeriod, func() {
			if w.resets.Load() == before {
				onTimeout()
			}
		})
	})
	return w
}

// MessageReceived restarts the timeout.
func (w *Watchdog) MessageReceived() {
	w.resets.Add(1)
	w.timer.Reset(SilenceTimeout)
}

// Stop stops the watchdog.
func (w *Watchdog) Stop() {
	w.resets.Add(1)
	w.timer.Stop()
}
