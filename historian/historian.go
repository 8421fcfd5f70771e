// Package historian keeps the state behind the replicated log: the set in
// force, the history of revisions, and the answers to submissions.
package historian

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/checker"
)

const (
	// AnswerLifetime is how long the answer to a submission is kept at least,
	// on the clock of the log.
	AnswerLifetime = 24 * time.Hour
	// keptAnswers is how many of the newest answers are kept beyond that.
	keptAnswers = 10_000
	// maxAnswers bounds the answers kept, whatever their age.
	maxAnswers = 200_000
	// keptEntries bounds the history.
	keptEntries = 50_000
	// keptUndos bounds the revisions whose whole set can be read.
	keptUndos = 2_000
	// maxListed bounds the objects that an entry or an answer lists.
	maxListed = 100
)

// Update is one accepted revision, to be published.
type Update struct {
	Set    *waxwingseam.Set
	Digest uint64
	// Change turns the revision before into this one.
	Change checker.Change
}

// Config holds the settings of a historian.
type Config struct {
	// Published is called for each accepted revision, in order, while the
	// state is locked; nil without a publisher.
	Published func(Update)
}

// Historian is the state that a replicated log applies its commands to. Sets
// that it hands out are shared and must not be changed.
type Historian interface {
	waxwingseam.Applier
	// Head returns the set in force and its digest.
	Head() (*waxwingseam.Set, uint64)
	// Set returns the set of an earlier revision.
	Set(r waxwingseam.Revision) (*waxwingseam.Set, error)
	// Answer returns the answer that a submission has had.
	Answer(id waxwingseam.SubmissionID, content uint64) (Answer, bool)
	// Entries returns at most limit entries after a revision, oldest first.
	Entries(after waxwingseam.Revision, limit int) []Entry
}

// answered is the answer to a submission, as it is kept.
type answered struct {
	Submission waxwingseam.SubmissionID `cbor:"1,keyasint"`
	Content    uint64                   `cbor:"2,keyasint"`
	At         time.Time                `cbor:"3,keyasint"`
	Answer     Answer                   `cbor:"4,keyasint"`
}

// undo turns a revision's set back into that of the revision before.
type undo struct {
	Revision waxwingseam.Revision `cbor:"1,keyasint"`
	Change   checker.Change       `cbor:"2,keyasint"`
}

// state is what a snapshot holds.
type state struct {
	Head    *waxwingseam.Set `cbor:"1,keyasint"`
	Digest  uint64           `cbor:"2,keyasint"`
	Entries []Entry          `cbor:"3,keyasint"`
	Undos   []undo           `cbor:"4,keyasint"`
	// Answers are in the order of the log.
	Answers []answered `cbor:"5,keyasint"`
	// Clock is the latest time of a command.
	Clock time.Time `cbor:"6,keyasint"`
	// Foundings has one entry for each service whose view was founded.
	Foundings []Founding `cbor:"7,keyasint,omitempty"`
}

type historian struct {
	config Config

	mu    sync.RWMutex
	state state
	// answers indexes the state's answers by submission; the values count from
	// the first answer ever, as does dropped.
	answers map[waxwingseam.SubmissionID]int
	dropped int
}

// New returns a historian with revision 0, an empty set, in force.
func New(config Config) Historian {
	h := &historian{config: config}
	h.reset(state{Head: &waxwingseam.Set{}, Digest: checker.Digest(&waxwingseam.Set{})})
	return h
}

func (h *historian) reset(s state) {
	h.state = s
	h.dropped = 0
	h.answers = make(map[waxwingseam.SubmissionID]int, len(s.Answers))
	for i, a := range s.Answers {
		h.answers[a.Submission] = i
	}
}

// Apply implements waxwingseam.Applier.
func (h *historian) Apply(_ waxwingseam.LogIndex, command []byte) []byte {
	var c Command
	answer := Answer{Verdict: VerdictUnreadable}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := cbor.Unmarshal(command, &c); err == nil {
		answer = h.answer(c)
	}
	data, err := cbor.Marshal(answer)
	if err != nil {
		panic(err)
	}
	return data
}

// answer decides on a command by what it holds.
func (h *historian) answer(c Command) Answer {
	if c.Founding != nil {
		return h.found(*c.Founding)
	}
	return h.decide(c)
}

func (h *historian) decide(c Command) Answer {
	if a, ok := h.answered(c.Submission, c.Content); ok {
		return a
	}
	if c.At.After(h.state.Clock) {
		h.state.Clock = c.At
	}
	answer := h.submit(c)
	// A numbered submission that lost to another may win once its base comes.
	if c.Number == 0 || answer.Verdict == VerdictAccepted {
		h.keep(c, answer)
	}
	return answer
}

// submit decides on a submission that has no answer yet.
func (h *historian) submit(c Command) Answer {
	if c.Drain != nil {
		return h.drain(c)
	}
	if c.Base != h.state.Head.Revision || c.Number != 0 && c.Number <= h.state.Head.Number {
		return h.conflict(c)
	}
	return h.accept(c, c.Change)
}

func (h *historian) drain(c Command) Answer {
	object, ok := h.state.Head.BackendServer(c.Drain.Server)
	if !ok {
		object = waxwingseam.BackendServer{Name: c.Drain.Server, Service: c.Drain.Service, Weight: checker.DefaultWeight}
	}
	if _, ok := h.state.Head.Service(object.Service); !ok {
		return Answer{Verdict: VerdictUnknownService, Revision: h.state.Head.Revision}
	}
	object.Drained = !c.Drain.Undo
	var change checker.Change
	change.Put.BackendServers = []waxwingseam.BackendServer{object}
	return h.accept(c, change)
}

func (h *historian) accept(c Command, change checker.Change) Answer {
	before := h.state.Head
	next := change.Apply(before)
	digest := change.Digest(before, h.state.Digest)
	if digest == h.state.Digest && c.Number == 0 {
		return Answer{Verdict: VerdictUnchanged, Revision: before.Revision}
	}
	next.Revision = before.Revision + 1
	if c.Number != 0 {
		next.Number, next.Base = c.Number, before.Number
	}
	h.state.Head = next
	h.state.Digest = digest
	ids := change.IDs()
	h.state.Entries = appendBounded(h.state.Entries, keptEntries, Entry{
		Revision:   next.Revision,
		Operator:   c.Operator,
		At:         c.At,
		Submission: c.Submission,
		Digest:     h.state.Digest,
		Objects:    ids[:min(len(ids), maxListed)],
		Changed:    len(ids),
	})
	h.state.Undos = appendBounded(h.state.Undos, keptUndos, undo{
		Revision: next.Revision,
		Change:   checker.Reverse(change, before),
	})
	if h.config.Published != nil {
		h.config.Published(Update{Set: next, Digest: h.state.Digest, Change: change})
	}
	return Answer{Verdict: VerdictAccepted, Revision: next.Revision}
}

// conflict names the revision that won the base and the objects that differ.
func (h *historian) conflict(c Command) Answer {
	answer := Answer{Verdict: VerdictConflict, Revision: h.state.Head.Revision}
	submitted := map[checker.ID]bool{}
	for _, id := range c.Change.IDs() {
		submitted[id] = true
	}
	seen := map[checker.ID]bool{}
	for _, e := range h.entries(c.Base, keptEntries) {
		if e.Revision == c.Base+1 {
			winner := e
			answer.Winner = &winner
		}
		for _, id := range e.Objects {
			if seen[id] || len(answer.Differing) == maxListed {
				continue
			}
			seen[id] = true
			answer.Differing = append(answer.Differing, id)
			if submitted[id] {
				answer.Clashing = append(answer.Clashing, id)
			}
		}
	}
	return answer
}

// Head implements Historian.
func (h *historian) Head() (*waxwingseam.Set, uint64) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.state.Head, h.state.Digest
}

// Set implements Historian.
func (h *historian) Set(r waxwingseam.Revision) (*waxwingseam.Set, error) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if r == h.state.Head.Revision {
		return h.state.Head, nil
	}
	set := checker.Clone(h.state.Head)
	if r > set.Revision {
		return nil, trace.NotFound("revision %d does not exist; the newest is %d", r, set.Revision)
	}
	for i := len(h.state.Undos) - 1; i >= 0 && set.Revision > r; i-- {
		h.state.Undos[i].Change.ApplyTo(set)
		set.Revision = h.state.Undos[i].Revision - 1
	}
	if set.Revision != r {
		return nil, trace.NotFound("the set of revision %d is kept no more; the oldest kept is %d", r, set.Revision)
	}
	return set, nil
}

// Entries implements Historian.
func (h *historian) Entries(after waxwingseam.Revision, limit int) []Entry {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.entries(after, limit)
}

func (h *historian) entries(after waxwingseam.Revision, limit int) []Entry {
	all := h.state.Entries
	if len(all) == 0 || after >= all[len(all)-1].Revision {
		return nil
	}
	first := 0
	if oldest := all[0].Revision; after >= oldest {
		first = int(after - oldest + 1)
	}
	return all[first:min(len(all), first+limit)]
}

// Snapshot implements waxwingseam.Applier.
func (h *historian) Snapshot() ([]byte, error) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	data, err := cbor.Marshal(h.state)
	return data, trace.Wrap(err)
}

// Restore implements waxwingseam.Applier.
func (h *historian) Restore(snapshot []byte) error {
	var s state
	if err := cbor.Unmarshal(snapshot, &s); err != nil {
		return trace.Wrap(err, "snapshot of the history")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reset(s)
	if h.config.Published != nil {
		h.config.Published(Update{Set: s.Head, Digest: s.Digest})
	}
	return nil
}

// appendBounded appends and drops the oldest elements beyond a bound.
func appendBounded[T any](list []T, bound int, v T) []T {
	list = append(list, v)
	return list[max(0, len(list)-bound):]
}
