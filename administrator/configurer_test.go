package administrator_test

import (
	"context"
	"errors"
	"log/slog"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/administrator"
	"waxwingseam.example/waxwingseam/checker"
	"waxwingseam.example/waxwingseam/historian"
)

// testLog is a log that applies commands at once, unless it has no quorum.
type testLog struct {
	historian historian.Historian
	applied   waxwingseam.LogIndex
	noQuorum  bool
	// beforePropose is called once, before the next command is applied.
	beforePropose func()
}

func (l *testLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	if l.noQuorum {
		return nil, &waxwingseam.ReplicaError{Reason: waxwingseam.ReasonNoQuorum}
	}
	if before := l.beforePropose; before != nil {
		l.beforePropose = nil
		before()
	}
	l.applied++
	return l.historian.Apply(l.applied, command), nil
}

func (l *testLog) ReadIndex(context.Context) error {
	if l.noQuorum {
		return &waxwingseam.ReplicaError{Reason: waxwingseam.ReasonNoQuorum}
	}
	return nil
}

func newConfigurer() (waxwingseam.Configurer, *testLog) {
	h := historian.New(historian.Config{})
	log := &testLog{historian: h}
	return administrator.NewConfigurer(administrator.ConfigurerConfig{
		Historian: h, Log: log, Logger: slog.New(slog.DiscardHandler),
	}), log
}

// numberedSet returns a numbered set whose request class has a path prefix.
func numberedSet(number uint64, prefix string) *waxwingseam.Set {
	return &waxwingseam.Set{
		Number:   number,
		Services: []waxwingseam.Service{{Name: "desk", Connections: 10}},
		RequestClasses: []waxwingseam.RequestClass{
			{Name: "lots", Service: "desk", Host: "desk.example", Prefix: prefix, Deadline: 1_000_000_000},
		},
	}
}

// TestNumberedSets submits sets in the orders that result from races, resends and
// lost answers. It checks that a set is accepted only on the base in force and
// with a higher number, and that a resend of an accepted set is accepted again
// without a change.
func TestNumberedSets(t *testing.T) {
	type step struct {
		number, base uint64
		prefix       string
		want         waxwingseam.ConfigurationVerdict
	}
	const accepted, conflict = waxwingseam.ConfigurationAccepted, waxwingseam.ConfigurationConflict
	for _, v := range []struct {
		name   string
		steps  []step
		number uint64
		prefix string
	}{
		{"uneven steps", []step{{2, 0, "/a/", accepted}, {7, 2, "/b/", accepted}}, 7, "/b/"},
		{"same content again", []step{{2, 0, "/a/", accepted}, {2, 0, "/a/", accepted}}, 2, "/a/"},
		{"same content again after a later one", []step{{2, 0, "/a/", accepted}, {3, 2, "/b/", accepted}, {2, 0, "/a/", accepted}}, 3, "/b/"},
		{"same number, other content", []step{{2, 0, "/a/", accepted}, {2, 0, "/b/", conflict}}, 2, "/a/"},
		{"two on one base", []step{{2, 0, "/a/", accepted}, {3, 2, "/b/", accepted}, {4, 2, "/c/", conflict}}, 3, "/b/"},
		{"number not above the base", []step{{5, 0, "/a/", accepted}, {5, 5, "/b/", conflict}, {4, 5, "/b/", conflict}}, 5, "/a/"},
		{"base not known yet", []step{{3, 2, "/b/", conflict}, {2, 0, "/a/", accepted}, {3, 2, "/b/", accepted}}, 3, "/b/"},
		{"new number, same objects", []step{{2, 0, "/a/", accepted}, {3, 2, "/a/", accepted}}, 3, "/a/"},
	} {
		t.Run(v.name, func(t *testing.T) {
			c, _ := newConfigurer()
			for i, s := range v.steps {
				got, err := c.Submit(t.Context(), numberedSet(s.number, s.prefix), s.base)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, got, qt.Equals, s.want, qt.Commentf("step %d", i))
			}
			set, err := c.Current(t.Context())
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, set.Number, qt.Equals, v.number)
			qt.Assert(t, set.RequestClasses[0].Prefix, qt.Equals, v.prefix)
		})
	}
}

// TestConcurrentSet checks that a set is refused as a conflict if another one is
// accepted between the check of the set in force and the proposal.
func TestConcurrentSet(t *testing.T) {
	c, log := newConfigurer()
	log.beforePropose = func() {
		got, err := c.Submit(t.Context(), numberedSet(3, "/first/"), 0)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.Equals, waxwingseam.ConfigurationAccepted)
	}
	got, err := c.Submit(t.Context(), numberedSet(4, "/second/"), 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, waxwingseam.ConfigurationConflict)
}

// TestSubmitWithoutQuorum checks that a replica without a quorum neither accepts
// nor refuses a new set, and returns no set as the current one.
func TestSubmitWithoutQuorum(t *testing.T) {
	c, log := newConfigurer()
	_, err := c.Submit(t.Context(), numberedSet(2, "/a/"), 0)
	qt.Assert(t, err, qt.IsNil)
	log.noQuorum = true
	_, err = c.Submit(t.Context(), numberedSet(3, "/b/"), 2)
	qt.Assert(t, waxwingseam.ReplicaReasonOf(err), qt.Equals, waxwingseam.ReasonNoQuorum)
	_, err = c.Submit(t.Context(), numberedSet(9, "/b/"), 8)
	qt.Assert(t, waxwingseam.ReplicaReasonOf(err), qt.Equals, waxwingseam.ReasonNoQuorum)
	_, err = c.Current(t.Context())
	qt.Assert(t, waxwingseam.ReplicaReasonOf(err), qt.Equals, waxwingseam.ReasonNoQuorum)
	got, err := c.Submit(t.Context(), numberedSet(2, "/a/"), 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, waxwingseam.ConfigurationAccepted)
}

// TestInvalidSet checks that a set with a reference to an unknown service is
// refused with findings.
func TestInvalidSet(t *testing.T) {
	c, _ := newConfigurer()
	set := numberedSet(2, "/a/")
	set.RequestClasses[0].Service = "nowhere"
	_, err := c.Submit(t.Context(), set, 0)
	var findings waxwingseam.Findings
	qt.Assert(t, errors.As(err, &findings), qt.IsTrue)
}

// TestSetDiffersFromItsObjects guards against a set in force with a text that its check read
// differently, as the form of objects has a meaning for some characters.
func TestSetDiffersFromItsObjects(t *testing.T) {
	for _, prefix := range []string{"/a;b/", "/a#b/", "\"/a/\"", "`/a/`", "/a/\\"} {
		c, _ := newConfigurer()
		set := numberedSet(2, prefix)
		verdict, err := c.Submit(t.Context(), set, 0)
		var findings waxwingseam.Findings
		if errors.As(err, &findings) {
			continue
		}
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, verdict, qt.Equals, waxwingseam.ConfigurationAccepted)
		current, err := c.Current(t.Context())
		qt.Assert(t, err, qt.IsNil)
		again, found := checker.Parse(checker.File{Name: "set", Data: checker.Format(current)})
		qt.Assert(t, found, qt.HasLen, 0)
		qt.Assert(t, again.RequestClasses[0].Prefix, qt.Equals, prefix)
	}
}
