//go:build review

package stand

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { plays["term-twice"] = playTermTwice }

// playTermTwice stops a node by two SIGTERMs while it carries requests.
func playTermTwice(record *recorder, trouble bool) (bool, error) {
	in, err := install(record, []string{"alpha", "alpha", "beta"}, workFor(2500*time.Millisecond))
	if err != nil {
		return false, err
	}
	defer in.end()
	var wg sync.WaitGroup
	answers := make([]answer, 12)
	ids := make([]string, len(answers))
	for i := range answers {
		ids[i] = newID("")
		wg.Go(func() { answers[i] = in.side[2].request(http.MethodPost, "/write/1", ids[i], 6*time.Second, "", "x") })
	}
	time.Sleep(500 * time.Millisecond)
	in.side[2].signal(syscall.SIGTERM)
	if trouble {
		time.Sleep(500 * time.Millisecond)
		in.side[2].signal(syscall.SIGTERM)
	}
	wg.Wait()
	lost := 0
	for i, a := range answers {
		if a.status == 0 || a.err != nil {
			lost++
			record.printf("check: %s was passed on %d times and ended without an answer", ids[i], len(in.runsOf(ids[i])))
		}
	}
	return lost > 0, nil
}
