package dispatcher

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// callArrived handles a new call: it sends the first attempt or refuses the call.
func (d *dispatcher) callArrived(c *waxwingseam.Context, e waxwingseam.CallArrived) {
	f, reason := d.newFlight(c, e)
	if reason == waxwingseam.ReasonUnauthenticated && d.hold(c, e) {
		return
	}
	d.begin(c, e, f, reason)
}

// begin sends the first attempt of a call, or refuses the call for a reason.
func (d *dispatcher) begin(c *waxwingseam.Context, e waxwingseam.CallArrived, f *flight, reason waxwingseam.Reason) {
	if reason != waxwingseam.ReasonNone {
		c.Emit(waxwingseam.Reply{
			ID:     e.ID,
			Result: waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: reason},
		})
		return
	}
	d.flights[e.ID] = f
	if !c.Now.Before(f.call.Deadline) {
		d.finish(c, f, waxwingseam.Result{Reason: waxwingseam.ReasonDeadline})
		return
	}
	if d.takeAccount(c, f) {
		d.send(c, f)
	}
}

// newFlight returns the flight of a new call, or the reason to refuse it.
func (d *dispatcher) newFlight(c *waxwingseam.Context, e waxwingseam.CallArrived) (*flight, waxwingseam.Reason) {
	class, reason := d.classify(c, e)
	if reason != waxwingseam.ReasonNone {
		return nil, reason
	}
	parent := d.Tracker.ParentRun(e)
	var account waxwingseam.ClientAccount
	if parent.IsZero() {
		if account, reason = d.authenticate(c, e, class); reason != waxwingseam.ReasonNone {
			return nil, reason
		}
	}
	limit, _ := c.Set.RetryLimit(class.RetryLimit)
	f := &flight{
		call: waxwingseam.Call{
			ID:        e.ID,
			RequestID: e.RequestID,
			Service:   d.roundRobins.choose(c, e.Service, class),
			Class:     class.Name,
			Repeat:    class.Repeat,
			Key:       e.Key,
			Revision:  c.Set.Revision,
		},
		limit:      limit,
		largeReply: class.LargeReplies,
		replayable: e.Replayable,
		receiving:  e.Receiving,
		arrived:    c.Now,
		timeout:    e.Timeout,
	}
	if parent.IsZero() {
		f.call.Account = account.Name
		// Calls of backend servers carry no key.
		e.Outbound = e.Outbound && account.Name == ""
		d.initRoot(c, f, e, class)
		if account.HasImportance {
			f.call.Rank.Importance = account.Importance
		}
		return f, waxwingseam.ReasonNone
	}
	return f, d.initChild(c, f, parent, e, class)
}

// classify returns the class of a new call, or the reason to refuse it. Without
// a configuration, the node can't tell which services and classes there are, and
// refuses calls with ReasonNoConfiguration.
func (d *dispatcher) classify(c *waxwingseam.Context, e waxwingseam.CallArrived) (waxwingseam.RequestClass, waxwingseam.Reason) {
	if c.Set.Revision == 0 && (e.Service == "" || len(c.Set.Services) == 0) {
		return waxwingseam.RequestClass{}, waxwingseam.ReasonNoConfiguration
	}
	if e.Service != "" {
		if _, ok := c.Set.Service(e.Service); !ok {
			return waxwingseam.RequestClass{}, waxwingseam.ReasonUnknownService
		}
	}
	class, ok := d.Classifier.Classify(waxwingseam.Request{
		Service: e.Service,
		Host:    e.Host,
		Method:  e.Method,
		Path:    e.Path,
	})
	if !ok {
		return class, waxwingseam.ReasonUnknownClass
	}
	return class, waxwingseam.ReasonNone
}

// initRoot initializes a call without a known parent run and sets the
// allowance that it shares with the calls below it: that of its key if the key
// already has one, none for an outbound call of a class without a host, and
// that of the retry limit otherwise.
func (d *dispatcher) initRoot(c *waxwingseam.Context, f *flight, e waxwingseam.CallArrived, class waxwingseam.RequestClass) {
	f.call.Root = e.Root
	f.call.Trace = e.Trace
	f.call.Rank = d.Classifier.Rank(c, class, e.Root)
	f.call.Deadline = c.Now.Add(class.Deadline)
	f.shortenDeadline(c, e.Timeout)
	granted := f.limit.Allowance
	f.refusable = !e.Outbound
	f.late = f.refusable && d.lateness.late(c.Now, class, e.Timeout)
	switch {
	case e.Outbound && class.Host == "":
		granted = 0
	case e.Outbound:
		// The node has no record of the run that made the call, but work has
		// already been done for the request.
		f.call.Depth = 1
	}
	f.allowance = &waxwingseam.SharedAllowance{Remaining: granted}
	if key, ok := f.rootKey(); ok {
		d.keyAllowances.expire(c.Now)
		f.allowance = d.keyAllowances.acquire(key, granted)
	}
}

// initChild initializes a call that a run of this node has made. It returns the
// reason to refuse the call when the run is unknown.
func (d *dispatcher) initChild(c *waxwingseam.Context, f *flight, id waxwingseam.CallID, e waxwingseam.CallArrived, class waxwingseam.RequestClass) waxwingseam.Reason {
	parent, ok := d.Tracker.RunningCall(id)
	if !ok {
		return waxwingseam.ReasonUnknownContext
	}
	f.call.Root = parent.Root
	f.call.Account = parent.Account
	f.call.Trace = parent.Trace
	f.call.Parent = parent.ID
	f.call.Rank = parent.Rank
	f.call.RefusedPermille = parent.RefusedPermille
	f.call.Depth = parent.Depth + 1
	f.repeated = parent.Repeated
	f.call.Deadline = parent.Deadline
	f.shortenDeadline(c, e.Timeout)
	if class.Host != "" {
		f.shortenDeadline(c, class.Deadline)
	}
	f.allowance = d.Tracker.OpenChild(parent.ID, e.ID)
	// A leaf call has an allowance of its own: its retries cause no calls
	// below it, so that attempts do not multiply.
	if f.limit.CallAllowance > 0 && d.Retrier.IsLeafClass(class.Name) {
		f.allowance = &waxwingseam.SharedAllowance{Remaining: f.limit.CallAllowance}
	}
	return waxwingseam.ReasonNone
}

// shortenDeadline limits the deadline to a timeout from now; 0 means no timeout.
func (f *flight) shortenDeadline(c *waxwingseam.Context, timeout time.Duration) {
	if timeout <= 0 {
		return
	}
	if at := c.Now.Add(timeout); at.Before(f.call.Deadline) {
		f.call.Deadline = at
	}
}
