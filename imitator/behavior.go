package imitator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"waxwingseam.example/waxwingseam"
)

// The headers of answers in which the stand-in names a rate limit and says that it is
// leaving.
const (
	RateLimitHeader = "Waxwingseam-Rate-Limit"
	LeavingHeader   = "Waxwingseam-Leaving"
)

// behavior holds the settings that can change while a stand-in serves, and its last
// load report.
type behavior struct {
	mu             sync.Mutex
	fail           bool
	breaking       bool
	healthInverted bool
	draining       bool
	slowFactor     float64
	statement      waxwingseam.Statement
	report         LoadReport
	reportedAt     time.Time
}

// LoadReport is the body of the load endpoint's response.
type LoadReport struct {
	// InFlight is the number of occupied slots. Requests that wait for a slot or for
	// a child call are not counted.
	InFlight int `json:"in-flight"`
	Slots    int `json:"slots"`
}

// SetFailing sets whether the stand-in answers every request immediately with
// status 500 and records no run for it. A failing stand-in is unhealthy.
func (i *Imitator) SetFailing(fail bool) {
	i.behavior.mu.Lock()
	defer i.behavior.mu.Unlock()
	i.behavior.fail = fail
}

// SetHealthInverted sets whether the health endpoint reports the opposite of the
// stand-in's health.
func (i *Imitator) SetHealthInverted(inverted bool) {
	i.behavior.mu.Lock()
	defer i.behavior.mu.Unlock()
	i.behavior.healthInverted = inverted
}

// SetSlowdown sets the factor that service times are multiplied by. The default
// is 1; a factor of 0 also means 1.
func (i *Imitator) SetSlowdown(factor float64) {
	i.behavior.mu.Lock()
	defer i.behavior.mu.Unlock()
	i.behavior.slowFactor = factor
}

// SetStatement sets what the stand-in says of itself in its answers.
func (i *Imitator) SetStatement(s waxwingseam.Statement) {
	i.behavior.mu.Lock()
	defer i.behavior.mu.Unlock()
	i.behavior.statement = s
}

// setStatementFields sets the header fields of the statement in an answer.
func (b *behavior) setStatementFields(header http.Header) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.statement.Limited {
		header.Set(RateLimitHeader, strconv.FormatFloat(b.statement.Rate, 'f', -1, 64))
	}
	if b.statement.Leaving {
		header.Set(LeavingHeader, "1")
	}
}

func (b *behavior) failing() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fail
}

func (b *behavior) slowdown() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.slowFactor == 0 {
		return 1
	}
	return b.slowFactor
}

func (i *Imitator) serveHealth(w http.ResponseWriter, _ *http.Request) {
	i.behavior.mu.Lock()
	defer i.behavior.mu.Unlock()
	healthy := !i.behavior.fail && !i.behavior.draining
	if healthy == i.behavior.healthInverted {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (i *Imitator) serveLoad(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(i.laggedReport())
}

// laggedReport returns the load report, which it refreshes once the report is at
// least as old as the configured lag.
func (i *Imitator) laggedReport() LoadReport {
	i.behavior.mu.Lock()
	defer i.behavior.mu.Unlock()
	if time.Since(i.behavior.reportedAt) >= i.config.LoadLag {
		i.behavior.reportedAt = time.Now()
		i.behavior.report = LoadReport{
			InFlight: len(i.slots),
			Slots:    i.config.Slots,
		}
	}
	return i.behavior.report
}

func (i *Imitator) serveDrain(w http.ResponseWriter, _ *http.Request) {
	i.behavior.mu.Lock()
	defer i.behavior.mu.Unlock()
	i.behavior.draining = true
	w.WriteHeader(http.StatusNoContent)
}
