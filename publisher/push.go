package publisher

import (
	"maps"
	"slices"
	"strings"

	"waxwingseam.example/waxwingseam"
)

// next takes what the watcher is to be told.
func (p *publisher) next(s *session, beat bool) (push Push, empty bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.peer {
		p.addHolding(&push, beat)
	} else if err := p.addRevision(s, &push); err != nil {
		return push, false, err
	}
	p.addServers(s, &push)
	p.addReplicas(s, &push)
	push.LatestIncarnation, s.outlived = s.outlived, 0
	push.Unconfirmed = push.Unconfirmed || !p.confirmed.current()
	empty = len(push.Steps)+len(push.Set)+len(push.Present)+len(push.Gone) == 0 && !push.Complete && push.LatestIncarnation == 0
	return push, empty, nil
}

// addReplicas adds the control replicas when they have changed.
func (p *publisher) addReplicas(s *session, push *Push) {
	if p.config.Replicas == nil || s.peer {
		return
	}
	if now := p.config.Replicas(); !slices.Equal(now, s.replicas) {
		s.replicas, push.Replicas = now, now
	}
}

func (p *publisher) addHolding(push *Push, beat bool) {
	if beat {
		holding := p.holding()
		push.Summary = &holding
	}
}

// addRevision adds what leads from the revision that the watcher has to the
// newest. A watcher without a set gets one only once the state is confirmed.
func (p *publisher) addRevision(s *session, push *Push) error {
	if s.reported.Revision == 0 && !s.cleared {
		p.confirm(s)
		push.Unconfirmed = true
		return nil
	}
	if s.sent >= p.head.Set.Revision {
		return nil
	}
	push.Steps = p.stepsAfter(s.sent)
	if push.Steps == nil {
		if err := p.pack(); err != nil {
			return err
		}
		push.Set = p.packed
	}
	s.sent = p.head.Set.Revision
	return nil
}

// confirm asks for the state to be confirmed.
func (p *publisher) confirm(s *session) {
	if s.asking {
		return
	}
	s.asking = true
	p.confirmed.ask(func(err error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		s.asking = false
		s.cleared = err == nil
		if s.cleared {
			s.wake()
		}
	})
}

// pack packs the newest set, once for all watchers.
func (p *publisher) pack() error {
	if p.packed != nil {
		return nil
	}
	packed, err := Pack(p.head.Set)
	p.packed = packed
	return err
}

// stepsAfter returns the steps from a revision to the newest; nil when they
// are not all kept.
func (p *publisher) stepsAfter(r waxwingseam.Revision) []Step {
	missing := int(p.head.Set.Revision - r)
	if r == 0 || missing > len(p.steps) {
		return nil
	}
	return slices.Clone(p.steps[len(p.steps)-missing:])
}

// addServers adds the servers that changed since the last push.
func (p *publisher) addServers(s *session, push *Push) {
	for _, name := range slices.SortedFunc(maps.Keys(s.dirty), compareNames) {
		if v, ok := p.table[name]; ok && s.wants(v) {
			push.Present = append(push.Present, v.Announcement)
			continue
		}
		push.Gone = append(push.Gone, s.dirty[name])
	}
	clear(s.dirty)
	if s.whole || !p.complete(s) {
		return
	}
	s.whole, push.Complete = true, true
	push.Present = nil
	for _, v := range p.table {
		if s.wants(v) {
			push.Present = append(push.Present, v.Announcement)
		}
	}
}

// complete reports whether the replica knows all that the watcher wants.
func (p *publisher) complete(s *session) bool {
	if s.peer {
		return p.knowsOwn()
	}
	return p.knowsAll()
}

func compareNames(a, b waxwingseam.ServerName) int {
	return strings.Compare(string(a), string(b))
}
