package meter

import (
	"github.com/prometheus/client_golang/prometheus"

	"waxwingseam.example/waxwingseam/charger"
)

// newRefusedClients returns the counter of refused clients.
func newRefusedClients() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "waxwingseam_clients_refused_total",
		Help: "Requests refused before they were handled, and connections closed, because of a limit on clients.",
	}, []string{labelReason})
}

// RefusedClient counts a client that was refused or closed because of a limit. The reasons
// are a fixed set.
func (m *Meter) RefusedClient(reason string) {
	m.refusedClients.WithLabelValues(reason).Inc()
}

// WatchBudget registers the metrics of the budget of memory for peers.
func (m *Meter) WatchBudget(b *charger.Budget) {
	gauge := func(name, help string, value func() int64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return float64(value()) })
	}
	m.registry.MustRegister(
		gauge("waxwingseam_held_bytes", "Estimated memory that is held for peers.", func() int64 { now, _ := b.Held(); return now }),
		gauge("waxwingseam_held_peak_bytes", "Highest estimated memory that was held for peers.", func() int64 { _, peak := b.Held(); return peak }),
		gauge("waxwingseam_held_bound_bytes", "Bound of the memory that is held for peers.", b.Bound),
	)
}

// WatchUnstoredEndings registers the number of incarnations of backend servers whose ending
// control has not stored.
func (m *Meter) WatchUnstoredEndings(count func() int) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "waxwingseam_unstored_endings",
		Help: "Incarnations of backend servers that drain or leave, of which control has not stored that.",
	}, func() float64 { return float64(count()) }))
}
