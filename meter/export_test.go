package meter

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"
)

// Names lists the names of the project's own metrics.
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

// fullName reads the name out of a description's text.
func fullName(description string) string {
	_, rest, _ := strings.Cut(description, `fqName: "`)
	name, _, _ := strings.Cut(rest, `"`)
	return name
}
