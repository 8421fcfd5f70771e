package meter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"waxwingseam.example/waxwingseam"
)

// openCall is an unanswered call. Its class is unknown until the first attempt.
type openCall struct {
	service waxwingseam.ServiceName
	class   waxwingseam.ClassName
	arrived time.Time
}

// callMetrics holds the metrics of calls at their sending node.
type callMetrics struct {
	open     map[waxwingseam.CallID]openCall
	services map[waxwingseam.ServiceName]bool

	replies     *prometheus.CounterVec
	callTime    *prometheus.HistogramVec
	attempts    *prometheus.CounterVec
	retries     *prometheus.CounterVec
	allowance   *prometheus.CounterVec
	fences      prometheus.Counter
	resumes     prometheus.Counter
	badRequests *prometheus.CounterVec
	unserved    prometheus.Counter
	departures  prometheus.Counter
}

func newCallMetrics() callMetrics {
	return callMetrics{
		open:        map[waxwingseam.CallID]openCall{},
		services:    map[waxwingseam.ServiceName]bool{},
		replies:     newCounter("waxwingseam_calls_total", "Calls answered by this node.", labelService, labelClass, labelOutcome, labelReason),
		callTime:    newHistogram("waxwingseam_call_seconds", "Time from a call's arrival to its answer.", labelService, labelOutcome),
		attempts:    newCounter("waxwingseam_attempts_total", "Attempts sent to other nodes.", labelService),
		retries:     newCounter("waxwingseam_retries_total", "Attempts after the first of a call.", labelService),
		allowance:   newCounter("waxwingseam_retry_allowance_sent_total", "Retry allowance that went along with attempts.", labelService),
		fences:      prometheus.NewCounter(prometheus.CounterOpts{Name: "waxwingseam_fences_total", Help: "Fences asked of receiving nodes."}),
		badRequests: newCounter("waxwingseam_bad_requests_total", "Requests that could not become a call.", labelReason),
		unserved:    prometheus.NewCounter(prometheus.CounterOpts{Name: "waxwingseam_requests_unserved_total", Help: "Requests that were read behind one whose answer closed the connection, and not handled."}),
		departures:  prometheus.NewCounter(prometheus.CounterOpts{Name: "waxwingseam_departures_total", Help: "Callers that left before their answer."}),
		resumes:     prometheus.NewCounter(prometheus.CounterOpts{Name: "waxwingseam_resumes_total", Help: "Attempts resumed over a fresh connection."}),
	}
}

func (m *callMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.replies, m.callTime, m.attempts, m.retries, m.allowance, m.fences, m.resumes, m.badRequests, m.unserved, m.departures}
}

func (m *callMetrics) setServices(s *waxwingseam.Set) {
	clear(m.services)
	for _, v := range s.Services {
		m.services[v.Name] = true
	}
}

func (m *callMetrics) arrived(e waxwingseam.Event) {
	v, ok := e.(waxwingseam.CallArrived)
	if !ok {
		return
	}
	service := v.Service
	if !m.services[service] {
		service = unknownName
	}
	m.open[v.ID] = openCall{
		service: service,
		class:   unknownName,
		arrived: v.Now,
	}
}

func (m *callMetrics) left(waxwingseam.Event) {
	m.departures.Inc()
}

func (m *callMetrics) dispatched(_ time.Time, e waxwingseam.Effect) {
	v, ok := e.(waxwingseam.Dispatch)
	if !ok {
		return
	}
	service := string(v.Call.Service)
	m.attempts.WithLabelValues(service).Inc()
	m.allowance.WithLabelValues(service).Add(float64(v.Call.Allowance))
	if v.Attempt > 1 {
		m.retries.WithLabelValues(service).Inc()
	}
	if open, known := m.open[v.Call.ID]; known {
		open.class = v.Call.Class
		m.open[v.Call.ID] = open
	}
}

func (m *callMetrics) replied(now time.Time, e waxwingseam.Effect) {
	v, ok := e.(waxwingseam.Reply)
	if !ok {
		return
	}
	open, known := m.open[v.ID]
	if !known {
		return
	}
	delete(m.open, v.ID)
	outcome := v.Result.Outcome.String()
	m.replies.WithLabelValues(string(open.service), string(open.class), outcome, string(v.Result.Reason)).Inc()
	m.callTime.WithLabelValues(string(open.service), outcome).Observe(now.Sub(open.arrived).Seconds())
}

func (m *callMetrics) fenced(time.Time, waxwingseam.Effect) {
	m.fences.Inc()
}

func (m *callMetrics) resumed(time.Time, waxwingseam.Effect) {
	m.resumes.Inc()
}
