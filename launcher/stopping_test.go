package launcher_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam/launcher"
)

// TestStoppingNodeKeepsConnections stops a node while it carries a call. What it refuses from
// then on must ask the caller to close the connection: a request on a kept connection could
// cross the end of the process.
func TestStoppingNodeKeepsConnections(t *testing.T) {
	t.Parallel()
	fleet := startEndingFleet(t, time.Second)
	go request(fleet, 0, http.MethodGet, "long", "")
	time.Sleep(100 * time.Millisecond)
	fleet.StandIns[0].Stop()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	refused := 0
	for refused < 3 {
		status, closes := get(t, client, fleet, "refused")
		if status != http.StatusServiceUnavailable {
			continue
		}
		refused++
		qt.Assert(t, closes, qt.IsTrue)
	}
}

// get sends a request to the first node and returns the status of the answer, and whether it
// says that the connection closes.
func get(t *testing.T, client *http.Client, fleet *launcher.Fleet, path string) (status int, closes bool) {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+fleet.StandIns[0].Entry.String()+"/echo/"+path, nil)
	qt.Assert(t, err, qt.IsNil)
	response, err := client.Do(r)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.Body.Close(), qt.IsNil)
	return response.StatusCode, response.Close
}
