//go:build review

package stand

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

func init() { plays["malformed-heartbeat"] = playMalformedHeartbeat }

// playMalformedHeartbeat lets another writer send a heartbeat for a backend that drains: some
// fields are missing and one is of another type.
func playMalformedHeartbeat(record *recorder, trouble bool) (bool, error) {
	in, err := install(record, []string{"alpha", "alpha", "beta"}, workFor(time.Second))
	if err != nil {
		return false, err
	}
	defer in.end()
	l := startLoad(in.side[1:])
	time.Sleep(2 * time.Second)
	b := in.backends[0]
	close(b.quit)
	time.Sleep(100 * time.Millisecond)
	if b.send(http.MethodPut, b.beat("draining")) != http.StatusOK {
		return false, errors.New("the drain was not acknowledged")
	}
	acknowledged := time.Now()
	time.Sleep(500 * time.Millisecond)
	if trouble {
		// version, slots and coldRemaining are missing, zone is a number.
		malformed, err := json.Marshal(map[string]any{
			"service": b.service, "address": b.m.app(), "zone": 7, "state": "ready", "seq": b.seq + 100, "born": b.born,
		})
		if err != nil {
			return false, err
		}
		b.send(http.MethodPut, malformed)
	}
	for range 3 {
		time.Sleep(heartbeatPeriod)
		b.send(http.MethodPut, b.beat("draining"))
	}
	time.Sleep(time.Until(acknowledged.Add(6 * time.Second)))
	b.end()
	time.Sleep(time.Second)
	list := l.end()
	count := 0
	for _, r := range b.arrivals() {
		if r.at.After(acknowledged.Add(drainBound)) {
			count++
		}
	}
	record.printf("check: %d requests reached the backend later than %v after the acknowledgement", count, drainBound)
	record.printf("check: %d requests ran there and were lost as it ended", countLost(b, list))
	return count > 0, nil
}
