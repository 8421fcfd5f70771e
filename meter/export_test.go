package meter

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"
)

// Names returns the metric names, without those of the Go runtime and the process.
func (m *Meter) Names() []string {
	own := append([]prometheus.Collector{m.revision}, m.calls.collectors()...)
	own = append(own, m.runs.collectors()...)
	names := make([]string, 0, len(own))
	for _, c := range own {
		descriptions := make(chan *prometheus.Desc, 1)
		c.Describe(descriptions)
		names = append(names, fullName((<-descriptions).String()))
	}
	return names
}

// fullName extracts the metric name from the text of a descriptor.
func fullName(description string) string {
	_, rest, _ := strings.Cut(description, `fqName: "`)
	name, _, _ := strings.Cut(rest, `"`)
	return name
}
