//go:build review3

package standins3

import (
	"encoding/json"
	"fmt"
)

// route is one row of the table of routes.
type route struct {
	name, host, prefix, kind, timeout string
	service                           string
	attempts                          int
}

// manifest returns a manifest in the form that operators send.
func manifest(version, base int, services []string, routes []route) []byte {
	routeRows := [][]any{}
	for _, r := range routes {
		routeRows = append(routeRows, []any{r.name, r.host, r.prefix, r.kind, r.timeout, "1500ms", 1, nil, r.attempts, r.service})
	}
	serviceRows := [][]any{}
	for _, s := range services {
		serviceRows = append(serviceRows, []any{s, "/health", 976, "h1", false})
	}
	data, err := json.Marshal(map[string]any{
		"version":     fmt.Sprintf("r%d", version),
		"baseVersion": fmt.Sprintf("r%d", base),
		"routes": map[string]any{
			"columns": []string{"name", "hostname", "pathPrefix", "routeType", "timeout", "targetLatency", "priority", "weightedClusters", "maxAttempts", "service"},
			"rows":    routeRows,
		},
		"services": map[string]any{
			"columns": []string{"name", "healthCheckPath", "maxConnections", "protocol", "tls"},
			"rows":    serviceRows,
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	})
	if err != nil {
		panic(err)
	}
	return data
}
