package imitator

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// behavior is what a test changes on a running stand-in.
type behavior struct {
	mu       sync.Mutex
	fail     bool
	lie      bool
	leaving  bool
	slow     float64
	report   LoadReport
	reported time.Time
}

// LoadReport is the answer of the load endpoint.
type LoadReport struct {
	InFlight int `json:"in-flight"`
	Slots    int `json:"slots"`
}

// SetFailing makes the stand-in fail every request at once.
func (i *Imitator) SetFailing(fail bool) {
	i.behavior.mu.Lock()
	defer i.behavior.mu.Unlock()
	i.behavior.fail = fail
}

// SetHealthInverted makes the health endpoint tell the opposite of the truth.
func (i *Imitator) SetHealthInverted(lie bool) {
	i.behavior.mu.Lock()
	defer i.behavior.mu.Unlock()
	i.behavior.lie = lie
}

// SetSlowdown multiplies the work of each request; 1 is usual.
func (i *Imitator) SetSlowdown(factor float64) {
	i.behavior.mu.Lock()
	defer i.behavior.mu.Unlock()
	i.behavior.slow = factor
}

func (b *behavior) failing() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fail
}

func (b *behavior) slowdown() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.slow == 0 {
		return 1
	}
	return b.slow
}

func (i *Imitator) serveHealth(w http.ResponseWriter, _ *http.Request) {
	i.behavior.mu.Lock()
	defer i.behavior.mu.Unlock()
	healthy := !i.behavior.fail && !i.behavior.leaving
	if healthy == i.behavior.lie {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (i *Imitator) serveLoad(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(i.laggedReport())
}

// laggedReport renews the report only once it is older than the lag.
func (i *Imitator) laggedReport() LoadReport {
	i.behavior.mu.Lock()
	defer i.behavior.mu.Unlock()
	if time.Since(i.behavior.reported) >= i.config.LoadLag {
		i.behavior.reported = time.Now()
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
	i.behavior.leaving = true
	w.WriteHeader(http.StatusNoContent)
}
