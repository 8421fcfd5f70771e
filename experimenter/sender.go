package experimenter

import (
	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/classifier"
)

// timerDeadline is due at a call's deadline.
const timerDeadline waxwingseam.TimerPurpose = "experiment-deadline"

// sender is the sending half of the baselines: it picks the less busy of two
// random servers and retries a failed call a fixed number of times at once.
type sender struct {
	families   *families
	retries    int
	classifier waxwingseam.Classifier
	servers    map[waxwingseam.ServiceName][]waxwingseam.Server
	busy       map[waxwingseam.ServerName]int
	calls      map[waxwingseam.CallID]*sending
}

// sending is a call under way.
type sending struct {
	call    waxwingseam.Call
	attempt waxwingseam.Attempt
	server  waxwingseam.ServerName
}

func newSender(f *families, retries int) waxwingseam.Worker {
	return &sender{
		families:   f,
		retries:    retries,
		classifier: classifier.New(),
		servers:    map[waxwingseam.ServiceName][]waxwingseam.Server{},
		busy:       map[waxwingseam.ServerName]int{},
		calls:      map[waxwingseam.CallID]*sending{},
	}
}

// Kinds implements waxwingseam.Worker.
func (s *sender) Kinds() []waxwingseam.Kind {
	return []waxwingseam.Kind{
		waxwingseam.KindCallArrived,
		waxwingseam.KindCallerLeft,
		waxwingseam.KindAttemptEnded,
		waxwingseam.KindTimerFired,
		waxwingseam.KindRunEnded,
		waxwingseam.KindSetAdopted,
		waxwingseam.KindServersUpdated,
	}
}

// Reduce implements waxwingseam.Worker.
func (s *sender) Reduce(c *waxwingseam.Context, e waxwingseam.Event) {
	switch v := e.(type) {
	case waxwingseam.CallArrived:
		s.arrive(c, v)
	case waxwingseam.CallerLeft:
		s.drop(c, v.ID, waxwingseam.ReasonCancelled)
	case waxwingseam.AttemptEnded:
		s.attemptEnded(c, v)
	case waxwingseam.TimerFired:
		if v.Timer.Purpose == timerDeadline {
			s.drop(c, v.Timer.Call, waxwingseam.ReasonDeadline)
		}
	case waxwingseam.RunEnded:
		for _, child := range s.families.End(v.ID) {
			s.drop(c, child, waxwingseam.ReasonCancelled)
		}
	case waxwingseam.SetAdopted:
		s.classifier.Adopt(c.Set)
	case waxwingseam.ServersUpdated:
		for _, server := range v.Servers {
			s.learn(server)
		}
	}
}

func (s *sender) learn(server waxwingseam.Server) {
	known := s.servers[server.Service]
	for i := range known {
		if known[i].Name == server.Name {
			known[i] = server
			return
		}
	}
	s.servers[server.Service] = append(known, server)
}

func (s *sender) arrive(c *waxwingseam.Context, e waxwingseam.CallArrived) {
	class, ok := s.classifier.Classify(waxwingseam.Request{Service: e.Service, Path: e.Path})
	call := waxwingseam.Call{
		Root:     e.Root,
		ID:       e.ID,
		Parent:   e.Parent,
		Service:  e.Service,
		Class:    class.Name,
		Repeat:   class.Repeat,
		Deadline: c.Now.Add(class.Deadline),
		Key:      e.Key,
		Revision: c.Set.Revision,
	}
	if e.Parent.IsZero() {
		call.Rank = s.classifier.Rank(c, class, e.Root)
	} else {
		parent, live := s.families.RunningCall(e.Parent)
		ok = ok && live
		call.Root, call.Rank, call.Deadline = parent.Root, parent.Rank, parent.Deadline
		call.Depth = parent.Depth + 1
		s.families.OpenChild(e.Parent, e.ID)
	}
	if !ok {
		c.Emit(waxwingseam.Reply{ID: e.ID, Result: failure(waxwingseam.ReasonUnknownContext)})
		return
	}
	v := &sending{call: call}
	s.calls[e.ID] = v
	c.Emit(waxwingseam.ArmTimer{
		Timer: waxwingseam.TimerID{Purpose: timerDeadline, Call: e.ID},
		At:    call.Deadline,
	})
	s.dispatch(c, v)
}

func failure(reason waxwingseam.Reason) waxwingseam.Result {
	return waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: reason}
}

// dispatch sends one attempt to the less busy of two servers.
func (s *sender) dispatch(c *waxwingseam.Context, v *sending) {
	servers := s.servers[v.call.Service]
	random := c.Random()
	one := servers[random.IntN(len(servers))]
	other := servers[random.IntN(len(servers))]
	if s.busy[other.Name] < s.busy[one.Name] {
		one = other
	}
	s.busy[one.Name]++
	v.attempt++
	v.server = one.Name
	c.Emit(waxwingseam.Dispatch{Call: v.call, Attempt: v.attempt, Server: one})
}

func (s *sender) attemptEnded(c *waxwingseam.Context, e waxwingseam.AttemptEnded) {
	v, ok := s.calls[e.ID]
	if !ok || v.attempt != e.Attempt {
		return
	}
	s.busy[v.server]--
	if !succeeded(e.Result) && int(v.attempt) <= s.retries && c.Now.Before(v.call.Deadline) {
		s.dispatch(c, v)
		return
	}
	s.finish(c, e.ID)
	c.Emit(waxwingseam.Reply{ID: e.ID, Attempt: e.Attempt, Result: e.Result})
}

func (s *sender) finish(c *waxwingseam.Context, id waxwingseam.CallID) {
	delete(s.calls, id)
	c.Emit(waxwingseam.StopTimer{Timer: waxwingseam.TimerID{Purpose: timerDeadline, Call: id}})
}

// drop cancels a call that is still under way, and answers it.
func (s *sender) drop(c *waxwingseam.Context, id waxwingseam.CallID, reason waxwingseam.Reason) {
	v, ok := s.calls[id]
	if !ok {
		return
	}
	s.busy[v.server]--
	s.finish(c, id)
	c.Emit(waxwingseam.CancelAttempt{ID: id, Attempt: v.attempt})
	c.Emit(waxwingseam.Reply{ID: id, Result: waxwingseam.Result{
		Outcome: waxwingseam.OutcomeMayHaveRun,
		Reason:  reason,
	}})
}
