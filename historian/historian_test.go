package historian

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/checker"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		_ = flag.Set(name, value)
	}
	os.Exit(m.Run())
}

var start = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// command returns a submission that sets the slots of a service.
func command(id string, base waxwingseam.Revision, service string, slots int) Command {
	c := Command{
		Submission: waxwingseam.SubmissionID(id),
		Operator:   "dina",
		At:         start.Add(time.Duration(base) * time.Second),
		Base:       base,
		Content:    uint64(base)<<32 | uint64(slots),
	}
	c.Change.Put.Services = []waxwingseam.Service{{Name: waxwingseam.ServiceName(service), Slots: slots, Connections: slots}}
	return c
}

func must(t rapid.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// apply applies an encoded command and decodes the answer.
func apply(t rapid.TB, h Historian, c Command) Answer {
	data, err := Encode(c)
	must(t, err)
	a, err := DecodeAnswer(h.Apply(0, data))
	must(t, err)
	return a
}

// restored returns a new historian with the state of a snapshot of h.
func restored(t rapid.TB, h Historian) Historian {
	data, err := h.Snapshot()
	must(t, err)
	next := New(Config{})
	must(t, next.Restore(data))
	return next
}

// TestConflictOnEqualBase checks that the second of two submissions on one base
// is refused, and that its answer names the winner and the objects that both
// change.
func TestConflictOnEqualBase(t *testing.T) {
	h := New(Config{})
	qt.Assert(t, apply(t, h, command("a", 0, "desk", 1)).Verdict, qt.Equals, VerdictAccepted)
	accepted := apply(t, h, command("b", 1, "fees", 2))
	conflicting := apply(t, h, command("c", 1, "fees", 3))
	qt.Assert(t, accepted, qt.DeepEquals, Answer{Verdict: VerdictAccepted, Revision: 2})
	fees := []checker.ID{{Kind: waxwingseam.KindService, Name: "fees"}}
	winner := h.Entries(1, 1)[0]
	qt.Assert(t, winner.Submission, qt.Equals, waxwingseam.SubmissionID("b"))
	qt.Assert(t, conflicting.Verdict, qt.Equals, VerdictConflict)
	qt.Assert(t, conflicting.Winner.Submission, qt.Equals, winner.Submission)
	qt.Assert(t, conflicting.Winner.Operator, qt.Equals, "dina")
	qt.Assert(t, conflicting.Differing, qt.DeepEquals, fees)
	qt.Assert(t, conflicting.Clashing, qt.DeepEquals, fees)
}

// TestResendReturnsFirstAnswer checks that a resend receives the first answer:
// immediately, after 500 other changes, after a restart from a snapshot, and after
// the clock jumped forward by a year.
func TestResendReturnsFirstAnswer(t *testing.T) {
	h := New(Config{})
	first := command("first", 0, "desk", 1)
	second := command("lost", 0, "desk", 2)
	accepted, conflicted := apply(t, h, first), apply(t, h, second)
	check := func() {
		qt.Assert(t, apply(t, h, first), qt.DeepEquals, accepted)
		qt.Assert(t, apply(t, h, second), qt.DeepEquals, conflicted)
		other := first
		other.Content++
		qt.Assert(t, apply(t, h, other).Verdict, qt.Equals, VerdictOtherContent)
	}
	check()
	for i := range 500 {
		apply(t, h, command(fmt.Sprint(i), waxwingseam.Revision(i+1), "desk", i+2))
	}
	check()
	h = restored(t, h)
	check()
	jump := command("jump", 501, "desk", 9)
	jump.At = start.AddDate(1, 0, 0)
	apply(t, h, jump)
	check()
	head, _ := h.Head()
	qt.Assert(t, head.Revision, qt.Equals, waxwingseam.Revision(502))
}

// TestOldAnswersAreDropped checks that an answer older than AnswerLifetime is
// dropped once more than minAnswers are stored, and that newer answers are kept.
func TestOldAnswersAreDropped(t *testing.T) {
	h := New(Config{}).(*historian)
	late := start.Add(2 * AnswerLifetime)
	for i := range minAnswers + 10 {
		h.storeAnswer(Command{Submission: waxwingseam.SubmissionID(fmt.Sprint(i))}, Answer{})
		h.state.Clock = late
	}
	qt.Assert(t, h.state.Answers, qt.HasLen, minAnswers+9)
	_, ok := h.Answer("0", 0)
	qt.Assert(t, ok, qt.IsFalse)
	_, ok = h.Answer("1", 0)
	qt.Assert(t, ok, qt.IsTrue)
}

// TestSetOfEarlierRevision checks that the sets before each of the last maxUndos
// changes can be restored, and that older or future revisions are refused.
func TestSetOfEarlierRevision(t *testing.T) {
	h := New(Config{})
	digests := make([]uint64, 1, maxUndos+6)
	for i := range maxUndos + 5 {
		apply(t, h, command(fmt.Sprint(i), waxwingseam.Revision(i), fmt.Sprintf("s%d", i%7), i+1))
		_, digest := h.Head()
		digests = append(digests, digest)
	}
	oldest := waxwingseam.Revision(5)
	for _, r := range []waxwingseam.Revision{oldest, 1000, maxUndos + 5} {
		set, err := h.Set(r)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, checker.Digest(set), qt.Equals, digests[r])
		qt.Assert(t, set.Revision, qt.Equals, r)
	}
	_, err := h.Set(oldest - 1)
	qt.Assert(t, err, qt.ErrorMatches, ".*kept no more.*")
	_, err = h.Set(maxUndos + 6)
	qt.Assert(t, err, qt.ErrorMatches, ".*does not exist.*")
}

// TestDrain checks that a drain creates an object for a server without one, that
// a repeated drain changes nothing, that a drain can be undone, and that it is
// refused if the service is unknown.
func TestDrain(t *testing.T) {
	h := New(Config{})
	apply(t, h, command("set", 0, "fees", 4))
	drain := func(id string, service waxwingseam.ServiceName, undo bool) Answer {
		return apply(t, h, Command{
			Submission: waxwingseam.SubmissionID(id),
			Drain:      &Drain{Server: "fees-1", Service: service, Undo: undo},
		})
	}
	qt.Assert(t, drain("d1", "board", false).Verdict, qt.Equals, VerdictUnknownService)
	qt.Assert(t, drain("d2", "fees", false), qt.DeepEquals, Answer{Verdict: VerdictAccepted, Revision: 2})
	qt.Assert(t, drain("d3", "fees", false), qt.DeepEquals, Answer{Verdict: VerdictUnchanged, Revision: 2})
	head, _ := h.Head()
	qt.Assert(t, head.BackendServers[0].Drained, qt.IsTrue)
	qt.Assert(t, drain("d4", "fees", true).Revision, qt.Equals, waxwingseam.Revision(3))
}

// TestRevisionsAreLinear checks with random submissions, resends and restarts
// that revisions increase by one, that each submission is applied at most once,
// that another replica gives the same answers to the same commands, and that
// the published changes reproduce the sets.
func TestRevisionsAreLinear(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reproduced := &waxwingseam.Set{}
		h := New(Config{OnUpdate: func(u Update) {
			reproduced = u.Change.Apply(reproduced)
			reproduced.Revision++
			if reproduced.Revision != u.Set.Revision || checker.Digest(reproduced) != u.Digest {
				t.Fatalf("the published changes give a different set at revision %d", u.Set.Revision)
			}
		}})
		other := New(Config{})
		answers := map[string]Answer{}
		for range rapid.IntRange(1, 40).Draw(t, "commands") {
			before, _ := h.Head()
			id := fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "id"))
			base := waxwingseam.Revision(rapid.Uint64Range(0, uint64(before.Revision)).Draw(t, "base"))
			c := command(id, base, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"), rapid.IntRange(1, 5).Draw(t, "slots"))
			c.Content = 1
			if rapid.Bool().Draw(t, "removes") {
				c.Change = checker.Change{Gone: []checker.ID{{Kind: waxwingseam.KindService, Name: "a"}}}
			}
			got := apply(t, h, c)
			if again := apply(t, other, c); again.Verdict != got.Verdict || again.Revision != got.Revision {
				t.Fatalf("another replica answers %v, not %v", again, got)
			}
			if first, ok := answers[id]; ok && (first.Verdict != got.Verdict || first.Revision != got.Revision) {
				t.Fatalf("resend of %s got %v after %v", id, got, first)
			}
			after, _ := h.Head()
			_, resent := answers[id]
			answers[id] = got
			if added := after.Revision - before.Revision; added > 1 || added == 1 && (resent || base != before.Revision) {
				t.Fatalf("submission %s on base %d changed revision %d to %d", id, base, before.Revision, after.Revision)
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				other = restored(t, other)
			}
		}
	})
}
