package auditor

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/recorder"
)

// Call is what the logs say of one call.
type Call struct {
	ID    waxwingseam.CallID
	Root  waxwingseam.RootID
	Class waxwingseam.ClassName
	// NotRepeatable is set for a not-repeatable call.
	NotRepeatable bool
	Key           string
	Attempts      int
	// Granted is the allowance of a root.
	Granted waxwingseam.Allowance
	// Answered is set once the sending node answered, with Result.
	Answered bool
	Result   waxwingseam.Result
	// Cancelled is set when the run was cancelled on behalf of the caller.
	Cancelled bool
}

// drain is the time in which a server left.
type drain struct {
	since time.Time
	// ended is when it came back, or its next life began; zero while neither
	// happened.
	ended time.Time
}

// History is what the logs and the lists of runs say together.
type History struct {
	Calls   map[waxwingseam.CallID]*Call
	Runs    map[waxwingseam.CallID][]Run
	Answers []Answer
	drains  map[waxwingseam.ServerName][]drain
	// limits are the allowances in force, by the name of the class.
	limits map[waxwingseam.ClassName]waxwingseam.Allowance
}

func newHistory(input Input) *History {
	h := &History{
		Calls:   map[waxwingseam.CallID]*Call{},
		Runs:    map[waxwingseam.CallID][]Run{},
		Answers: input.Answers,
		drains:  map[waxwingseam.ServerName][]drain{},
		limits:  map[waxwingseam.ClassName]waxwingseam.Allowance{},
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

// add takes in one entry of a log.
func (h *History) add(entry recorder.Entry, event waxwingseam.Event) error {
	switch e := event.(type) {
	case waxwingseam.CallArrived:
		c := h.call(e.ID)
		c.Key = e.Key
		c.Root = e.Root
	case waxwingseam.DrainAsked:
		h.addDrain(waxwingseam.ServerName(entry.Process), e)
	case waxwingseam.SetAdopted:
		h.adopt(e.Set)
	}
	for _, item := range entry.Effects {
		if err := h.addEffect(item); err != nil {
			return err
		}
	}
	return nil
}

func (h *History) adopt(s *waxwingseam.Set) {
	for _, class := range s.RequestClasses {
		if limit, ok := s.RetryLimit(class.RetryLimit); ok {
			h.limits[class.Name] = max(h.limits[class.Name], limit.Allowance)
		}
	}
}

func (h *History) addDrain(server waxwingseam.ServerName, e waxwingseam.DrainAsked) {
	list := h.drains[server]
	open := len(list) > 0 && list[len(list)-1].ended.IsZero()
	switch {
	case e.Undo:
		h.endDrain(server, e.Now)
	case !open:
		h.drains[server] = append(list, drain{since: e.Now})
	}
}

// endDrain ends the open drain of a server, if there is one.
func (h *History) endDrain(server waxwingseam.ServerName, at time.Time) {
	list := h.drains[server]
	if last := len(list) - 1; last >= 0 && list[last].ended.IsZero() {
		list[last].ended = at
	}
}

func (h *History) addEffect(item recorder.RecordedEffect) error {
	switch item.Kind {
	case waxwingseam.KindDispatch:
		v, err := decode[waxwingseam.Dispatch](item)
		h.addDispatch(v)
		return err
	case waxwingseam.KindReply:
		v, err := decode[waxwingseam.Reply](item)
		h.addReply(v)
		return err
	case waxwingseam.KindCancelRun:
		v, err := decode[waxwingseam.CancelRun](item)
		h.call(v.ID).Cancelled = true
		return err
	}
	return nil
}

func decode[T any](item recorder.RecordedEffect) (T, error) {
	var out T
	err := cbor.Unmarshal(item.Effect, &out)
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
		c.Granted = h.limits[v.Call.Class]
	}
}

func (h *History) addReply(v waxwingseam.Reply) {
	c := h.call(v.ID)
	c.Answered = true
	c.Result = v.Result
}
