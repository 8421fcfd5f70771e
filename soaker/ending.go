package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// endText is in the path of requests that end their servers. endingDesk is such a
	// request, and endingLedger one whose call ends the servers of the ledger.
	endText      = "ends-its-server"
	endingDesk   = prefixRepeatable + endText
	endingLedger = prefixRepeatable + "calls-the-ledger-to-its-end"
	// endDelay passes from the arrival of such a request to the end, and downTime from
	// there to the restart.
	endDelay = 30 * time.Millisecond
	downTime = 700 * time.Millisecond
	// endingPause is the mean time between two of these requests.
	endingPause = 150 * time.Millisecond
	// learningTime is the time after the third end within which nodes that are not
	// disturbed must know the request, and toleratedArrivals how often it may reach
	// servers after that.
	learningTime      = 3 * time.Second
	toleratedArrivals = 3
)

// endings are the requests that end servers of each service.
var endings = map[waxwingseam.ServiceName]string{serviceDesk: endingDesk, serviceLedger: endingLedger}

// sendEndings sends one of these requests again and again, to all desk nodes. Its caller leaves
// at once, later or not at all.
func (d *deployment) sendEndings(ctx context.Context) {
	var group sync.WaitGroup
	for n, path := range []string{endingDesk, endingLedger} {
		group.Go(func() {
			random := rand.New(rand.NewPCG(d.config.Seed, uint64(1000+n)))
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: callTimeout}
			defer client.CloseIdleConnections()
			for ctx.Err() == nil {
				stay := callTimeout
				if random.IntN(3) == 0 {
					stay = time.Duration(random.Int64N(int64(2 * endDelay)))
				}
				d.sendEnding(client, d.hosts[random.IntN(d.config.ServersPerService)], path, stay)
				select {
				case <-ctx.Done():
				case <-time.After(time.Duration(random.ExpFloat64() * float64(endingPause))):
				}
			}
		})
	}
	group.Wait()
}

func (d *deployment) sendEnding(client *http.Client, h *host, path string, stay time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), stay)
	defer cancel()
	url := fmt.Sprintf("http://%s/%s%s", h.entryAddress, serviceDesk, path)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return
	}
	setKey(r.Header, d.accounts.key(accountOpen))
	response, err := client.Do(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// endingArrival is the arrival of a request that ends its server.
type endingArrival struct {
	host *host
	at   time.Time
}

// endingEvidence is what the servers of one service saw of a request that ends them.
type endingEvidence struct {
	ends     []time.Time
	arrivals []endingArrival
}

// endings returns the evidence of each service.
func (d *deployment) endings() map[waxwingseam.ServiceName]endingEvidence {
	out := map[waxwingseam.ServiceName]endingEvidence{}
	for _, h := range d.hosts {
		e := out[h.service]
		e.ends = append(e.ends, h.server.EndTimes()...)
		for _, r := range h.server.Ledger().Runs() {
			if strings.Contains(r.Path, "/"+endText) {
				e.arrivals = append(e.arrivals, endingArrival{h, r.Began})
			}
		}
		out[h.service] = e
	}
	return out
}

// endsFewServers checks that a request that has ended three servers reaches at most
// toleratedArrivals more from learningTime after the third end on. Arrivals at nodes that
// were disturbed within learningTime before do not count.
func endsFewServers(e evidence) []string {
	var violations []string
	for service := range endings {
		v := e.endings[service]
		slices.SortFunc(v.ends, time.Time.Compare)
		if len(v.ends) < 3 {
			continue
		}
		third := v.ends[2]
		late := 0
		for _, a := range v.arrivals {
			if a.at.Sub(third) > learningTime && a.host.undisturbed(interval{a.at.Add(-learningTime), a.at}) {
				late++
			}
		}
		if late > toleratedArrivals {
			violations = append(violations, fmt.Sprintf("a request that had ended three servers of %s reached %d more later than %v after that; %d ended in all",
				service, late, learningTime, len(v.ends)))
		}
	}
	slices.Sort(violations)
	return violations
}

// undisturbed reports whether the node was neither stopping nor disturbed.
func (h *host) undisturbed(i interval) bool {
	stopping, disturbed, _ := h.intervals()
	return !anyOverlaps(stopping, i) && !anyOverlaps(disturbed, i)
}
