// Package historian maintains the state that results from the replicated log:
// the set in force, the history of revisions, and the answers to submissions.
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
	// AnswerLifetime is the minimum time for which the answer to a submission
	// is kept, by the clock of the log and within maxAnswers.
	AnswerLifetime = 24 * time.Hour
	// minAnswers is how many of the newest answers are kept regardless of age.
	minAnswers = 10_000
	// maxAnswers bounds the answers that are kept, regardless of their age.
	maxAnswers = 200_000
	// maxEntries bounds the entries of the history.
	maxEntries = 50_000
	// maxUndos bounds the earlier revisions whose sets can be restored.
	maxUndos = 2_000
	// maxListed bounds the objects that an entry or an answer lists.
	maxListed = 100
)

// Update is an accepted revision or the revision of a restored snapshot.
type Update struct {
	Set    *waxwingseam.Set
	Digest uint64
	// Change turns the set of the previous revision into Set; empty after the
	// restore of a snapshot.
	Change checker.Change
}

// Config holds the settings of a historian.
type Config struct {
	// OnUpdate is called with each update, in order, while the state is
	// locked, so that it must not call the historian. It may be nil.
	OnUpdate func(Update)
}

// Historian is the state machine of the replicated log. The sets that it returns
// are shared and must not be changed.
type Historian interface {
	waxwingseam.Applier
	// Head returns the set in force and its digest.
	Head() (*waxwingseam.Set, uint64)
	// Set returns the set of a revision. It returns a trace.NotFound error if the
	// revision does not exist or its set is no longer kept.
	Set(r waxwingseam.Revision) (*waxwingseam.Set, error)
	// Answer returns the kept answer to a submission, or false if none is kept.
	// If the content differs, the answer is VerdictOtherContent.
	Answer(id waxwingseam.SubmissionID, content uint64) (Answer, bool)
	// Entries returns at most limit entries after a revision, oldest first.
	Entries(after waxwingseam.Revision, limit int) []Entry
}

// storedAnswer is the answer that was given to a submission.
type storedAnswer struct {
	Submission waxwingseam.SubmissionID `cbor:"1,keyasint"`
	Content    uint64                   `cbor:"2,keyasint"`
	At         time.Time                `cbor:"3,keyasint"`
	Answer     Answer                   `cbor:"4,keyasint"`
}

// undo turns the set of a revision into the set of the previous revision.
type undo struct {
	Revision waxwingseam.Revision `cbor:"1,keyasint"`
	Change   checker.Change       `cbor:"2,keyasint"`
}

// state is the content of a snapshot.
type state struct {
	Head    *waxwingseam.Set `cbor:"1,keyasint"`
	Digest  uint64           `cbor:"2,keyasint"`
	Entries []Entry          `cbor:"3,keyasint"`
	Undos   []undo           `cbor:"4,keyasint"`
	// Answers are in the order of the log.
	Answers []storedAnswer `cbor:"5,keyasint"`
	// Clock is the latest At of the submissions that had no stored answer.
	Clock time.Time `cbor:"6,keyasint"`
	// Foundings lists the granted foundings, at most one per service.
	Foundings []Founding `cbor:"7,keyasint,omitempty"`
}

type historian struct {
	config Config

	mu    sync.RWMutex
	state state
	// answers maps a submission to the number of its answer. Numbers start at 0
	// after each reset; dropped counts the answers dropped since then.
	answers map[waxwingseam.SubmissionID]int
	dropped int
}

// New returns a historian with an empty set as revision 0 in force.
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
		answer = h.applyCommand(c)
	}
	data, err := cbor.Marshal(answer)
	if err != nil {
		panic(err)
	}
	return data
}

// applyCommand applies a founding or a submission.
func (h *historian) applyCommand(c Command) Answer {
	if c.Founding != nil {
		return h.grantFounding(*c.Founding)
	}
	return h.applySubmission(c)
}

func (h *historian) applySubmission(c Command) Answer {
	if a, ok := h.findAnswer(c.Submission, c.Content); ok {
		return a
	}
	if c.At.After(h.state.Clock) {
		h.state.Clock = c.At
	}
	answer := h.applyNewSubmission(c)
	// A numbered submission that was not accepted may be accepted on a resend
	// once its base is in force.
	if c.Number == 0 || answer.Verdict == VerdictAccepted {
		h.storeAnswer(c, answer)
	}
	return answer
}

// applyNewSubmission applies a submission that has no stored answer.
func (h *historian) applyNewSubmission(c Command) Answer {
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
	h.state.Entries = appendBounded(h.state.Entries, maxEntries, Entry{
		Revision:   next.Revision,
		Operator:   c.Operator,
		At:         c.At,
		Submission: c.Submission,
		Digest:     h.state.Digest,
		Objects:    ids[:min(len(ids), maxListed)],
		Changed:    len(ids),
	})
	h.state.Undos = appendBounded(h.state.Undos, maxUndos, undo{
		Revision: next.Revision,
		Change:   checker.Reverse(change, before),
	})
	if h.config.OnUpdate != nil {
		h.config.OnUpdate(Update{Set: next, Digest: h.state.Digest, Change: change})
	}
	return Answer{Verdict: VerdictAccepted, Revision: next.Revision}
}

// conflict returns the answer to a command whose base or version number is
// outdated. The answer names the entry that follows the base, up to maxListed
// objects changed since the base, and which of them the command changes too.
func (h *historian) conflict(c Command) Answer {
	answer := Answer{Verdict: VerdictConflict, Revision: h.state.Head.Revision}
	submitted := map[checker.ID]bool{}
	for _, id := range c.Change.IDs() {
		submitted[id] = true
	}
	seen := map[checker.ID]bool{}
	for _, e := range h.entries(c.Base, maxEntries) {
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
		return trace.Wrap(err, "decoding the snapshot of the history")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reset(s)
	if h.config.OnUpdate != nil {
		h.config.OnUpdate(Update{Set: s.Head, Digest: s.Digest})
	}
	return nil
}

// appendBounded appends an element and drops the oldest ones beyond a bound.
func appendBounded[T any](list []T, bound int, v T) []T {
	list = append(list, v)
	return list[max(0, len(list)-bound):]
}
