package publisher

import (
	"sync/atomic"
	"time"
)

// graceTime is what a connection gets beyond SilenceTimeout. A process that was
// itself held up finds messages waiting then, and reads them before it judges
// the other end.
const graceTime = 50 * time.Millisecond

// Watchdog hangs up a connection that delivers no message for SilenceTimeout.
type Watchdog struct {
	timer *time.Timer
	heard atomic.Int64
}

// NewWatchdog returns a running watchdog that calls hangUp at most once.
func NewWatchdog(hangUp func()) *Watchdog {
	s := &Watchdog{}
	s.timer = time.AfterFunc(SilenceTimeout, func() {
		before := s.heard.Load()
		time.AfterFunc(graceTime, func() {
			if s.heard.Load() == before {
				hangUp()
			}
		})
	})
	return s
}

// MessageReceived restarts the timeout.
func (s *Watchdog) MessageReceived() {
	s.heard.Add(1)
	s.timer.Reset(SilenceTimeout)
}

// Stop stops the watchdog.
func (s *Watchdog) Stop() {
	s.heard.Add(1)
	s.timer.Stop()
}
