package classifier

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

func newTestClassifier() waxwingseam.Classifier {
	f := New()
	set := &waxwingseam.Set{}
	for _, v := range []struct{ name, method, path string }{
		{"rest", "", "/lots/{path...}"},
		{"lot", "", "/lots/{lot}"},
		{"read-lot", "GET", "/lots/{lot}"},
		{"open-lots", "GET", "/lots/open"},
		{"marks", "POST", "/lots/{lot}/marks"},
	} {
		set.RequestClasses = append(set.RequestClasses, waxwingseam.RequestClass{
			Name: waxwingseam.ClassName(v.name), Service: "lot-desk", Method: v.method, Path: v.path,
		})
	}
	f.Adopt(set)
	return f
}

// TestClassify guards against a call that is given a less specific class, or the
// class of another service.
func TestClassify(t *testing.T) {
	f := newTestClassifier()
	for _, v := range []struct{ service, method, path, want string }{
		{"lot-desk", "GET", "/lots/open", "open-lots"},
		{"lot-desk", "GET", "/lots/7?full=1", "read-lot"},
		{"lot-desk", "PUT", "/lots/open", "lot"},
		{"lot-desk", "POST", "/lots/7/marks", "marks"},
		{"lot-desk", "GET", "/lots/7/marks", "rest"},
		{"lot-desk", "GET", "/lots", "rest"},
		{"lot-desk", "GET", "/lots/", "rest"},
		{"lot-desk", "GET", "/fees", ""},
		{"fees", "GET", "/lots/open", ""},
	} {
		t.Run(v.method+v.path, func(t *testing.T) {
			class, ok := f.Classify(waxwingseam.Request{
				Service: waxwingseam.ServiceName(v.service), Method: v.method, Path: v.path,
			})
			qt.Assert(t, ok, qt.Equals, v.want != "")
			qt.Assert(t, string(class.Name), qt.Equals, v.want)
		})
	}
}

// TestRankOrdersRoots guards against an order of service in which a less
// important or younger root is first, and against a root whose rank differs
// between two computations.
func TestRankOrdersRoots(t *testing.T) {
	f := New()
	c := waxwingseam.NewContext(waxwingseam.Server{})
	at := func(ms int, importance waxwingseam.Importance, id byte) waxwingseam.Rank {
		c.Begin(waxwingseam.Stamp{Now: time.UnixMilli(int64(1_000_000 + ms))})
		return f.Rank(c, waxwingseam.RequestClass{Importance: importance}, waxwingseam.RootID{15: id})
	}
	qt.Assert(t, at(9, 5, 0).Before(at(0, 4, 0)), qt.IsTrue)
	qt.Assert(t, at(0, 5, 9).Before(at(9, 5, 0)), qt.IsTrue)
	qt.Assert(t, at(0, 5, 1).Before(at(0, 5, 2)), qt.IsTrue)
	qt.Assert(t, at(0, 5, 2), qt.Equals, at(0, 5, 2))
}

func ExampleNew() {
	f := New()
	f.Adopt(&waxwingseam.Set{RequestClasses: []waxwingseam.RequestClass{
		{Name: "register-mark", Service: "mark-ledger", Method: "POST", Path: "/lots/{lot}/marks", Importance: 8},
	}})
	class, ok := f.Classify(waxwingseam.Request{Service: "mark-ledger", Method: "POST", Path: "/lots/12/marks"})
	fmt.Println(class.Name, ok)
	// Output: register-mark true
}
