package assembler

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestExitsBeforeDrainLimit checks that a process whose shutdown hangs, as when
// another process keeps a stream open, exits before it would be killed.
func TestExitsBeforeDrainLimit(t *testing.T) {
	failed := errors.New("failed")
	for _, v := range []struct {
		name     string
		limit    time.Duration
		duration time.Duration
		want     time.Duration
		err      error
	}{
		{"in time", 6 * time.Second, time.Second, time.Second, failed},
		{"hangs", 6 * time.Second, time.Hour, 6*time.Second - exitMargin, errConnectionsOpen},
		{"no limit", 0, time.Hour, time.Hour, failed},
	} {
		t.Run(v.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stop, cancel := context.WithCancel(context.Background())
				started := time.Now()
				cancel()
				err := waitUntilLimit(stop, v.limit, func() error {
					time.Sleep(v.duration)
					return failed
				})
				qt.Assert(t, err, qt.Equals, v.err)
				qt.Assert(t, time.Since(started), qt.Equals, v.want)
				time.Sleep(v.duration)
			})
		})
	}
}
