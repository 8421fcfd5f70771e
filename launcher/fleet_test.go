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

// objects is a set with one service, whose calls may not be repeated.
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

// calls is how many calls a test sends at once.
const calls = 120

// start starts three echo servers with their nodes until the test ends.
func start(t *testing.T) *launcher.Fleet {
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

// answers counts what callers were told.
type answers struct {
	mu    sync.Mutex
	count map[string]int
	runs  map[string]string
}

// send sends all calls through the first node, and does something once a
// third of them has been answered.
func send(t *testing.T, fleet *launcher.Fleet, after func()) *answers {
	a := &answers{count: map[string]int{}, runs: map[string]string{}}
	var wait sync.WaitGroup
	var once sync.Once
	for n := range calls {
		wait.Go(func() {
			tag := fmt.Sprintf("call-%d", n)
			told := call(fleet, tag)
			a.mu.Lock()
			defer a.mu.Unlock()
			a.count[told]++
			a.runs[tag] = told
			if len(a.runs) > calls/3 {
				once.Do(after)
			}
		})
	}
	wait.Wait()
	qt.Assert(t, a.runs, qt.HasLen, calls)
	return a
}

// call sends one call and returns its outcome, or the status of a completed
// one.
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
		return "cut off"
	}
	if !bytes.Contains(body, []byte(`"tag":"`+tag+`"`)) && response.StatusCode == http.StatusOK {
		return "another's answer"
	}
	return response.Header.Get("Waxwingseam-Outcome")
}

// audit checks the promises against the event logs and the lists of runs.
func audit(t *testing.T, fleet *launcher.Fleet) {
	findings, err := fleet.Audit(nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, findings, qt.IsNil)
}

// TestGracefulShutdownInterruptsNothing stops a node under load; every call
// is answered in full.
func TestGracefulShutdownInterruptsNothing(t *testing.T) {
	fleet := start(t)
	got := send(t, fleet, func() { fleet.StandIns[1].Stop() })
	qt.Assert(t, got.count, qt.DeepEquals, map[string]int{"completed": calls})
	audit(t, fleet)
}

// TestKilledNodeLeavesHonestAnswers kills a node under load; no call runs
// twice, and one that is said not to have run has not.
func TestKilledNodeLeavesHonestAnswers(t *testing.T) {
	fleet := start(t)
	got := send(t, fleet, func() { fleet.StandIns[1].Kill() })
	qt.Check(t, got.count["completed"] > calls/2, qt.IsTrue, qt.Commentf("%v", got.count))
	qt.Check(t, got.count["completed"]+got.count["may-have-run"]+got.count["did-not-run"], qt.Equals, calls, qt.Commentf("%v", got.count))
	runs := map[string]int{}
	for _, s := range fleet.StandIns {
		for _, v := range s.Ledger().Runs() {
			runs[v.Tag]++
		}
	}
	var doubled error
	for tag, n := range runs {
		if n > 1 || got.runs[tag] == "did-not-run" {
			doubled = errors.Join(doubled, fmt.Errorf("%s ran %d times, told %s", tag, n, got.runs[tag]))
		}
	}
	qt.Assert(t, doubled, qt.IsNil)
	audit(t, fleet)
}
