package forwarder_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// pair is a node without a backend server and one beside a ledger.
func pair(t testing.TB, serve http.HandlerFunc) (*node, *node, *backend) {
	b := newBackend(t, serve)
	front := newNode(t, nodeConfig{})
	back := newNode(t, nodeConfig{service: "ledger", name: "ledger-1", backend: b})
	front.learn(back)
	return front, back, b
}

func TestWholeAnswers(t *testing.T) {
	front, _, _ := pair(t, echo)
	for _, v := range []struct {
		name, method, body string
	}{
		{"empty", http.MethodGet, ""},
		{"empty post", http.MethodPost, ""},
		{"short", http.MethodPost, "lot 7"},
		{"as long as the read-ahead", http.MethodPut, strings.Repeat("a", 64<<10)},
		{"longer than the window", http.MethodPost, strings.Repeat("0123456789", 100_000)},
	} {
		t.Run(v.name, func(t *testing.T) {
			for _, body := range []io.Reader{strings.NewReader(v.body), io.MultiReader(strings.NewReader(v.body))} {
				got := front.call(request{method: v.method, path: "/ledger/marks/a%2Fb?x=1", name: v.name, body: body})
				qt.Assert(t, got.err, qt.IsNil)
				qt.Assert(t, got.said(), qt.Equals, "completed")
				qt.Assert(t, got.body == v.method+" /marks/a%2Fb?x=1 "+v.name+" "+v.body, qt.IsTrue, qt.Commentf("%d bytes, %.200s", len(got.body), got.body))
			}
		})
	}
}
