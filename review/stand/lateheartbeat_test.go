//go:build review

package stand

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

func init() { plays["late-heartbeat"] = playLateHeartbeat }

// drainBound is the drain of the installation, stableWindow its bound of the same name.
const (
	drainBound   = 2 * time.Second
	stableWindow = 3 * time.Second
)

// playLateHeartbeat kills a node whose backend has said that it leaves. A heartbeat that the
// backend sent before arrives after the restart of the node.
func playLateHeartbeat(record *recorder, trouble bool) (bool, error) {
	// One of ten machines is killed, with those of the control role.
	in, err := install(record, []string{"alpha", "alpha", "beta", "beta", "beta"}, workFor(time.Second))
	if err != nil {
		return false, err
	}
	defer in.end()
	l := startLoad(in.side[1:])
	time.Sleep(2 * time.Second)
	b := in.backends[0]
	close(b.quit)
	late := b.beat("ready")
	gone, err := json.Marshal(map[string]any{"born": b.born})
	if err != nil {
		return false, err
	}
	if b.send(http.MethodDelete, gone) != http.StatusOK {
		return false, errors.New("the notice was not acknowledged")
	}
	acknowledged := time.Now()
	restarted := acknowledged
	if trouble {
		time.Sleep(300 * time.Millisecond)
		in.side[0].kill()
		time.Sleep(500 * time.Millisecond)
		if err := in.side[0].start(); err != nil {
			return false, err
		}
		restarted = time.Now()
		time.Sleep(1200 * time.Millisecond)
		b.send(http.MethodPut, late)
	}
	time.Sleep(time.Until(acknowledged.Add(8 * time.Second)))
	b.end()
	time.Sleep(time.Second)
	list := l.end()
	count := 0
	for _, r := range b.arrivals() {
		if r.at.After(acknowledged.Add(drainBound)) && r.at.After(restarted.Add(stableWindow)) {
			count++
		}
	}
	record.printf("check: %d requests reached the backend later than %v after the acknowledgement, %v or more after the node's start", count, drainBound, stableWindow)
	record.printf("check: %d requests ran there and were lost as it ended", countLost(b, list))
	return count > 0, nil
}
