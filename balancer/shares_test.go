package balancer_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp/cmpopts"

	"waxwingseam.example/waxwingseam"
)

const feeImportance = 3

// feePlace is the place of the roots whose shares the tests state.
var feePlace = waxwingseam.Place{Class: "fee", Importance: feeImportance}

// answer reports an answer of a server to a root that states a share.
func (h *harness) answer(server waxwingseam.ServerName, share waxwingseam.Permille) {
	result := succeeded
	result.Reached, result.RefusedPermille = true, share
	h.observe(server, result)
}

func (h *harness) observe(server waxwingseam.ServerName, result waxwingseam.Result) {
	h.begin()
	h.Observe(h.context, waxwingseam.Feedback{
		Server: server, Class: feePlace.Class, Rank: waxwingseam.Rank{Importance: feeImportance}, Result: result, Elapsed: time.Millisecond,
	})
}

func (h *harness) refused(place waxwingseam.Place) waxwingseam.Permille {
	h.begin()
	return h.Refused(h.context, "fees", place)
}

func rootQuery(order uint64) waxwingseam.Query {
	return waxwingseam.Query{
		Service: "fees", Class: feePlace.Class, Rank: waxwingseam.Rank{Importance: feeImportance, Order: order}, Root: true,
	}
}

// TestSharesHoldBetweenAnswers guards against a share that falls before a node with few
// calls gets its next answer, and against one that holds without any answer.
func TestSharesHoldBetweenAnswers(t *testing.T) {
	for _, v := range []struct {
		name               string
		interval, lifetime time.Duration
	}{
		{"many answers", 10 * time.Millisecond, 500 * time.Millisecond},
		{"an answer a second", time.Second, 3 * time.Second},
		{"an answer in 10 s", 10 * time.Second, 4 * time.Second},
	} {
		t.Run(v.name, func(t *testing.T) {
			h := newHarness("desk", servers(1), &waxwingseam.Set{})
			for range 40 {
				h.now = h.now.Add(v.interval)
				h.answer("fees-0", 600)
			}
			qt.Assert(t, h.refused(feePlace), qt.Equals, waxwingseam.Permille(600))
			h.now = h.now.Add(v.lifetime * 99 / 100)
			qt.Assert(t, h.refused(feePlace), qt.Equals, waxwingseam.Permille(600))
			h.now = h.now.Add(2 * v.lifetime)
			qt.Assert(t, h.refused(feePlace) < 600/5, qt.IsTrue)
			h.now = h.now.Add(10 * v.lifetime)
			qt.Assert(t, h.refused(feePlace), qt.Equals, waxwingseam.Permille(0))
			qt.Assert(t, h.Choose(h.context, rootQuery(1)).Refused, qt.IsFalse)
		})
	}
}

// TestShareIsMeanOfServers guards against the share of a single server that holds for
// the whole service, and for other places.
func TestShareIsMeanOfServers(t *testing.T) {
	h := newHarness("desk", servers(3), &waxwingseam.Set{})
	for range 200 {
		h.now = h.now.Add(5 * time.Millisecond)
		h.answer("fees-0", 900)
		h.answer("fees-1", 0)
		h.answer("fees-2", 300)
	}
	got := float64(h.refused(feePlace))
	qt.Check(t, math.Abs(got-400) <= 50, qt.IsTrue, qt.Commentf("share %v", got))
	for _, place := range []waxwingseam.Place{
		{Class: "status", Importance: feeImportance},
		{Class: "fee", Importance: feeImportance + 1},
		{Class: "fee", Importance: feeImportance, Depth: 1},
	} {
		qt.Check(t, h.refused(place), qt.Equals, waxwingseam.Permille(0), qt.Commentf("%v", place))
	}
}

// TestUnknownSharesAreIgnored guards against answers without a share that count as one.
func TestUnknownSharesAreIgnored(t *testing.T) {
	h := newHarness("desk", servers(2), &waxwingseam.Set{})
	h.answer("fees-1", waxwingseam.ShareUnknown)
	qt.Assert(t, h.refused(feePlace), qt.Equals, waxwingseam.Permille(0))
	unreached := waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonConnectionFailed}
	cancelled := waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun, Reason: waxwingseam.ReasonCancelled}
	for range 50 {
		h.now = h.now.Add(10 * time.Millisecond)
		h.answer("fees-0", 400)
		h.answer("fees-1", waxwingseam.ShareUnknown)
		h.observe("fees-1", unreached)
		h.observe("fees-1", cancelled)
		qt.Assert(t, h.refused(feePlace), qt.Equals, waxwingseam.Permille(400))
	}
}

// TestNodesRefuseTheSameRoots guards against nodes that refuse different roots at the
// same share, against a root that a larger share admits and a smaller one refuses, and
// against a refused part that differs from the share.
func TestNodesRefuseTheSameRoots(t *testing.T) {
	const roots = 4000
	admitted := func(self string, share waxwingseam.Permille) map[uint64]bool {
		h := newHarness(self, servers(3), &waxwingseam.Set{})
		h.answer("fees-0", share)
		found := map[uint64]bool{}
		for order := range uint64(roots) {
			choice := h.Choose(h.context, rootQuery(order))
			if choice.Refused {
				qt.Assert(t, choice.Reason, qt.Equals, waxwingseam.ReasonOverloaded)
				qt.Assert(t, choice.RetryAfter > 0, qt.IsTrue)
				continue
			}
			qt.Assert(t, choice.RefusedPermille, qt.Equals, share)
			found[order] = true
		}
		return found
	}
	larger := map[uint64]bool{}
	for _, share := range []waxwingseam.Permille{990, 700, 400, 100, 0} {
		found := admitted("desk-1", share)
		qt.Assert(t, admitted("desk-2", share), qt.DeepEquals, found)
		part := float64(len(found)) / roots
		qt.Check(t, math.Abs(part-(1-float64(share)/1000)) < 0.03, qt.IsTrue, qt.Commentf("share %d, %.3f admitted", share, part))
		for order := range larger {
			qt.Assert(t, found[order], qt.IsTrue, qt.Commentf("root %d", order))
		}
		larger = found
	}
	qt.Check(t, larger, qt.HasLen, roots)
}

// TestOnlyRootsAreRefusedByShare guards against calls refused after work has been done
// for their roots.
func TestOnlyRootsAreRefusedByShare(t *testing.T) {
	h := newHarness("desk", servers(3), &waxwingseam.Set{})
	h.answer("fees-0", 990)
	for order := range uint64(1000) {
		query := rootQuery(order)
		query.Root = false
		qt.Assert(t, h.Choose(h.context, query).Refused, qt.IsFalse, qt.Commentf("call %d", order))
	}
}

// TestBackendRefusalsAreNotThrottled guards against calls refused at first nodes because
// a backend server refuses some, whatever its load.
func TestBackendRefusalsAreNotThrottled(t *testing.T) {
	for _, percent := range []int{30, 55, 95} {
		h := newHarness("desk", servers(3), &waxwingseam.Set{})
		refusal := waxwingseam.Result{
			Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonServerRefused, Load: waxwingseam.Load{Limit: 10},
		}
		for n := range 3000 {
			h.now = h.now.Add(time.Millisecond)
			result := succeeded
			if n*37%100 < percent {
				result = refusal
			}
			choice := h.choose(rootQuery(uint64(n)), result)
			qt.Assert(t, choice.Refused, qt.IsFalse, qt.Commentf("%d percent, call %d", percent, n))
		}
	}
}

// TestLateRootsAreServedFirst guards against roots that can't be on time any more and are
// admitted in place of others in a deep shortage: late ones bear the refused share as far
// as they can, and the share of all roots that is refused stays as it was stated.
func TestLateRootsAreServedFirst(t *testing.T) {
	for _, v := range []struct {
		name        string
		stated      waxwingseam.Permille
		lateOfTen   int
		late, fresh float64
	}{
		{"fewer late roots than are refused", 600, 3, 1, 0.43},
		{"more late roots than are refused", 400, 5, 0.8, 0},
		{"a shortage that is neither mild nor deep", 200, 5, 0.3, 0.1},
		{"a mild shortage", 80, 5, 0.08, 0.08},
		{"no late roots", 600, 0, 0, 0.6},
		{"only late roots", 600, 10, 0.6, 0},
	} {
		t.Run(v.name, func(t *testing.T) {
			const roots = 4000
			h := newHarness("desk", servers(1), &waxwingseam.Set{})
			var sent, refused [2]float64
			for i := range roots {
				h.now = h.now.Add(time.Millisecond)
				h.answer("fees-0", v.stated)
				h.begin()
				q := rootQuery(uint64(i) * 0x9e3779b97f4a7c15)
				kind := 0
				if q.Late = i%10 < v.lateOfTen; q.Late {
					kind = 1
				}
				sent[kind]++
				if h.Choose(h.context, q).Refused {
					refused[kind]++
				}
			}
			qt.Assert(t, refused[0]/max(sent[0], 1), qt.CmpEquals(approximately), v.fresh)
			qt.Assert(t, refused[1]/max(sent[1], 1), qt.CmpEquals(approximately), v.late)
		})
	}
}

// approximately compares shares of some hundreds of roots.
var approximately = cmpopts.EquateApprox(0, 0.05)
