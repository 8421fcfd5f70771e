//go:build review

package stand

import (
	"net/http"
	"time"
)

func init() { plays["caller"] = playCaller }

// playCaller lets clients name X-Caller-Service in their Connection header.
func playCaller(record *recorder, trouble bool) (bool, error) {
	in, err := install(record, []string{"alpha", "alpha", "beta"}, nil)
	if err != nil {
		return false, err
	}
	defer in.end()
	headers := "X-Caller-Service: beta\r\n"
	if trouble {
		headers += "Connection: close, X-Caller-Service\r\n"
	}
	broken := 0
	for i := range 20 {
		id := newID("")
		a := in.side[i%2].request(http.MethodPost, "/write/1", id, 5*time.Second, headers, "x")
		for _, r := range in.runsOf(id) {
			if r.caller != "alpha" {
				broken++
				record.printf("check: %s ran for the caller %q, want %q", id, r.caller, "alpha")
			}
		}
		if a.status != http.StatusOK {
			record.printf("check: %s was not served", id)
		}
	}
	return broken > 0, nil
}
