package publisher

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/messenger"
)

var retryStart = time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)

// TestLatestStatementOfRetryUseCounts guards against a statement that arrives late, by way of
// another replica, and replaces a later one, and against use that is told to the process that
// stated it.
func TestLatestStatementOfRetryUseCounts(t *testing.T) {
	u := newRetryUses(retryStart, false)
	state := func(after, age time.Duration, incarnation waxwingseam.Incarnation, repeats int) bool {
		return u.add(retryStart.Add(after), "fees-1", ServerRetryUse{
			Incarnation: incarnation,
			Use:         waxwingseam.RetryUse{Repeats: repeats, Age: age},
		})
	}
	qt.Assert(t, state(2*time.Second, 0, 1, 5), qt.IsTrue)
	qt.Assert(t, state(3*time.Second, 2*time.Second, 1, 3), qt.IsFalse)
	server := waxwingseam.Server{Name: "fees-1", Service: "fees", Incarnation: 2}
	h := u.history(retryStart.Add(4*time.Second), server)
	qt.Assert(t, h.Use, qt.Equals, waxwingseam.RetryUse{Repeats: 5, Age: 2 * time.Second})
	qt.Assert(t, h.Covered, qt.Equals, 4*time.Second)
	server.Incarnation = 1
	qt.Assert(t, u.history(retryStart.Add(4*time.Second), server).Use, qt.Equals, waxwingseam.RetryUse{})
}

// TestRemovedServersAreNamed guards against a started node that divides the slack among too few
// servers, as some have left before its start.
func TestRemovedServersAreNamed(t *testing.T) {
	u := newRetryUses(retryStart, true)
	for i := range 3 {
		u.updateServer(retryStart, waxwingseam.Server{Name: waxwingseam.ServerName(fmt.Sprintf("fees-%d", i)), Service: "fees"}, false)
	}
	u.updateServer(retryStart, waxwingseam.Server{Name: "fees-2", Service: "fees"}, true)
	u.updateServer(retryStart, waxwingseam.Server{Name: "lots-0", Service: "lots"}, false)
	started := waxwingseam.Server{Name: "fees-0", Service: "fees"}
	h := u.history(retryStart.Add(time.Second), started)
	qt.Assert(t, h.Left, qt.DeepEquals, []time.Duration{time.Second})
	qt.Assert(t, h.Covered, qt.Equals, firstStartCovered+time.Second)
	qt.Assert(t, u.history(retryStart.Add(2*retryUseTime), started).Left, qt.HasLen, 0)
}

// BenchmarkRetryUse reports the bytes of a node's statement, of its way to another replica and
// of the history of a started node.
func BenchmarkRetryUse(b *testing.B) {
	use := waxwingseam.RetryUse{Repeats: 7, Age: 3 * time.Millisecond}
	size := func(m any) float64 {
		data, err := messenger.Encoding.Marshal(m)
		qt.Assert(b, err, qt.IsNil)
		return float64(len(data))
	}
	for b.Loop() {
		b.ReportMetric(size(&Report{RetryUse: &use}), "bytes/statement")
		b.ReportMetric(size(&Push{RetryUses: map[waxwingseam.ServerName]ServerRetryUse{
			"sidecar-nl-west-a-1": {Incarnation: 1_790_000_000_000_000_000, Use: use},
		}}), "bytes/exchange")
		b.ReportMetric(size(&Push{RetryHistory: &waxwingseam.RetryHistory{Use: use, Covered: time.Hour}}), "bytes/history")
	}
}
