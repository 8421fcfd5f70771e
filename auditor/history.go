package auditor

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/recorder"
)

// Call is one call as described by the logs.
type Call struct {
	ID    waxwingseam.CallID
	Root  waxwingseam.RootID
	Class waxwingseam.ClassName
	// NotRepeatable is set for a non-repeatable call.
	NotRepeatable bool
	Key           string
	Attempts      int
	// Granted is the allowance of a root call; 0 for a child call.
	Granted waxwingseam.Allowance
	// Answered is set if the sending node answered; Result is its answer.
	Answered bool
	Result   waxwingseam.Result
	// Cancelled is set if the run was cancelled on behalf of the caller.
	Cancelled bool
}

// drain is a period in which a server was leaving.
type drain struct {
	since time.Time
	// ended is when the drain was undone or the next incarnation began; zero if
	// neither happened.
	ended time.Time
}

// History combines the logs and the lists of runs.
type History struct {
	Calls   map[waxwingseam.CallID]*Call
	Runs    map[waxwingseam.CallID][]Run
	Answers []Answer
	drains  map[waxwingseam.ServerName][]drain
	// allowances holds the highest allowance of each class over all revisions.
	allowances map[waxwingseam.ClassName]waxwingseam.Allowance
}

func newHistory(input Input) *History {
	h := &History{
		Calls:      map[waxwingseam.CallID]*Call{},
		Runs:       map[waxwingseam.CallID][]Run{},
		Answers:    input.Answers,
		drains:     map[waxwingseam.ServerName][]drain{},
		allowances: map[waxwingseam.ClassName]waxwingseam.Allowance{},
	}
	for _, r := range input.Runs {
		h.Runs[r.Call] = append(h.Runs[r.Call], r)
	}
	return h
}

func (h *History) call(id waxwingseam.CallID) *Call {
	c, ok := h.Calls[id]
	if !ok {
		c = &Call{ID: id}
		h.Calls[id] = c
	}
	return c
}

// addEntry adds one log entry to the history.
func (h *History) addEntry(entry recorder.Entry, event waxwingseam.Event) error {
	switch e := event.(type) {
	case waxwingseam.CallArrived:
		c := h.call(e.ID)
		c.Key = e.Key
		c.Root = e.Root
	case waxwingseam.DrainAsked:
		h.addDrain(waxwingseam.ServerName(entry.Process), e)
	case waxwingseam.SetAdopted:
		h.adoptSet(e.Set)
	}
	for _, x := range entry.Effects {
		if err := h.addEffect(x); err != nil {
			return err
		}
	}
	return nil
}

func (h *History) adoptSet(s *waxwingseam.Set) {
	for _, class := range s.RequestClasses {
		if limit, ok := s.RetryLimit(class.RetryLimit); ok {
			h.allowances[class.Name] = max(h.allowances[class.Name], limit.Allowance)
		}
	}
}

func (h *History) addDrain(server waxwingseam.ServerName, e waxwingseam.DrainAsked) {
	drains := h.drains[server]
	open := len(drains) > 0 && drains[len(drains)-1].ended.IsZero()
	switch {
	case e.Undo:
		h.endDrain(server, e.Now)
	case !open:
		h.drains[server] = append(drains, drain{since: e.Now})
	}
}

// endDrain ends the open drain of a server, if there is one.
func (h *History) endDrain(server waxwingseam.ServerName, at time.Time) {
	drains := h.drains[server]
	if last := len(drains) - 1; last >= 0 && drains[last].ended.IsZero() {
		drains[last].ended = at
	}
}

func (h *History) addEffect(x recorder.RecordedEffect) error {
	switch x.Kind {
	case waxwingseam.KindDispatch:
		v, err := decode[waxwingseam.Dispatch](x)
		h.addDispatch(v)
		return err
	case waxwingseam.KindReply:
		v, err := decode[waxwingseam.Reply](x)
		h.addReply(v)
		return err
	case waxwingseam.KindCancelRun:
		v, err := decode[waxwingseam.CancelRun](x)
		h.call(v.ID).Cancelled = true
		return err
	}
	return nil
}

func decode[T any](x recorder.RecordedEffect) (T, error) {
	var out T
	err := cbor.Unmarshal(x.Effect, &out)
	return out, trace.Wrap(err)
}

func (h *History) addDispatch(v waxwingseam.Dispatch) {
	c := h.call(v.Call.ID)
	c.Attempts++
	c.Root = v.Call.Root
	c.Class = v.Call.Class
	c.NotRepeatable = v.Call.Repeat == waxwingseam.RepeatNever
	c.Key = v.Call.Key
	if v.Call.Parent.IsZero() {
		c.Granted = h.allowances[v.Call.Class]
	}
}

func (h *History) addReply(v waxwingseam.Reply) {
	c := h.call(v.ID)
	c.Answered = true
	c.Result = v.Result
}
