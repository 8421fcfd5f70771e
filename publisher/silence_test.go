package publisher

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestWatchdog checks in virtual time that a silent connection is closed within
// 1 s of the last message, and that it is not closed while messages arrive, even
// within the grace period, or after the watchdog was stopped.
func TestWatchdog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var timeouts atomic.Int32
		w := NewWatchdog(func() { timeouts.Add(1) })
		for range 10 {
			time.Sleep(SilenceTimeout + gracePeriod/2)
			w.MessageReceived()
		}
		synctest.Wait()
		qt.Assert(t, timeouts.Load(), qt.Equals, int32(0))
		time.Sleep(time.Second)
		synctest.Wait()
		qt.Assert(t, timeouts.Load(), qt.Equals, int32(1))
		w.Stop()
	})
	synctest.Test(t, func(t *testing.T) {
		var timeouts atomic.Int32
		NewWatchdog(func() { timeouts.Add(1) }).Stop()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		qt.Assert(t, timeouts.Load(), qt.Equals, int32(0))
	})
}
