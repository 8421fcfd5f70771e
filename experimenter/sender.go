package experimenter

import (
	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/classifier"
)

// timerDeadline is the purpose of the timer for a call's deadline.
const timerDeadline waxwingseam.TimerPurpose = "experiment-deadline"

// plainSender is the baselines' sender: it picks the less busy of two random
// servers and retries a failed call at once, up to a fixed number of times.
type plainSender struct {
	tracker      *plainTracker
	retries      int
	classifier   waxwingseam.Classifier
	servers      map[waxwingseam.ServiceName][]waxwingseam.Server
	openAttempts map[waxwingseam.ServerName]int
	calls        map[waxwingseam.CallID]*outgoingCall
}

// outgoingCall is an open call with its latest attempt.
type outgoingCall struct {
	call    waxwingseam.Call
	attempt waxwingseam.Attempt
	server  waxwingseam.ServerName
}

func newPlainSender(t *plainTracker, retries int) waxwingseam.Worker {
	return &plainSender{
		tracker:      t,
		retries:      retries,
		classifier:   classifier.New(),
		servers:      map[waxwingseam.ServiceName][]waxwingseam.Server{},
		openAttempts: map[waxwingseam.ServerName]int{},
		calls:        map[waxwingseam.CallID]*outgoingCall{},
	}
}

// Kinds implements waxwingseam.Worker.
func (s *plainSender) Kinds() []waxwingseam.Kind {
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
func (s *plainSender) Reduce(c *waxwingseam.Context, e waxwingseam.Event) {
	switch v := e.(type) {
	case waxwingseam.CallArrived:
		s.callArrived(c, v)
	case waxwingseam.CallerLeft:
		s.cancelCall(c, v.ID, waxwingseam.ReasonCancelled)
	case waxwingseam.AttemptEnded:
		s.attemptEnded(c, v)
	case waxwingseam.TimerFired:
		if v.Timer.Purpose == timerDeadline {
			s.cancelCall(c, v.Timer.Call, waxwingseam.ReasonDeadline)
		}
	case waxwingseam.RunEnded:
		for _, child := range s.tracker.End(v.ID) {
			s.cancelCall(c, child, waxwingseam.ReasonCancelled)
		}
	case waxwingseam.SetAdopted:
		s.classifier.Adopt(c.Set)
	case waxwingseam.ServersUpdated:
		for _, server := range v.Servers {
			s.updateServer(server)
		}
	}
}

func (s *plainSender) updateServer(server waxwingseam.Server) {
	servers := s.servers[server.Service]
	for i := range servers {
		if servers[i].Name == server.Name {
			servers[i] = server
			return
		}
	}
	s.servers[server.Service] = append(servers, server)
}

func (s *plainSender) callArrived(c *waxwingseam.Context, e waxwingseam.CallArrived) {
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
		parent, live := s.tracker.RunningCall(e.Parent)
		ok = ok && live
		call.Root, call.Rank, call.Deadline = parent.Root, parent.Rank, parent.Deadline
		call.Depth = parent.Depth + 1
		s.tracker.OpenChild(e.Parent, e.ID)
	}
	if !ok {
		c.Emit(waxwingseam.Reply{ID: e.ID, Result: didNotRun(waxwingseam.ReasonUnknownContext)})
		return
	}
	v := &outgoingCall{call: call}
	s.calls[e.ID] = v
	c.Emit(waxwingseam.ArmTimer{
		Timer: waxwingseam.TimerID{Purpose: timerDeadline, Call: e.ID},
		At:    call.Deadline,
	})
	s.dispatch(c, v)
}

func didNotRun(reason waxwingseam.Reason) waxwingseam.Result {
	return waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: reason}
}

// dispatch sends an attempt to the less busy of two random servers.
func (s *plainSender) dispatch(c *waxwingseam.Context, v *outgoingCall) {
	servers := s.servers[v.call.Service]
	random := c.Random()
	server := servers[random.IntN(len(servers))]
	other := servers[random.IntN(len(servers))]
	if s.openAttempts[other.Name] < s.openAttempts[server.Name] {
		server = other
	}
	s.openAttempts[server.Name]++
	v.attempt++
	v.server = server.Name
	c.Emit(waxwingseam.Dispatch{Call: v.call, Attempt: v.attempt, Server: server})
}

func (s *plainSender) attemptEnded(c *waxwingseam.Context, e waxwingseam.AttemptEnded) {
	v, ok := s.calls[e.ID]
	if !ok || v.attempt != e.Attempt {
		return
	}
	s.openAttempts[v.server]--
	if !succeeded(e.Result) && int(v.attempt) <= s.retries && c.Now.Before(v.call.Deadline) {
		s.dispatch(c, v)
		return
	}
	s.finish(c, e.ID)
	c.Emit(waxwingseam.Reply{ID: e.ID, Attempt: e.Attempt, Result: e.Result})
}

func (s *plainSender) finish(c *waxwingseam.Context, id waxwingseam.CallID) {
	delete(s.calls, id)
	c.Emit(waxwingseam.StopTimer{Timer: waxwingseam.TimerID{Purpose: timerDeadline, Call: id}})
}

// cancelCall cancels a call that is still open, and answers it.
func (s *plainSender) cancelCall(c *waxwingseam.Context, id waxwingseam.CallID, reason waxwingseam.Reason) {
	v, ok := s.calls[id]
	if !ok {
		return
	}
	s.openAttempts[v.server]--
	s.finish(c, id)
	c.Emit(waxwingseam.CancelAttempt{ID: id, Attempt: v.attempt})
	c.Emit(waxwingseam.Reply{ID: id, Result: waxwingseam.Result{
		Outcome: waxwingseam.OutcomeMayHaveRun,
		Reason:  reason,
	}})
}
