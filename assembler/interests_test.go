package assembler

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/subscriber"
)

// delayedSubscriber adds a server of each requested service after a delay, as
// control would.
type delayedSubscriber struct {
	subscriber.Subscriber
	interests *interests
	after     time.Duration
	requested []waxwingseam.ServiceName
}

func (s *delayedSubscriber) AddInterest(service waxwingseam.ServiceName) {
	s.requested = append(s.requested, service)
	time.AfterFunc(s.after, func() {
		s.interests.Observe(waxwingseam.ServersUpdated{Servers: []waxwingseam.Server{{Service: service}}}, nil)
	})
}

// TestFirstCallsWaitForServers makes calls to a service without known servers, in
// virtual time. The first call waits until control reports a server, but no longer
// than firstServersTimeout. Later calls do not wait.
func TestFirstCallsWaitForServers(t *testing.T) {
	for _, v := range []struct {
		name  string
		after time.Duration
		want  time.Duration
	}{
		{"control answers", 30 * time.Millisecond, 30 * time.Millisecond},
		{"control does not answer", time.Hour, firstServersTimeout},
	} {
		t.Run(v.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := newInterests()
				s := &delayedSubscriber{interests: i, after: v.after}
				i.subscriber = s
				i.Observe(waxwingseam.SetAdopted{Set: &waxwingseam.Set{Services: []waxwingseam.Service{{Name: "fees"}}}}, nil)
				handler := i.WaitForServers(http.NotFoundHandler())
				call := func(path string) time.Duration {
					start := time.Now()
					handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(t.Context(), http.MethodGet, path, nil))
					return time.Since(start)
				}
				qt.Assert(t, call("/nosuch/1"), qt.Equals, time.Duration(0))
				qt.Assert(t, call("/fees/1"), qt.Equals, v.want)
				qt.Assert(t, call("/fees/1"), qt.Equals, time.Duration(0))
				qt.Assert(t, s.requested, qt.DeepEquals, []waxwingseam.ServiceName{"fees"})
			})
		})
	}
}
