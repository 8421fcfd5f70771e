package dispatcher_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/balancer"
	"waxwingseam.example/waxwingseam/classifier"
	"waxwingseam.example/waxwingseam/dispatcher"
	"waxwingseam.example/waxwingseam/identifier"
	"waxwingseam.example/waxwingseam/reducer"
	"waxwingseam.example/waxwingseam/retrier"
	"waxwingseam.example/waxwingseam/tracker"
)

// fakeLimiter answers each Take with answer, and returns decided once.
type fakeLimiter struct {
	waxwingseam.AccountLimiter
	answer    waxwingseam.AccountDecision
	decided   []waxwingseam.AccountDecision
	taken     []waxwingseam.AccountName
	wait      time.Duration
	withdrawn []waxwingseam.CallID
	refunded  []waxwingseam.AccountName
}

func (l *fakeLimiter) Adopt(*waxwingseam.Context, *waxwingseam.Set) {}

func (l *fakeLimiter) Take(_ *waxwingseam.Context, a waxwingseam.AccountName, call waxwingseam.CallID, wait time.Duration) waxwingseam.AccountDecision {
	l.taken, l.wait = append(l.taken, a), wait
	answer := l.answer
	answer.Call = call
	return answer
}

func (l *fakeLimiter) Decided(*waxwingseam.Context) []waxwingseam.AccountDecision {
	decided := l.decided
	l.decided = nil
	return decided
}

func (l *fakeLimiter) Withdraw(_ *waxwingseam.Context, call waxwingseam.CallID) {
	l.withdrawn = append(l.withdrawn, call)
}

func (l *fakeLimiter) Refund(_ *waxwingseam.Context, a waxwingseam.AccountName, _ time.Time) {
	l.refunded = append(l.refunded, a)
}

// accountSet returns the set of hostSet with two accounts and an exempt class.
func accountSet() *waxwingseam.Set {
	set := hostSet()
	set.RequestClasses = append(set.RequestClasses, waxwingseam.RequestClass{
		Name: "notices", Host: "desk.example", Prefix: "/notices/", Service: "desk", Deadline: time.Second, Unauthenticated: true, Importance: 2,
	})
	set.ClientAccounts = []waxwingseam.ClientAccount{
		{Name: "archive", Keys: []string{"archive-key"}, Importance: 7, HasImportance: true},
		{Name: "bureau", Keys: []string{"bureau-key"}},
	}
	return set
}

// accountNode is a node with the client accounts of a set and a fake limiter.
type accountNode struct {
	*node
	limiter *fakeLimiter
}

func newAccountNode(set *waxwingseam.Set) *accountNode {
	n := &accountNode{node: &node{tracker: tracker.New(tracker.Config{}), now: start}}
	n.limiter = &fakeLimiter{answer: waxwingseam.AccountDecision{Admitted: true}}
	n.reducer = reducer.New(reducer.Config{Workers: []waxwingseam.PrioritizedWorker{{Worker: dispatcher.New(dispatcher.Config{
		Classifier:    classifier.New(),
		Balancer:      balancer.New(balancer.Config{}),
		Retrier:       retrier.New(retrier.Config{}),
		Tracker:       n.tracker,
		Authenticator: identifier.New(),
		Limiter:       n.limiter,
	})}}})
	n.step(waxwingseam.SetAdopted{Stamp: n.stamp(), Set: set})
	n.step(waxwingseam.ServersUpdated{Stamp: n.stamp(), Servers: hostServers()})
	n.step(waxwingseam.ControlHeard{Stamp: n.stamp()})
	return n
}

// arrive sends a call with a key, which may be empty, and returns the effects.
func (n *accountNode) arrive(path, key string, change func(*waxwingseam.CallArrived)) []waxwingseam.Effect {
	e := waxwingseam.CallArrived{
		Stamp: n.stamp(), ID: id, Root: waxwingseam.RootID(id), Host: "desk.example", Path: path, Replayable: true,
	}
	if key != "" {
		e.KeyDigest = waxwingseam.DigestKey(key)
	}
	if change != nil {
		change(&e)
	}
	return n.reducer.Reduce(e)
}

// find returns the first effect of a type.
func find[T waxwingseam.Effect](effects []waxwingseam.Effect) (T, bool) {
	for _, e := range effects {
		if v, ok := e.(T); ok {
			return v, true
		}
	}
	var zero T
	return zero, false
}

// TestRootsNeedKeys guards against roots that run without a key of the set in force, keys
// that are refused for good while a set may be in force that holds them, and calls of the
// backend server that are taken for roots.
func TestRootsNeedKeys(t *testing.T) {
	outbound := func(e *waxwingseam.CallArrived) { e.Outbound = true }
	silent := func(n *accountNode) { n.now = n.now.Add(time.Second + time.Millisecond) }
	named := func(n *accountNode) {
		n.step(waxwingseam.AttemptEnded{Stamp: n.stamp(), Result: waxwingseam.Result{Load: waxwingseam.Load{Revision: 2}}})
	}
	sent := func(n *accountNode) {
		n.step(waxwingseam.AttemptArrived{Stamp: n.stamp(), Call: waxwingseam.Call{Revision: 2}})
	}
	for _, v := range []struct {
		name, path, key string
		before          func(*accountNode)
		change          func(*waxwingseam.CallArrived)
		reason          waxwingseam.Reason
		account         waxwingseam.AccountName
		importance      waxwingseam.Importance
	}{
		{name: "account with an importance", path: "/lots/5", key: "archive-key", account: "archive", importance: 7},
		{name: "account without one", path: "/lots/5", key: "bureau-key", account: "bureau"},
		{name: "no key", path: "/lots/5", reason: waxwingseam.ReasonUnauthenticated},
		{name: "unknown key", path: "/lots/5", key: "other", reason: waxwingseam.ReasonUnauthenticated},
		{name: "unknown key after silence of control", path: "/lots/5", key: "other", before: silent, reason: waxwingseam.ReasonSetUnconfirmed},
		{name: "unknown key after a later revision in an answer", path: "/lots/5", key: "other", before: named, reason: waxwingseam.ReasonSetUnconfirmed},
		{name: "unknown key after a later revision in an attempt", path: "/lots/5", key: "other", before: sent, reason: waxwingseam.ReasonSetUnconfirmed},
		{name: "known key after silence of control", path: "/lots/5", key: "bureau-key", before: silent, account: "bureau"},
		{name: "unknown host", path: "/lots/5", change: func(e *waxwingseam.CallArrived) { e.Host = "other" }, reason: waxwingseam.ReasonUnknownClass},
		{name: "exempt without a key", path: "/notices/5", importance: 2},
		{name: "exempt with a known key", path: "/notices/5", key: "archive-key", account: "archive", importance: 7},
		{name: "exempt with an unknown key", path: "/notices/5", key: "other", importance: 2},
		{name: "call of an unknown run", path: "/lots/5", change: outbound, reason: waxwingseam.ReasonUnknownContext},
		{name: "exempt call of an unknown run", path: "/notices/5", change: outbound, importance: 2},
		{name: "call of an unknown run with a key", path: "/lots/5", key: "bureau-key", change: outbound, account: "bureau"},
		{name: "call of an unknown run with an unknown key", path: "/lots/5", key: "other", change: outbound, reason: waxwingseam.ReasonUnauthenticated},
	} {
		t.Run(v.name, func(t *testing.T) {
			n := newAccountNode(accountSet())
			if v.before != nil {
				v.before(n)
			}
			effects := n.arrive(v.path, v.key, v.change)
			if v.key == "other" && v.reason == waxwingseam.ReasonUnauthenticated {
				_, answered := find[waxwingseam.Reply](effects)
				qt.Assert(t, answered, qt.IsFalse)
				n.now = n.now.Add(300 * time.Millisecond)
				effects = n.reducer.Reduce(waxwingseam.ControlHeard{Stamp: n.stamp(), Age: 100 * time.Millisecond})
			}
			if v.reason != waxwingseam.ReasonNone {
				reply, ok := find[waxwingseam.Reply](effects)
				qt.Assert(t, ok, qt.IsTrue)
				qt.Assert(t, reply.Result.Reason, qt.Equals, v.reason)
				qt.Assert(t, reply.Result.Outcome, qt.Equals, waxwingseam.OutcomeDidNotRun)
				qt.Assert(t, n.limiter.taken, qt.HasLen, 0)
				return
			}
			sent, ok := find[waxwingseam.Dispatch](effects)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, sent.Call.Account, qt.Equals, v.account)
			qt.Assert(t, sent.Call.Rank.Importance, qt.Equals, v.importance)
		})
	}
}

// TestUnknownKeyIsHeld guards against a key that is refused for good at a node that has not
// got the set with the key yet, and against calls that hang while they are held.
func TestUnknownKeyIsHeld(t *testing.T) {
	const unauthenticated = "reply:did-not-run:unauthenticated"
	added := accountSet()
	added.Revision = 2
	added.ClientAccounts[1].Keys = []string{"other"}
	heard := func(n *accountNode, age time.Duration) string {
		return n.step(waxwingseam.ControlHeard{Stamp: n.stamp(), Age: age})
	}
	for _, v := range []struct {
		name, want string
		event      func(n *accountNode) string
	}{
		{"confirmed before the arrival", "", func(n *accountNode) string { return heard(n, 301*time.Millisecond) }},
		{"confirmed after it", unauthenticated, func(n *accountNode) string { return heard(n, 290*time.Millisecond) }},
		{"later revision named", "reply:did-not-run:set-unconfirmed", func(n *accountNode) string {
			n.step(waxwingseam.AttemptArrived{Stamp: n.stamp(), Call: waxwingseam.Call{Revision: 2}})
			return heard(n, 0)
		}},
		{"set with the key", "dispatch#1+0", func(n *accountNode) string {
			return n.step(waxwingseam.SetAdopted{Stamp: n.stamp(), Set: added})
		}},
		{"set without accounts", "require-keys dispatch#1+0", func(n *accountNode) string {
			set := hostSet()
			set.Revision = 2
			return n.step(waxwingseam.SetAdopted{Stamp: n.stamp(), Set: set})
		}},
		{"nothing heard", "reply:did-not-run:set-unconfirmed", func(n *accountNode) string {
			return n.step(waxwingseam.TimerFired{Stamp: n.stamp(), Timer: waxwingseam.TimerID{Purpose: dispatcher.PurposeUnknownKey, Call: id}})
		}},
		{"caller left", "reply:did-not-run:cancelled", func(n *accountNode) string {
			return n.step(waxwingseam.CallerLeft{Stamp: n.stamp(), ID: id})
		}},
	} {
		t.Run(v.name, func(t *testing.T) {
			n := newAccountNode(accountSet())
			armed, _ := find[waxwingseam.ArmTimer](n.arrive("/lots/5", "other", func(e *waxwingseam.CallArrived) { e.Timeout = 800 * time.Millisecond }))
			qt.Assert(t, armed.At, qt.Equals, n.now.Add(400*time.Millisecond))
			n.now = n.now.Add(300 * time.Millisecond)
			qt.Assert(t, v.event(n), qt.Equals, v.want)
			// Nobody is answered twice.
			again := heard(n, 0)
			qt.Assert(t, again, qt.Equals, map[bool]string{true: unauthenticated, false: ""}[v.want == ""])
		})
	}
	n := newAccountNode(accountSet())
	for i := range 300 {
		_, answered := find[waxwingseam.Reply](n.arrive("/lots/5", "other", func(e *waxwingseam.CallArrived) { e.ID = waxwingseam.NewCallID(7, uint64(i)) }))
		qt.Assert(t, answered, qt.Equals, i >= 256)
	}
}

// TestSuspendedTimeIsSilence guards against a node that was suspended and refuses keys for
// good that were added meanwhile.
func TestSuspendedTimeIsSilence(t *testing.T) {
	n := newAccountNode(accountSet())
	effects := n.arrive("/lots/5", "other", func(e *waxwingseam.CallArrived) { e.Suspended = time.Minute })
	reply, _ := find[waxwingseam.Reply](effects)
	qt.Assert(t, reply.Result.Reason, qt.Equals, waxwingseam.ReasonSetUnconfirmed)
}

// TestKeyOfReplacedSet guards against a key that is still taken after a set without it was
// adopted, and against keys that are passed on or removed under the wrong set.
func TestKeyOfReplacedSet(t *testing.T) {
	n := newAccountNode(hostSet())
	adopt := func(revision waxwingseam.Revision, set *waxwingseam.Set) string {
		set.Revision = revision
		return n.step(waxwingseam.SetAdopted{Stamp: n.stamp(), Set: set})
	}
	account := func() waxwingseam.AccountName {
		sent, ok := find[waxwingseam.Dispatch](n.arrive("/lots/5", "archive-key", nil))
		n.step(waxwingseam.CallerLeft{Stamp: n.stamp(), ID: id})
		if !ok {
			return "refused"
		}
		return sent.Call.Account
	}
	qt.Assert(t, account(), qt.Equals, waxwingseam.AccountName(""))
	qt.Assert(t, adopt(2, accountSet()), qt.Equals, "require-keys")
	qt.Assert(t, account(), qt.Equals, waxwingseam.AccountName("archive"))
	changed := accountSet()
	changed.ClientAccounts[0].Keys = []string{"new-key"}
	qt.Assert(t, adopt(3, changed), qt.Equals, "")
	qt.Assert(t, account(), qt.Equals, waxwingseam.AccountName("refused"))
	qt.Assert(t, adopt(4, hostSet()), qt.Equals, "require-keys")
	qt.Assert(t, account(), qt.Equals, waxwingseam.AccountName(""))
}

// TestAccountLimit guards against roots that are sent before the limit of their account
// allows them, that hang when nothing is decided, or that are not given back when they did
// not run.
func TestAccountLimit(t *testing.T) {
	arrive := func(n *accountNode) string {
		text := ""
		for _, e := range n.arrive("/lots/5", "archive-key", nil) {
			text += describe(e)
		}
		return text
	}
	message := func(n *accountNode, decision waxwingseam.AccountDecision) string {
		decision.Call = id
		n.limiter.decided = []waxwingseam.AccountDecision{decision}
		return n.step(waxwingseam.AccountMessageReceived{Stamp: n.stamp()})
	}
	pending := func(t *testing.T) *accountNode {
		n := newAccountNode(accountSet())
		n.limiter.answer = waxwingseam.AccountDecision{Pending: true}
		qt.Assert(t, arrive(n), qt.Equals, "")
		qt.Assert(t, n.limiter.wait > 0 && n.limiter.wait < time.Second, qt.IsTrue)
		return n
	}
	t.Run("over the limit", func(t *testing.T) {
		n := newAccountNode(accountSet())
		n.limiter.answer = waxwingseam.AccountDecision{RetryAfter: 3 * time.Second, Used: 12, Limit: 10, Age: time.Millisecond}
		effects := n.arrive("/lots/5", "archive-key", func(e *waxwingseam.CallArrived) { e.Timeout = time.Second })
		reply, _ := find[waxwingseam.Reply](effects)
		qt.Assert(t, reply.Result.Reason, qt.Equals, waxwingseam.ReasonAccountLimit)
		qt.Assert(t, reply.Result.Outcome, qt.Equals, waxwingseam.OutcomeDidNotRun)
		qt.Assert(t, reply.Result.RetryAfter, qt.Equals, 3*time.Second)
		qt.Assert(t, reply.Refusal.Used, qt.Equals, 12.0)
		qt.Assert(t, reply.Refusal.Call.Account, qt.Equals, waxwingseam.AccountName("archive"))
		qt.Assert(t, n.limiter.refunded, qt.HasLen, 0)
	})
	t.Run("decided later", func(t *testing.T) {
		n := pending(t)
		qt.Assert(t, message(n, waxwingseam.AccountDecision{Admitted: true}), qt.Equals, "dispatch#1+0")
		qt.Assert(t, n.endAttempt(1, waxwingseam.Result{Outcome: waxwingseam.OutcomeCompleted, Status: 200}), qt.Equals, "reply:completed")
		qt.Assert(t, n.limiter.refunded, qt.HasLen, 0)
		qt.Assert(t, n.limiter.withdrawn, qt.HasLen, 0)
	})
	t.Run("refused later", func(t *testing.T) {
		n := pending(t)
		qt.Assert(t, message(n, waxwingseam.AccountDecision{}), qt.Equals, "reply:did-not-run:account-limit")
		qt.Assert(t, message(n, waxwingseam.AccountDecision{Admitted: true}), qt.Equals, "")
		qt.Assert(t, n.limiter.withdrawn, qt.HasLen, 0)
	})
	t.Run("caller leaves while undecided", func(t *testing.T) {
		n := pending(t)
		qt.Assert(t, n.step(waxwingseam.CallerLeft{Stamp: n.stamp(), ID: id}), qt.Equals, "reply:did-not-run:cancelled")
		qt.Assert(t, n.limiter.withdrawn, qt.DeepEquals, []waxwingseam.CallID{id})
		qt.Assert(t, n.limiter.refunded, qt.HasLen, 0)
	})
	t.Run("deadline while undecided", func(t *testing.T) {
		n := pending(t)
		fired := waxwingseam.TimerFired{Stamp: n.stamp(), Timer: waxwingseam.TimerID{Purpose: dispatcher.PurposeDeadline, Call: id}}
		qt.Assert(t, n.step(fired), qt.Equals, "reply:did-not-run:deadline")
		qt.Assert(t, n.limiter.withdrawn, qt.DeepEquals, []waxwingseam.CallID{id})
	})
	t.Run("did not run", func(t *testing.T) {
		n := newAccountNode(accountSet())
		qt.Assert(t, arrive(n), qt.Equals, "dispatch#1+0 ")
		n.step(waxwingseam.ServersUpdated{Stamp: n.stamp(), Gone: []waxwingseam.ServerName{"desk-1", "desk-2", "ledger-1"}})
		refused := waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonOverloaded, Reached: true}
		qt.Assert(t, n.endAttempt(1, refused), qt.Equals, "reply:did-not-run:overloaded")
		qt.Assert(t, n.limiter.refunded, qt.DeepEquals, []waxwingseam.AccountName{"archive"})
	})
	t.Run("child calls", func(t *testing.T) {
		n := newAccountNode(accountSet())
		parent := waxwingseam.Call{ID: waxwingseam.NewCallID(9, 9), Account: "bureau", Deadline: n.now.Add(time.Second)}
		n.tracker.Begin(parent)
		sent, ok := find[waxwingseam.Dispatch](n.arrive("/lots/5", "", func(e *waxwingseam.CallArrived) { e.Parent = parent.ID }))
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, sent.Call.Account, qt.Equals, waxwingseam.AccountName("bureau"))
		qt.Assert(t, n.limiter.taken, qt.HasLen, 0)
	})
}
