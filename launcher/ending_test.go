package launcher_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam/launcher"
)

// lookups is a set with one service, whose calls may be repeated.
const lookups = `
[service echo]
slots = 64
connections = 128
[retry-limit usual]
allowance = 2
budget-percent = 100
[wait-limit usual]
wait = 250ms
waiting = 60
[request-class echoes]
service = echo
path = /{rest...}
importance = 5
repeat = idempotent
deadline = 2s
retry-limit = usual
wait-limit = usual
`

const (
	// endText marks the requests that end their servers.
	endText = "ends-its-server"
	// endingServers is the number of servers of the fleet, in three data centres.
	endingServers = 6
	// toleratedArrivals is how often a request may reach servers after it has ended three
	// of them and all nodes had the time to learn of it.
	toleratedArrivals = 3
	// learningTime is that time.
	learningTime = 3 * time.Second
)

// startEndingFleet starts servers that end of a request with endText.
func startEndingFleet(t *testing.T, serviceTime time.Duration) *launcher.Fleet {
	ctx, cancel := context.WithCancel(context.Background())
	fleet, err := launcher.Start(ctx, launcher.Config{
		Objects: []byte(lookups),
		Services: []launcher.Service{{
			Name: "echo", Servers: endingServers, Slots: 64, ServiceTime: serviceTime,
			EndText: endText, EndDelay: 30 * time.Millisecond, DownTime: 300 * time.Millisecond,
		}},
		Folder:    t.TempDir(),
		WithLayer: true,
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		cancel()
		qt.Check(t, fleet.Wait(), qt.IsNil)
	})
	return fleet
}

// fleetEnds returns how often servers have ended, and how many requests that end servers
// have arrived there.
func fleetEnds(fleet *launcher.Fleet) (ends, arrivals int) {
	for _, s := range fleet.StandIns {
		e, a := s.Ends()
		ends, arrivals = ends+e, arrivals+a
	}
	return ends, arrivals
}

// request sends one request to the n-th node, and returns the status; 0 without an answer.
func request(fleet *launcher.Fleet, n int, method, path, body string) int {
	url := "http://" + fleet.StandIns[n%len(fleet.StandIns)].Entry.String() + "/echo/" + path
	var reader io.Reader
	if body != "" {
		// A reader of unknown length makes the client send chunks.
		reader = strings.NewReader(body)
		if n%2 == 1 {
			reader = io.MultiReader(reader)
		}
	}
	r, err := http.NewRequestWithContext(context.Background(), method, url, reader)
	if err != nil {
		return 0
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// TestRequestThatEndsServersComesAgain resends a request that ends each server that runs it,
// at all nodes in turn. It must not reach servers any more once it has ended three.
func TestRequestThatEndsServersComesAgain(t *testing.T) {
	for _, v := range []struct{ name, method, path, body string }{
		{"the path tells", http.MethodGet, endText, ""},
		{"the body alone tells", http.MethodPost, "uploads", endText},
	} {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			fleet := startEndingFleet(t, 5*time.Millisecond)
			for n := range 4 * endingServers {
				qt.Assert(t, request(fleet, n, http.MethodGet, "harmless", ""), qt.Equals, http.StatusOK)
			}
			const sends = 60
			var third time.Time
			late := 0
			for n := range sends {
				_, before := fleetEnds(fleet)
				request(fleet, n, v.method, v.path, v.body)
				ends, after := fleetEnds(fleet)
				if !third.IsZero() && time.Since(third) > learningTime {
					late += after - before
				}
				if third.IsZero() && ends >= 3 {
					third = time.Now()
				}
				time.Sleep(100 * time.Millisecond)
			}
			qt.Assert(t, third.IsZero(), qt.IsFalse)
			qt.Assert(t, late <= toleratedArrivals, qt.IsTrue, qt.Commentf("%d late arrivals", late))
		})
	}
}

// TestPopularRequestIsBlamedForEnds has servers end for other reasons while a popular
// request runs at most of them. The request must go on to be served.
func TestPopularRequestIsBlamedForEnds(t *testing.T) {
	t.Parallel()
	const callers, each = 8, 12
	fleet := startEndingFleet(t, 150*time.Millisecond)
	var mu sync.Mutex
	statuses := map[int]int{}
	var wait sync.WaitGroup
	for n := range callers {
		wait.Go(func() {
			for i := range each {
				status := request(fleet, n+i, http.MethodGet, "popular", "")
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			}
		})
	}
	for n := range 4 {
		time.Sleep(300 * time.Millisecond)
		fleet.StandIns[n].End(300 * time.Millisecond)
	}
	wait.Wait()
	qt.Assert(t, statuses, qt.DeepEquals, map[int]int{http.StatusOK: callers * each})
}
