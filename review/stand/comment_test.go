//go:build review

package stand

import (
	"net/http"
	"time"
)

func init() { plays["comment"] = playComment }

// playComment sends a manifest with a route to a service that isn't in it. The name of that service
// begins like one that is, and goes on after a semicolon.
func playComment(record *recorder, trouble bool) (bool, error) {
	in, err := install(record, []string{"alpha", "alpha", "beta"}, nil)
	if err != nil {
		return false, err
	}
	defer in.end()
	unknown := "gamma"
	if trouble {
		unknown = "beta;gamma"
	}
	routes := append([]routeRow{{"staff", "/staff/", "safe", unknown, "3000ms", 1}}, standardRoutes...)
	status, err := in.put(manifest(2, 1, []string{"alpha", "beta"}, routes), 10*time.Second)
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	a := in.side[0].request(http.MethodGet, "/staff/1", newID(""), 3*time.Second, "", "")
	record.printf("check: the manifest was answered %d, a request on the route %d", status, a.status)
	return status == http.StatusOK, nil
}
