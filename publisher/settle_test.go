package publisher

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam/historian"
)

// TestKnowsAllWithoutPeers checks that a replica alone, which was given nothing to
// count others by, knows all servers once its nodes had the time to announce
// themselves.
func TestKnowsAllWithoutPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Config{Historian: historian.New(historian.Config{Published: func(historian.Update) {}})}).(*publisher)
		qt.Assert(t, p.knowsAll(), qt.IsFalse)
		time.Sleep(SettleTime)
		qt.Assert(t, p.knowsAll(), qt.IsTrue)
	})
}
