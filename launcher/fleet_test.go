package launcher_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam/imitator"
	"waxwingseam.example/waxwingseam/launcher"
)

// objects is a set with one service, whose calls must not run twice.
const objects = `
[service echo]
slots = 64
connections = 128
[retry-limit careful]
allowance = 3
budget-percent = 100
did-not-run-only = true
[wait-limit usual]
wait = 5s
waiting = 500
[request-class echoes]
service = echo
path = /{rest...}
importance = 5
repeat = never
deadline = 20s
retry-limit = careful
wait-limit = usual
`

// callCount is the number of calls that a test sends at once.
const callCount = 120

// startFleet starts three echo servers with their nodes. They stop when the test
// ends.
func startFleet(t *testing.T) *launcher.Fleet {
	ctx, cancel := context.WithCancel(context.Background())
	fleet, err := launcher.Start(ctx, launcher.Config{
		Objects:   []byte(objects),
		Services:  []launcher.Service{{Name: "echo", Servers: 3, Slots: 64, ServiceTime: 30 * time.Millisecond}},
		Folder:    t.TempDir(),
		WithLayer: true,
		Record:    true,
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		cancel()
		qt.Check(t, fleet.Wait(), qt.IsNil)
	})
	return fleet
}

// outcomes holds the results that callers received, counted and by tag.
type outcomes struct {
	mu     sync.Mutex
	counts map[string]int
	byTag  map[string]string
}

// send sends all calls through the first node. It calls disturb as soon as more than
// a third of them have ended.
func send(t *testing.T, fleet *launcher.Fleet, disturb func()) *outcomes {
	received := &outcomes{counts: map[string]int{}, byTag: map[string]string{}}
	var wait sync.WaitGroup
	var once sync.Once
	for n := range callCount {
		wait.Go(func() {
			tag := fmt.Sprintf("call-%d", n)
			outcome := call(fleet, tag)
			received.mu.Lock()
			defer received.mu.Unlock()
			received.counts[outcome]++
			received.byTag[tag] = outcome
			if len(received.byTag) > callCount/3 {
				once.Do(disturb)
			}
		})
	}
	wait.Wait()
	qt.Assert(t, received.byTag, qt.HasLen, callCount)
	return received
}

// call sends one call and returns its outcome, or a text that describes what
// went wrong.
func call(fleet *launcher.Fleet, tag string) string {
	url := "http://" + fleet.StandIns[0].Entry.String() + "/echo/" + tag
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, nil)
	if err != nil {
		return err.Error()
	}
	request.Header.Set(imitator.TagHeader, tag)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "interrupted body"
	}
	if !bytes.Contains(body, []byte(`"tag":"`+tag+`"`)) && response.StatusCode == http.StatusOK {
		return "the answer is for another call"
	}
	return response.Header.Get("Waxwingseam-Outcome")
}

// audit checks the guarantees against the event logs and the runs.
func audit(t *testing.T, fleet *launcher.Fleet) {
	findings, err := fleet.Audit(nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, findings, qt.IsNil)
}

// TestGracefulShutdownCompletesAllCalls checks that every call completes although a
// node stops under load. The calls enter through another node.
func TestGracefulShutdownCompletesAllCalls(t *testing.T) {
	fleet := startFleet(t)
	got := send(t, fleet, func() { fleet.StandIns[1].Stop() })
	qt.Assert(t, got.counts, qt.DeepEquals, map[string]int{"completed": callCount})
	audit(t, fleet)
}

// TestKilledNodeOutcomesMatchRuns kills a node under load. It checks that no call
// runs twice, and that no call with the outcome did-not-run has run.
func TestKilledNodeOutcomesMatchRuns(t *testing.T) {
	fleet := startFleet(t)
	got := send(t, fleet, func() { fleet.StandIns[1].Kill() })
	qt.Check(t, got.counts["completed"] > callCount/2, qt.IsTrue, qt.Commentf("%v", got.counts))
	qt.Check(t, got.counts["completed"]+got.counts["may-have-run"]+got.counts["did-not-run"], qt.Equals, callCount, qt.Commentf("%v", got.counts))
	runs := map[string]int{}
	for _, s := range fleet.StandIns {
		for _, v := range s.Ledger().Runs() {
			runs[v.Tag]++
		}
	}
	var violations error
	for tag, n := range runs {
		if n > 1 || got.byTag[tag] == "did-not-run" {
			violations = errors.Join(violations, fmt.Errorf("%s ran %d times, outcome %s", tag, n, got.byTag[tag]))
		}
	}
	qt.Assert(t, violations, qt.IsNil)
	audit(t, fleet)
}
