package subscriber

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/publisher"
	"waxwingseam.example/waxwingseam/registrar"
)

// ownEndings are the endings of the node's own backend server.
type ownEndings struct {
	list registrar.Endings
	// confirmed are those that the watched replica has.
	confirmed registrar.Endings
	// changed is closed when confirmed changes.
	changed chan struct{}
}

// RecordEnding implements Subscriber.
func (s *subscriber) RecordEnding(ctx context.Context, e waxwingseam.Ending) error {
	s.mu.Lock()
	s.endings.list.Add(time.Now(), e)
	// A replica that has the ending already confirms it again: it may have restarted.
	s.endings.confirmed = nil
	s.changed.endings = true
	s.mu.Unlock()
	s.wake()
	for {
		s.mu.Lock()
		confirmed, changed := s.endings.confirmed.Has(e), s.endings.changed
		s.mu.Unlock()
		if confirmed {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
}

// receiveEndings applies the endings in a push.
func (s *subscriber) receiveEndings(p *publisher.Push) {
	s.mu.Lock()
	endings := p.Endings[s.announcement.Server.Name]
	if len(endings) > 0 {
		s.endings.confirmed = endings
	}
	endings = append(slices.Clone(endings), p.UnstoredEndings...)
	for _, e := range endings {
		s.endings.list.Add(time.Now(), e)
	}
	close(s.endings.changed)
	s.endings.changed = make(chan struct{})
	s.mu.Unlock()
	s.config.Step(func(stamp waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.EndingsLearned{Stamp: stamp, Endings: endings, Complete: p.EndingsComplete}
	})
}

// Servers implements Subscriber.
func (s *subscriber) Servers() []waxwingseam.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]waxwingseam.Server, 0, len(s.servers))
	for _, a := range s.servers {
		out = append(out, a.Server)
	}
	return out
}
