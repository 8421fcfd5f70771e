package assembler

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/reducer"
	"waxwingseam.example/waxwingseam/runner"
)

// TestRouteIsAskedOverHTTP guards against a question that gets no answer from the node's
// workers, or loses a part of the request.
func TestRouteIsAskedOverHTTP(t *testing.T) {
	self := waxwingseam.Server{Name: "fees-1", Service: "fees"}
	r := runner.New(runner.Config{Reducer: reducer.New(reducer.Config{Self: self, Workers: Workers(WorkersConfig{Self: self})})})
	asker := newRouteAsker(r)
	r.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.SetAdopted{Stamp: s, Set: &waxwingseam.Set{
			Revision:       1,
			Services:       []waxwingseam.Service{{Name: "fees"}},
			RequestClasses: []waxwingseam.RequestClass{{Name: "fee", Service: "fees", Host: "fees.example", Prefix: "/lots", Importance: 4}},
		}}
	})
	r.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.ServersUpdated{Stamp: s, Servers: []waxwingseam.Server{self}}
	})
	w := httptest.NewRecorder()
	asker.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/v1/route?host=fees.example&method=GET&path=/lots/17&account=mint", http.NoBody))
	var route waxwingseam.Route
	qt.Assert(t, json.Unmarshal(w.Body.Bytes(), &route), qt.IsNil)
	qt.Assert(t, route.Class, qt.Equals, waxwingseam.ClassName("fee"))
	qt.Assert(t, route.Account, qt.Equals, waxwingseam.AccountName("mint"))
	qt.Assert(t, route.Importance, qt.Equals, waxwingseam.Importance(4))
	qt.Assert(t, route.Server, qt.Equals, self.Name)
	qt.Assert(t, asker.waiting, qt.HasLen, 0)
}
