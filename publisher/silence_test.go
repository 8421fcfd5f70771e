package publisher

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSilence checks in virtual time that a silent connection is left within
// 1 s of the last message, and one that is heard, even late, is not.
func TestSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var hungUp atomic.Int32
		s := NewWatchdog(func() { hungUp.Add(1) })
		for range 10 {
			time.Sleep(SilenceTimeout + graceTime/2)
			s.MessageReceived()
		}
		synctest.Wait()
		qt.Assert(t, hungUp.Load(), qt.Equals, int32(0))
		time.Sleep(time.Second)
		synctest.Wait()
		qt.Assert(t, hungUp.Load(), qt.Equals, int32(1))
		s.Stop()
	})
	synctest.Test(t, func(t *testing.T) {
		var hungUp atomic.Int32
		NewWatchdog(func() { hungUp.Add(1) }).Stop()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		qt.Assert(t, hungUp.Load(), qt.Equals, int32(0))
	})
}
