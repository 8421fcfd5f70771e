package arbiter_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/arbiter"
)

// TestRouter checks that calls with one key are routed to one server, that few
// keys move when servers are added or removed, and that a leaving server is
// skipped.
func TestRouter(t *testing.T) {
	r := arbiter.NewRouter()
	c := waxwingseam.NewContext(waxwingseam.Server{})
	updateServers := func(gone []waxwingseam.ServerName, names ...waxwingseam.ServerName) {
		e := waxwingseam.ServersUpdated{Gone: gone}
		for _, name := range names {
			e.Servers = append(e.Servers, waxwingseam.Server{Name: name, Service: "ledger"})
		}
		r.Reduce(c, e)
	}
	route := func(n int, call waxwingseam.Call, tried ...waxwingseam.ServerName) waxwingseam.ServerName {
		q := waxwingseam.Query{Service: "ledger", Tried: tried}
		call.ID = waxwingseam.NewCallID(uint64(n), 1)
		r.Route(c, call, &q)
		return q.Pinned
	}
	keyed := func(n int) waxwingseam.Call { return waxwingseam.Call{Class: "marks", Key: fmt.Sprint("lot-", n)} }
	updateServers(nil, "a", "b", "c")
	before := map[int]waxwingseam.ServerName{}
	counts := map[waxwingseam.ServerName]int{}
	const keys = 3000
	for n := range keys {
		before[n] = route(n, keyed(n))
		counts[before[n]]++
		qt.Assert(t, route(n, keyed(n)), qt.Equals, before[n])
		qt.Assert(t, route(n, keyed(n), before[n]), qt.Not(qt.Equals), before[n])
	}
	for _, name := range []waxwingseam.ServerName{"a", "b", "c"} {
		qt.Assert(t, counts[name] > keys/4, qt.IsTrue, qt.Commentf("%v", counts))
	}
	updateServers([]waxwingseam.ServerName{"b"}, "d")
	moved := 0
	for n := range keys {
		switch now := route(n, keyed(n)); {
		case before[n] == "b":
			qt.Assert(t, now, qt.Not(qt.Equals), waxwingseam.ServerName("b"))
		case now != before[n]:
			qt.Assert(t, now, qt.Equals, waxwingseam.ServerName("d"))
			moved++
		}
	}
	qt.Assert(t, moved < keys/3, qt.IsTrue, qt.Commentf("%d", moved))
	first := route(0, keyed(0))
	r.Reduce(c, waxwingseam.AttemptEnded{ID: waxwingseam.NewCallID(0, 1), Result: waxwingseam.Result{
		Reached: true, Load: waxwingseam.Load{Leaving: true},
	}})
	qt.Assert(t, route(0, keyed(0)), qt.Not(qt.Equals), first)
	updateServers(nil, first)
	qt.Assert(t, route(0, keyed(0)), qt.Equals, first)
	qt.Assert(t, route(0, waxwingseam.Call{Key: "lot", Repeat: waxwingseam.RepeatIdempotent}), qt.Equals, waxwingseam.ServerName(""))
	qt.Assert(t, route(0, waxwingseam.Call{}), qt.Equals, waxwingseam.ServerName(""))
}
