package assembler

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// TestUnrepeatableClassRunsEarly guards against requests of classes that may not run
// twice, or of none, that are handled before earlier answers of their connection.
func TestUnrepeatableClassRunsEarly(t *testing.T) {
	p := &repeatability{}
	repeatable := p.of(func(r *http.Request) waxwingseam.Request {
		return waxwingseam.Request{Host: r.Host, Method: r.Method, Path: r.URL.Path}
	})
	request := func(path string) *http.Request {
		r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, path, nil)
		r.Host = "desk.example"
		return r
	}
	qt.Assert(t, repeatable(request("/lots/1")), qt.IsFalse)
	p.Observe(waxwingseam.SetAdopted{Set: &waxwingseam.Set{RequestClasses: []waxwingseam.RequestClass{
		{Name: "lots", Host: "desk.example", Prefix: "/lots/", Repeat: waxwingseam.RepeatIdempotent},
		{Name: "marks", Host: "desk.example", Prefix: "/lots/marks/"},
	}}}, nil)
	qt.Assert(t, repeatable(request("/lots/1")), qt.IsTrue)
	qt.Assert(t, repeatable(request("/lots/marks/1")), qt.IsFalse)
	qt.Assert(t, repeatable(request("/other/")), qt.IsFalse)
}
