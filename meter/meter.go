// Package meter provides the Prometheus metrics of a node, which it derives from
// the events and effects of the reducer.
package meter

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/accountant"
)

// The metric labels. The values of service and class come from the configuration
// in force, or are unknownName; outcomes and reasons are fixed sets.
const (
	labelService = "service"
	labelClass   = "class"
	labelOutcome = "outcome"
	labelReason  = "reason"
	labelFate    = "fate"
)

// unknownName is the label value of an unknown service or class.
const unknownName = "unknown"

const (
	// histogramBucketFactor bounds the growth factor from one native histogram
	// bucket to the next.
	histogramBucketFactor = 1.1
	// maxHistogramBuckets bounds the number of native histogram buckets.
	maxHistogramBuckets = 100
)

// Meter holds the metrics of one process.
type Meter struct {
	registry       *prometheus.Registry
	calls          callMetrics
	runs           runMetrics
	accounts       accountMetrics
	revision       prometheus.Gauge
	refusedClients *prometheus.CounterVec
	accountant     *accountant.Accountant
	eventHandlers  map[waxwingseam.Kind]func(e waxwingseam.Event)
	effectHandlers map[waxwingseam.Kind]func(now time.Time, e waxwingseam.Effect)
}

// New returns a Meter with its own registry.
func New() *Meter {
	m := &Meter{
		registry: prometheus.NewRegistry(),
		calls:    newCallMetrics(),
		runs:     newRunMetrics(),
		accounts: newAccountMetrics(),
		revision: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "waxwingseam_configuration_revision",
			Help: "Revision of the configuration in force.",
		}),
	}
	m.registry.MustRegister(collectors.NewGoCollector(collectors.WithGoCollectorRuntimeMetrics(collectors.MetricsScheduler)), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.refusedClients = newRefusedClients()
	m.registry.MustRegister(m.revision, m.refusedClients)
	m.registry.MustRegister(m.calls.collectors()...)
	m.registry.MustRegister(m.runs.collectors()...)
	m.registry.MustRegister(m.accounts.roots)
	m.accountant = accountant.New(accountant.Config{Spend: m.runs.spent, Idle: m.runs.idled, Cancelled: m.runs.cancelledRun})
	m.eventHandlers = map[waxwingseam.Kind]func(waxwingseam.Event){
		waxwingseam.KindCallArrived:      m.calls.arrived,
		waxwingseam.KindCallerLeft:       m.calls.left,
		waxwingseam.KindAttemptArrived:   m.runs.arrived,
		waxwingseam.KindRunEnded:         m.runs.ended,
		waxwingseam.KindAttemptCancelled: m.runs.cancelled,
		waxwingseam.KindSetAdopted:       m.adopted,
	}
	m.effectHandlers = map[waxwingseam.Kind]func(time.Time, waxwingseam.Effect){
		waxwingseam.KindDispatch:      m.calls.dispatched,
		waxwingseam.KindReply:         m.replied,
		waxwingseam.KindFence:         m.calls.fenced,
		waxwingseam.KindResume:        m.calls.resumed,
		waxwingseam.KindRun:           m.runs.started,
		waxwingseam.KindAnswerAttempt: m.runs.answered,
		waxwingseam.KindJoinRun:       m.runs.joined,

		waxwingseam.KindStatementChanged: m.runs.stated,

		waxwingseam.KindServerAdmitted: m.runs.admitted,
		waxwingseam.KindServerKeptOut:  m.runs.serverKeptOut,
		waxwingseam.KindEndingsAdded:   m.runs.endingsLearned,

		waxwingseam.KindBackendEnded:      m.runs.backendEnded,
		waxwingseam.KindQuarantineChanged: m.runs.quarantineChanged,
	}
	return m
}

// Registry returns the registry, so that other packages can add collectors to it.
func (m *Meter) Registry() *prometheus.Registry {
	return m.registry
}

// Handler returns a handler that serves the metrics in the Prometheus formats.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{Registry: m.registry})
}

// BadRequest counts a request that could not become a call. It may be called
// from any goroutine.
func (m *Meter) BadRequest(reason waxwingseam.Reason) {
	m.calls.badRequests.WithLabelValues(string(reason)).Inc()
}

// Unserved counts a request that was read but not handled, because the answer to an
// earlier one closed the connection. It may be called from any goroutine.
func (m *Meter) Unserved() {
	m.calls.unserved.Inc()
}

// Observe implements runner.Observer.
func (m *Meter) Observe(e waxwingseam.Event, effects []waxwingseam.Effect) {
	if handle, ok := m.eventHandlers[e.Kind()]; ok {
		handle(e)
	}
	m.accountant.Observe(e, effects)
	now := e.Stamped().Now
	for _, v := range effects {
		if handle, ok := m.effectHandlers[v.Kind()]; ok {
			handle(now, v)
		}
	}
}

func (m *Meter) replied(now time.Time, e waxwingseam.Effect) {
	m.calls.replied(now, e)
	if v, ok := e.(waxwingseam.Reply); ok {
		m.accounts.replied(now, v)
	}
}

func (m *Meter) adopted(e waxwingseam.Event) {
	v, ok := e.(waxwingseam.SetAdopted)
	if !ok {
		return
	}
	m.revision.Set(float64(v.Set.Revision))
	m.calls.setServices(v.Set)
	m.runs.setClasses(v.Set)
}

func newHistogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:                           name,
		Help:                           help,
		Buckets:                        prometheus.ExponentialBuckets(0.0005, 2, 16),
		NativeHistogramBucketFactor:    histogramBucketFactor,
		NativeHistogramMaxBucketNumber: maxHistogramBuckets,
	}, labels)
}

func newCounter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
}
