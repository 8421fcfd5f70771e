package publisher

import (
	"maps"
	"slices"
	"strings"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/checker"
)

// nextPush returns what is to be sent to a watcher and marks it as sent. empty is
// set if the push may be skipped when no heartbeat is due.
func (p *publisher) nextPush(s *session, heartbeatDue bool) (push Push, empty bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.peer {
		p.addSummary(s, &push, heartbeatDue)
	} else if err := p.addRevision(s, &push); err != nil {
		return push, false, err
	}
	p.addServers(s, &push)
	p.addReplicas(s, &push)
	p.addEndingsTo(s, &push)
	push.LatestIncarnation, s.latestIncarnation = s.latestIncarnation, 0
	push.Orders, s.orders = s.orders, nil
	push.Echo = s.reportSent
	push.Unconfirmed = push.Unconfirmed || !p.batcher.confirmed()
	p.addRetryUsesTo(s, &push)
	empty = len(push.Steps)+len(push.Set)+len(push.Present)+len(push.Gone) == 0 && !push.Complete && push.LatestIncarnation == 0 && len(push.Orders) == 0 &&
		len(push.Endings)+len(push.UnstoredEndings) == 0 && !push.EndingsComplete &&
		push.RetryHistory == nil && len(push.RetryUses) == 0 && push.RetryUsesCovered == 0
	return push, empty, nil
}

// addReplicas adds the control replicas if they have changed.
func (p *publisher) addReplicas(s *session, push *Push) {
	if p.config.Replicas == nil || s.peer {
		return
	}
	if now := p.config.Replicas(); !slices.Equal(now, s.replicas) {
		s.replicas, push.Replicas = now, now
	}
}

func (p *publisher) addSummary(s *session, push *Push, heartbeatDue bool) {
	if heartbeatDue {
		summary := p.summary()
		push.Summary = &summary
		p.addUsage(s, push)
	}
}

// addRevision adds the steps to the newest revision, or the newest set. A watcher
// without a set receives one only after the state was confirmed.
func (p *publisher) addRevision(s *session, push *Push) error {
	if s.reported.Revision == 0 && !s.confirmed {
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

// confirm requests a confirmation of the state unless a request is pending.
func (p *publisher) confirm(s *session) {
	if s.confirming {
		return
	}
	s.confirming = true
	p.batcher.request(func(err error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		s.confirming = false
		s.confirmed = err == nil
		if s.confirmed {
			s.wake()
		}
	})
}

// pack packs the newest set, without keys, once for all watchers.
func (p *publisher) pack() error {
	if p.packed != nil {
		return nil
	}
	packed, err := Pack(checker.WithoutKeys(p.head.Set))
	p.packed = packed
	return err
}

// stepsAfter returns the steps from a revision to the newest; nil if r is 0 or
// some of them are not kept.
func (p *publisher) stepsAfter(r waxwingseam.Revision) []Step {
	missing := int(p.head.Set.Revision - r)
	if r == 0 || missing > len(p.steps) {
		return nil
	}
	return slices.Clone(p.steps[len(p.steps)-missing:])
}

// addServers adds the servers that changed since the last push, or all servers as
// soon as the table is complete.
func (p *publisher) addServers(s *session, push *Push) {
	for _, name := range slices.SortedFunc(maps.Keys(s.dirty), compareNames) {
		if v, ok := p.table[name]; ok && s.covers(v) {
			push.Present = append(push.Present, v.Announcement)
			continue
		}
		push.Gone = append(push.Gone, s.dirty[name])
	}
	clear(s.dirty)
	if s.sentComplete || !p.serversComplete(s) {
		return
	}
	s.sentComplete, push.Complete = true, true
	push.Present = nil
	for _, v := range p.table {
		if s.covers(v) {
			push.Present = append(push.Present, v.Announcement)
		}
	}
}

// serversComplete reports whether the table contains all servers that the session
// covers.
func (p *publisher) serversComplete(s *session) bool {
	if s.peer {
		return p.ownServersComplete()
	}
	return p.allServersComplete()
}

func compareNames(a, b waxwingseam.ServerName) int {
	return strings.Compare(string(a), string(b))
}
