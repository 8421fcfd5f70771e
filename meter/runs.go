package meter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/accountant"
)

// runMetrics holds the metrics of attempts and runs at their receiving node.
type runMetrics struct {
	queuedSince map[waxwingseam.CallID]time.Time

	answers *prometheus.CounterVec
	joins   prometheus.Counter
	// arrivalTime is the time from the receipt of an attempt to its reduction.
	arrivalTime *prometheus.HistogramVec
	// openingAge is the time from the sending of an attempt, on the sender's clock, to
	// its reduction.
	openingAge *prometheus.HistogramVec
	queueTime  *prometheus.HistogramVec
	runTime    *prometheus.HistogramVec
	inFlight   prometheus.Gauge
	queued     prometheus.Gauge
	limit      prometheus.Gauge
	rootLimit  prometheus.Gauge
	shedding   prometheus.Gauge
	leaving    prometheus.Gauge
	handOvers  prometheus.Counter
	// rateLimit is -1 without a limit.
	rateLimit prometheus.Gauge
	// statedLeaving is 1 while the backend server says in its answers that it is
	// leaving.
	statedLeaving prometheus.Gauge

	// cancelDelay is the time from a hand-over to its cancellation, and stopTime the time
	// from there to the end of the run.
	cancelDelay   *prometheus.HistogramVec
	stopTime      *prometheus.HistogramVec
	cancellations prometheus.Counter

	backendEnds prometheus.Counter
	// admissions counts by basis how a started node came to use its backend server, keptOut
	// the ready reports of ended incarnations, and endingsAdded the endings that the node
	// learned from others.
	admissions   *prometheus.CounterVec
	keptOut      prometheus.Counter
	endingsAdded prometheus.Counter
	quarantined  prometheus.Gauge

	classes      map[waxwingseam.ClassName]bool
	slotTime     *prometheus.CounterVec
	idleSlotTime prometheus.Counter
}

// noRateLimit is the value of the rate limit's gauge without a limit.
const noRateLimit = -1

func newRunMetrics() runMetrics {
	m := runMetrics{
		queuedSince: map[waxwingseam.CallID]time.Time{},
		answers:     newCounter("waxwingseam_attempt_answers_total", "Attempts answered by this node for its backend server.", labelOutcome, labelReason),
		joins:       prometheus.NewCounter(prometheus.CounterOpts{Name: "waxwingseam_joined_attempts_total", Help: "Attempts that joined a run or collected its kept reply."}),
		arrivalTime: newHistogram("waxwingseam_arrival_seconds", "Time from the receipt of an attempt to the decision on it."),
		openingAge:  newHistogram("waxwingseam_opening_age_seconds", "Time from the sending of an attempt, on the sender's clock, to the decision on it."),
		queueTime:   newHistogram("waxwingseam_queue_seconds", "Time in the queue before a run."),
		runTime:     newHistogram("waxwingseam_run_seconds", "Time of a run at the backend server.", labelOutcome),
		inFlight:    newGauge("waxwingseam_in_flight", "Runs at the backend server."),
		queued:      newGauge("waxwingseam_queued", "Calls in the queue."),
		limit:       newGauge("waxwingseam_concurrency_limit", "Concurrency limit in force."),
		rootLimit:   newGauge("waxwingseam_root_limit", "Limit on running roots in force."),
		shedding:    newGauge("waxwingseam_shedding", "1 while calls are refused for overload."),
		leaving:     newGauge("waxwingseam_leaving", "1 while no new work is taken."),
		handOvers:   prometheus.NewCounter(prometheus.CounterOpts{Name: "waxwingseam_hand_overs_total", Help: "Runs handed to the backend server."}),
		rateLimit:   newGauge("waxwingseam_rate_limit", "Rate limit that the backend server names, in requests per second; -1 without one."),

		statedLeaving: newGauge("waxwingseam_stated_leaving", "1 while the backend server says in its answers that it is leaving."),

		cancelDelay:   newHistogram("waxwingseam_cancel_delay_seconds", "Time from the hand-over of a run to its cancellation."),
		stopTime:      newHistogram("waxwingseam_cancelled_run_seconds", "Time from the cancellation of a run to its end."),
		cancellations: prometheus.NewCounter(prometheus.CounterOpts{Name: "waxwingseam_attempt_cancellations_total", Help: "Cancellations received from senders of attempts."}),

		admissions:   newCounter("waxwingseam_backend_server_admissions_total", "Starts of the node after which it used its backend server, by basis.", "basis"),
		keptOut:      prometheus.NewCounter(prometheus.CounterOpts{Name: "waxwingseam_backend_server_kept_out_total", Help: "Ready reports of an incarnation of the backend server that has drained or left."}),
		endingsAdded: prometheus.NewCounter(prometheus.CounterOpts{Name: "waxwingseam_backend_server_endings_added_total", Help: "Endings of the backend server that the node learned from control or other nodes."}),

		backendEnds: prometheus.NewCounter(prometheus.CounterOpts{Name: "waxwingseam_backend_server_ends_total", Help: "Ends of the backend server that were not planned."}),
		quarantined: newGauge("waxwingseam_quarantined_requests", "Requests that are refused, or on trial, as they have ended backend servers."),

		classes:      map[waxwingseam.ClassName]bool{},
		slotTime:     newCounter("waxwingseam_slot_seconds_total", "Time for which runs held slots of the backend server, by what became of them.", labelClass, labelFate),
		idleSlotTime: prometheus.NewCounter(prometheus.CounterOpts{Name: "waxwingseam_idle_slot_seconds_total", Help: "Time for which slots of the backend server stood idle while the node refused calls that could have used them."}),
	}
	m.rateLimit.Set(noRateLimit)
	return m
}

func (m *runMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.answers, m.joins, m.arrivalTime, m.queueTime, m.runTime, m.inFlight, m.queued, m.limit, m.rootLimit, m.shedding, m.leaving, m.handOvers, m.rateLimit, m.statedLeaving, m.slotTime, m.idleSlotTime, m.openingAge, m.cancelDelay, m.stopTime, m.cancellations, m.backendEnds, m.quarantined, m.admissions, m.keptOut, m.endingsAdded}
}

func (m *runMetrics) arrived(e waxwingseam.Event) {
	v, ok := e.(waxwingseam.AttemptArrived)
	if !ok {
		return
	}
	m.queuedSince[v.Call.ID] = v.Now
	if !v.Received.IsZero() {
		m.arrivalTime.WithLabelValues().Observe(v.Now.Sub(v.Received).Seconds())
	}
	if !v.Sent.IsZero() {
		m.openingAge.WithLabelValues().Observe(max(v.Now.Sub(v.Sent), 0).Seconds())
	}
}

// cancelled removes a call that may have left the queue without an answer.
func (m *runMetrics) cancelled(e waxwingseam.Event) {
	if v, ok := e.(waxwingseam.AttemptCancelled); ok {
		m.cancellations.Inc()
		delete(m.queuedSince, v.ID)
	}
}

func (m *runMetrics) ended(e waxwingseam.Event) {
	if v, ok := e.(waxwingseam.RunEnded); ok {
		m.runTime.WithLabelValues(v.Result.Outcome.String()).Observe(v.Elapsed.Seconds())
	}
}

func (m *runMetrics) started(now time.Time, e waxwingseam.Effect) {
	v, ok := e.(waxwingseam.Run)
	if !ok {
		return
	}
	m.handOvers.Inc()
	if arrived, waited := m.queuedSince[v.Call.ID]; waited {
		delete(m.queuedSince, v.Call.ID)
		m.queueTime.WithLabelValues().Observe(now.Sub(arrived).Seconds())
	}
}

func (m *runMetrics) answered(_ time.Time, e waxwingseam.Effect) {
	v, ok := e.(waxwingseam.AnswerAttempt)
	if !ok {
		return
	}
	delete(m.queuedSince, v.ID)
	m.answers.WithLabelValues(v.Result.Outcome.String(), string(v.Result.Reason)).Inc()
	m.setLoad(v.Result.Load)
}

func (m *runMetrics) joined(_ time.Time, e waxwingseam.Effect) {
	if v, ok := e.(waxwingseam.JoinRun); ok {
		delete(m.queuedSince, v.ID)
		m.joins.Inc()
	}
}

func (m *runMetrics) stated(_ time.Time, e waxwingseam.Effect) {
	v, ok := e.(waxwingseam.StatementChanged)
	if !ok || v.Source == waxwingseam.StatementFromPeer {
		return
	}
	m.rateLimit.Set(noRateLimit)
	if v.Statement.Limited {
		m.rateLimit.Set(v.Statement.Rate)
	}
	m.statedLeaving.Set(boolToFloat(v.Statement.Leaving))
}

func (m *runMetrics) admitted(_ time.Time, e waxwingseam.Effect) {
	if v, ok := e.(waxwingseam.ServerAdmitted); ok {
		m.admissions.WithLabelValues(string(v.Basis)).Inc()
	}
}

func (m *runMetrics) serverKeptOut(time.Time, waxwingseam.Effect) { m.keptOut.Inc() }

func (m *runMetrics) endingsLearned(_ time.Time, e waxwingseam.Effect) {
	if v, ok := e.(waxwingseam.EndingsAdded); ok {
		m.endingsAdded.Add(float64(len(v.Endings)))
	}
}

func (m *runMetrics) setClasses(s *waxwingseam.Set) {
	clear(m.classes)
	for i := range s.RequestClasses {
		m.classes[s.RequestClasses[i].Name] = true
	}
}

func (m *runMetrics) spent(class waxwingseam.ClassName, fate accountant.Fate, d time.Duration) {
	if !m.classes[class] {
		class = unknownName
	}
	m.slotTime.WithLabelValues(string(class), string(fate)).Add(d.Seconds())
}

func (m *runMetrics) idled(d time.Duration) {
	m.idleSlotTime.Add(d.Seconds())
}

// cancelledRun records a cancelled run that has ended.
func (m *runMetrics) cancelledRun(r accountant.CancelledRun) {
	m.cancelDelay.WithLabelValues().Observe(r.Ran.Seconds())
	m.stopTime.WithLabelValues().Observe(r.Stopped.Seconds())
}

func (m *runMetrics) setLoad(l waxwingseam.Load) {
	m.inFlight.Set(float64(l.InFlight))
	m.queued.Set(float64(l.Waiting))
	m.limit.Set(float64(l.Limit))
	m.rootLimit.Set(float64(l.RootLimit))
	m.shedding.Set(boolToFloat(l.Shedding))
	m.leaving.Set(boolToFloat(l.Leaving))
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (m *runMetrics) backendEnded(time.Time, waxwingseam.Effect) {
	m.backendEnds.Inc()
}

func (m *runMetrics) quarantineChanged(_ time.Time, e waxwingseam.Effect) {
	v, ok := e.(waxwingseam.QuarantineChanged)
	switch {
	case !ok:
	case v.Request.State == waxwingseam.QuarantineLifted:
		m.quarantined.Dec()
	default:
		m.quarantined.Inc()
	}
}
