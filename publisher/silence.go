package publisher

import (
	"sync/atomic"
	"time"
)

// graceTime is what a connection gets beyond SilentAfter. A process that was
// itself held up finds messages waiting then, and reads them before it judges
// the other end.
const graceTime = 50 * time.Millisecond

// Silence hangs up a connection on which nothing is heard for SilentAfter.
type Silence struct {
	timer *time.Timer
	heard atomic.Int64
}

// NewSilence returns a watch that calls hangUp once, when nothing is heard.
func NewSilence(hangUp func()) *Silence {
	s := &Silence{}
	s.timer = time.AfterFunc(SilentAfter, func() {
		before := s.heard.Load()
		time.AfterFunc(graceTime, func() {
			if s.heard.Load() == before {
				hangUp()
			}
		})
	})
	return s
}

// Heard says that a message has come in.
func (s *Silence) Heard() {
	s.heard.Add(1)
	s.timer.Reset(SilentAfter)
}

// Stop ends the watch.
func (s *Silence) Stop() {
	s.heard.Add(1)
	s.timer.Stop()
}
