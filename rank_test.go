package waxwingseam

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRankBefore guards against an order of service in which a less important
// call, or a later root of the same importance, precedes another.
func TestRankBefore(t *testing.T) {
	for _, v := range []struct {
		name string
		a, b Rank
		want bool
	}{
		{"more important first", Rank{5, 9}, Rank{4, 1}, true},
		{"less important later", Rank{4, 1}, Rank{5, 9}, false},
		{"smaller order first", Rank{5, 1}, Rank{5, 2}, true},
		{"equal ranks", Rank{5, 1}, Rank{5, 1}, false},
	} {
		t.Run(v.name, func(t *testing.T) {
			qt.Assert(t, v.a.Before(v.b), qt.Equals, v.want)
		})
	}
}
