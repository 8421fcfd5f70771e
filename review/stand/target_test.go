//go:build review

package stand

import (
	"net/http"
	"time"
)

func init() { plays["target"] = playTarget }

// playTarget sends requests for documents whose names contain an encoded slash. The routes send
// /read/ to the service alpha and /read/staff/ to beta.
func playTarget(record *recorder, trouble bool) (bool, error) {
	routes := append([]routeRow{{"staff", "/read/staff/", "safe", "beta", "6000ms", 2}}, standardRoutes...)
	in, err := installWith(record, []string{"alpha", "alpha", "beta"}, routes, nil)
	if err != nil {
		return false, err
	}
	defer in.end()
	names := []string{"staff%2F2024-list", "staff%2Flist;v=2", "a%2Fb", "a%20b"}
	if trouble {
		// Browsers send | in a path as it is (WHATWG URL, path percent-encode set).
		names = []string{"staff%2F2024|list", "staff%2Flist|v=2", "a%2Fb|c", "a|b"}
	}
	broken := 0
	for _, name := range names {
		id, target := newID(""), "/read/"+name
		in.side[0].request(http.MethodGet, target, id, 5*time.Second, "", "")
		for _, b := range in.backends {
			for _, r := range b.arrivals() {
				if r.id != id {
					continue
				}
				if b.service != "alpha" {
					broken++
					record.printf("check: %s goes to alpha and was run by %s", target, b.service)
				}
				if r.target != target {
					record.printf("check: %s was run as %s", target, r.target)
				}
			}
		}
	}
	return broken > 0, nil
}
