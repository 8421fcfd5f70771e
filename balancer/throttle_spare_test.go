package balancer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// TestThrottleAdmitsUnrejectedImportance checks that a throttle that refuses
// less important calls admits a sudden rise of calls that were never rejected.
func TestThrottleAdmitsUnrejectedImportance(t *testing.T) {
	th := throttle{config: serviceThrottleConfig}
	now := time.Unix(100, 0)
	low, high := waxwingseam.Rank{Importance: 2}, waxwingseam.Rank{Importance: 9}
	for range 200 {
		now = now.Add(time.Millisecond)
		if th.admit(now, low) {
			th.rejected(now, low.Importance)
		}
	}
	qt.Assert(t, th.fewRejections(), qt.IsFalse)
	refused := 0
	for n := range 100 {
		high.Order = uint64(n)
		if !th.admit(now, high) {
			refused++
		}
	}
	qt.Assert(t, refused, qt.Equals, 0)
	for range 10 {
		th.rejected(now, high.Importance)
	}
	qt.Assert(t, th.rejectsFew(9), qt.IsFalse)
}
