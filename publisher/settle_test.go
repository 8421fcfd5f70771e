package publisher

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam/historian"
)

// TestServersCompleteWithoutPeers checks that a publisher without a Peers
// function reports its servers as complete after SettleTime.
func TestServersCompleteWithoutPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Config{Historian: historian.New(historian.Config{OnUpdate: func(historian.Update) {}})}).(*publisher)
		qt.Assert(t, p.allServersComplete(), qt.IsFalse)
		time.Sleep(SettleTime)
		qt.Assert(t, p.allServersComplete(), qt.IsTrue)
	})
}
