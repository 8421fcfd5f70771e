package assembler

import (
	"net/http"
	"sync/atomic"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/classifier"
)

// repeatability tells which requests may run more than once by the configuration in
// force. It observes the events of the reducer.
type repeatability struct {
	classes atomic.Pointer[waxwingseam.Classifier]
}

// Observe implements runner.Observer.
func (p *repeatability) Observe(e waxwingseam.Event, _ []waxwingseam.Effect) {
	if v, ok := e.(waxwingseam.SetAdopted); ok {
		classes := classifier.New()
		classes.Adopt(v.Set)
		p.classes.Store(&classes)
	}
}

// unknown reports whether the configuration in force has no class for a request. It is
// false while there is no configuration.
func (p *repeatability) unknown(r waxwingseam.Request) bool {
	classes := p.classes.Load()
	if classes == nil {
		return false
	}
	_, ok := (*classes).Classify(r)
	return !ok
}

// of returns a function that reports whether a request may run more than once, given
// the function that returns the parts of a request by which its class is found. No
// request may while there is no configuration.
func (p *repeatability) of(match func(*http.Request) waxwingseam.Request) func(*http.Request) bool {
	return func(r *http.Request) bool {
		classes := p.classes.Load()
		if classes == nil {
			return false
		}
		class, ok := (*classes).Classify(match(r))
		return ok && class.Repeat == waxwingseam.RepeatIdempotent
	}
}
