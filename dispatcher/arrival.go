package dispatcher

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// arrive places a new call and sends its first attempt.
func (d *dispatcher) arrive(c *waxwingseam.Context, e waxwingseam.CallArrived) {
	f, reason := d.place(c, e)
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
	d.send(c, f)
}

// place returns the flight of a new call, or the reason to refuse it.
func (d *dispatcher) place(c *waxwingseam.Context, e waxwingseam.CallArrived) (*flight, waxwingseam.Reason) {
	class, reason := d.classify(c, e)
	if reason != waxwingseam.ReasonNone {
		return nil, reason
	}
	limit, _ := c.Set.RetryLimit(class.RetryLimit)
	f := &flight{
		call: waxwingseam.Call{
			ID:        e.ID,
			RequestID: e.RequestID,
			Service:   d.shares.choose(c, e.Service, class),
			Class:     class.Name,
			Repeat:    class.Repeat,
			Key:       e.Key,
			Revision:  c.Set.Revision,
		},
		limit:      limit,
		replayable: e.Replayable,
	}
	parent := d.Tracker.ParentRun(e)
	if parent.IsZero() {
		d.placeRoot(c, f, e, class)
		return f, waxwingseam.ReasonNone
	}
	return f, d.placeChild(c, f, parent, e, class)
}

// classify finds the class of a new call. A caller that names a host instead of
// a service can't be told that there is no such class while the node has no
// configuration.
func (d *dispatcher) classify(c *waxwingseam.Context, e waxwingseam.CallArrived) (waxwingseam.RequestClass, waxwingseam.Reason) {
	if e.Service == "" && c.Set.Revision == 0 {
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

// placeRoot starts a new root, which is granted the allowance of its chain.
func (d *dispatcher) placeRoot(c *waxwingseam.Context, f *flight, e waxwingseam.CallArrived, class waxwingseam.RequestClass) {
	f.call.Root = e.Root
	f.call.Trace = e.Trace
	f.call.Rank = d.Classifier.Rank(c, class, e.Root)
	f.call.Deadline = c.Now.Add(class.Deadline)
	f.shortenDeadline(c, e.Timeout)
	granted := f.limit.Allowance
	switch {
	case e.Outbound && class.Host == "":
		granted = 0
	case e.Outbound:
		// The run that made the call is not known here any more, but work has
		// been done for it.
		f.call.Depth = 1
	}
	f.pot = &waxwingseam.SharedAllowance{Remaining: granted}
	if key, ok := f.rootKey(); ok {
		d.keys.expire(c.Now)
		f.pot = d.keys.open(key, granted)
	}
}

// placeChild puts a call below the run that made it.
func (d *dispatcher) placeChild(c *waxwingseam.Context, f *flight, id waxwingseam.CallID, e waxwingseam.CallArrived, class waxwingseam.RequestClass) waxwingseam.Reason {
	parent, ok := d.Tracker.RunningCall(id)
	if !ok {
		return waxwingseam.ReasonUnknownContext
	}
	f.call.Root = parent.Root
	f.call.Trace = parent.Trace
	f.call.Parent = parent.ID
	f.call.Rank = parent.Rank
	f.call.Depth = parent.Depth + 1
	f.repeated = parent.Repeated
	f.call.Deadline = parent.Deadline
	f.shortenDeadline(c, e.Timeout)
	if class.Host != "" {
		f.shortenDeadline(c, class.Deadline)
	}
	f.pot = d.Tracker.OpenChild(parent.ID, e.ID)
	// Retries of a leaf are one attempt each: they multiply nothing further down.
	if f.limit.CallAllowance > 0 && d.Retrier.IsLeafClass(class.Name) {
		f.pot = &waxwingseam.SharedAllowance{Remaining: f.limit.CallAllowance}
	}
	return waxwingseam.ReasonNone
}

// shortenDeadline applies the caller's own timeout, where it has one.
func (f *flight) shortenDeadline(c *waxwingseam.Context, timeout time.Duration) {
	if timeout <= 0 {
		return
	}
	if at := c.Now.Add(timeout); at.Before(f.call.Deadline) {
		f.call.Deadline = at
	}
}
