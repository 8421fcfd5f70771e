package dispatcher_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// answered is a whole answer of a backend server.
func answered(status int) waxwingseam.Result {
	return waxwingseam.Result{Outcome: waxwingseam.OutcomeCompleted, Status: status, Reached: true, Unspent: 2}
}

// TestFailuresAreTriedAgain plays what follows a backend server's own failure:
// another attempt where the limit allows it and nothing below would run again,
// and that failure as the answer where no later attempt gets one.
func TestFailuresAreTriedAgain(t *testing.T) {
	below := answered(500)
	below.MadeCalls = true
	refusedBelow := answered(500)
	refusedBelow.RefusedBelow = true
	unsent := waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun, Reason: waxwingseam.ReasonServerFailed, Reached: true, Unspent: 2}
	for _, v := range []struct {
		name    string
		service waxwingseam.ServiceName
		results []waxwingseam.Result
		status  int
		by      waxwingseam.Attempt
	}{
		{"second attempt succeeds", "photos", []waxwingseam.Result{answered(500), answered(200)}, 200, 2},
		{"every attempt fails", "photos", []waxwingseam.Result{answered(500), answered(502), answered(503)}, 503, 3},
		{"later attempts get no answer", "photos", []waxwingseam.Result{answered(500), unsent, unsent}, 500, 1},
		{"at the deadline of the run", "photos", []waxwingseam.Result{answered(504)}, 504, 1},
		{"the run made calls", "photos", []waxwingseam.Result{below}, 500, 1},
		{"a call below was refused", "photos", []waxwingseam.Result{refusedBelow}, 500, 1},
		{"refused by the request", "photos", []waxwingseam.Result{answered(404)}, 404, 1},
		{"limit without failures", "fees", []waxwingseam.Result{answered(500)}, 500, 1},
		{"not repeatable", "ledger", []waxwingseam.Result{answered(500)}, 500, 1},
	} {
		t.Run(v.name, func(t *testing.T) {
			server := waxwingseam.ServerName(v.service + "-")
			n := newNode(server+"1", server+"2", server+"3")
			n.call(v.service)
			var reply *waxwingseam.Reply
			for i, result := range v.results {
				qt.Assert(t, reply, qt.IsNil, qt.Commentf("answered after %d attempts", i))
				for _, e := range n.reducer.Reduce(waxwingseam.AttemptEnded{Stamp: n.stamp(), ID: id, Attempt: waxwingseam.Attempt(i + 1), Result: result}) {
					if r, ok := e.(waxwingseam.Reply); ok {
						reply = &r
					}
				}
			}
			qt.Assert(t, reply, qt.IsNotNil)
			qt.Assert(t, reply.Result.Status, qt.Equals, v.status)
			qt.Assert(t, reply.Attempt, qt.Equals, v.by)
		})
	}
}
