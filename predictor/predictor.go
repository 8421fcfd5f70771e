// Package predictor estimates what calls cost at a backend server: how long they occupy
// it, and how much longer a running one will. It learns a distribution for each request
// class, and within a class for the attributes of calls whose values predict the cost.
package predictor

import (
	"math"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// maxClasses and maxValues bound the distributions that are kept: of classes, and of
	// the values of attributes in all classes together. A distribution takes 640 bytes, so
	// that all take 800 KB.
	maxClasses = 256
	maxValues  = 1024
	// minValueSize is the number of recent observations from which the distribution of a
	// value is used.
	minValueSize = 8
	// errorGain is the weight of the newest observation in the mean error of a
	// prediction.
	errorGain = 0.02
	// requiredGain is the share of the error of the class's mean that the mean of an
	// attribute's value must stay under to be used.
	requiredGain = 0.9
	// shareGain is the weight of the newest observation in the mean share of own work.
	shareGain = 0.05
)

// Attribute is a property of calls that may predict their cost.
type Attribute uint8

// The attributes, in the order of Call.Values.
const (
	AttributePath Attribute = iota
	AttributeSize
	AttributeAccount
	// AttributeCount is the number of attributes.
	AttributeCount
)

// String returns the attribute's name.
func (a Attribute) String() string {
	return [...]string{"path", "size", "account"}[a]
}

// Call is what is known of a call before it runs.
type Call struct {
	Class waxwingseam.ClassName
	// Values holds a hash of the value of each attribute; 0 if unknown.
	Values [AttributeCount]uint64
}

// Cost is what a run took.
type Cost struct {
	// Held is the time for which the run held its slot, at the usual pace.
	Held time.Duration
	// OwnShare is the share of it in which the backend server itself worked, rather than
	// waited for calls that the run made.
	OwnShare float64
}

// Predictor learns the costs of calls. It is not safe for concurrent use.
type Predictor struct {
	classes map[waxwingseam.ClassName]*class
	// values counts the distributions of values in all classes.
	values int
}

type class struct {
	distribution
	ownShare float64
	byValue  [AttributeCount]attribute
}

type attribute struct {
	byValue map[uint64]*distribution
	// meanError is that of the means of the values, and classError that of the class's
	// mean for the same observations.
	meanError  float64
	classError float64
	observed   int
}

// New returns a predictor that knows nothing.
func New() *Predictor {
	return &Predictor{classes: map[waxwingseam.ClassName]*class{}}
}

// Observe records the cost of a call.
func (p *Predictor) Observe(now time.Time, call Call, cost Cost) {
	v := p.class(call.Class)
	if v == nil || cost.Held <= 0 {
		return
	}
	if v.added == 0 {
		v.ownShare = cost.OwnShare
	}
	v.ownShare += shareGain * (cost.OwnShare - v.ownShare)
	for i, hash := range call.Values {
		if hash != 0 {
			p.observeValue(now, v, &v.byValue[i], hash, cost.Held)
		}
	}
	v.add(now, cost.Held)
}

func (p *Predictor) observeValue(now time.Time, v *class, a *attribute, hash uint64, held time.Duration) {
	d, ok := a.byValue[hash]
	if !ok {
		if p.values >= maxValues && !p.forget(now, a) {
			return
		}
		if a.byValue == nil {
			a.byValue = map[uint64]*distribution{}
		}
		d = &distribution{}
		a.byValue[hash] = d
		p.values++
	}
	if d.size() >= minValueSize {
		a.meanError += errorGain * (deviation(held, d.mean()) - a.meanError)
		a.classError += errorGain * (deviation(held, v.mean()) - a.classError)
		a.observed++
	}
	d.add(now, held)
}

// forget drops the values of an attribute that were not observed within the memory, and
// reports whether there were any.
func (p *Predictor) forget(now time.Time, a *attribute) bool {
	before := len(a.byValue)
	for hash, d := range a.byValue {
		if now.Sub(d.updated) > memory {
			delete(a.byValue, hash)
		}
	}
	p.values -= before - len(a.byValue)
	return len(a.byValue) < before
}

// deviation returns how far a time is from its prediction, as the absolute logarithm of
// the ratio.
func deviation(held, predicted time.Duration) float64 {
	return math.Abs(math.Log(held.Seconds() / max(predicted.Seconds(), 1e-6)))
}

func (p *Predictor) class(name waxwingseam.ClassName) *class {
	v, ok := p.classes[name]
	if !ok {
		if len(p.classes) >= maxClasses {
			return nil
		}
		v = &class{}
		p.classes[name] = v
	}
	return v
}

// Size returns the number of classes, and of values of attributes, that are kept.
func (p *Predictor) Size() (classes, values int) {
	return len(p.classes), p.values
}

// Adopt drops the classes that a configuration no longer has.
func (p *Predictor) Adopt(set *waxwingseam.Set) {
	for name, v := range p.classes {
		if _, ok := set.RequestClass(name); ok {
			continue
		}
		for i := range v.byValue {
			p.values -= len(v.byValue[i].byValue)
		}
		delete(p.classes, name)
	}
}

// predicts reports whether the attribute's values predict the cost better than the class
// does.
func (a *attribute) predicts() bool {
	return a.observed >= minValueSize && a.meanError < requiredGain*a.classError
}

// Basis says what an estimate rests on.
type Basis struct {
	// ByClass is set if the class has been observed; otherwise nothing is known.
	ByClass bool
	// ByAttribute is set if the estimate is that of the attribute's value.
	ByAttribute bool
	Attribute   Attribute
}

// find returns the distribution with the least error for a call; nil if none is known.
func (p *Predictor) find(call Call) (*class, *distribution, Basis) {
	v, ok := p.classes[call.Class]
	if !ok || v.added == 0 {
		return nil, nil, Basis{}
	}
	best, basis, ratio := &v.distribution, Basis{ByClass: true}, requiredGain
	for i := range v.byValue {
		a := &v.byValue[i]
		if call.Values[i] == 0 || !a.predicts() || a.meanError >= ratio*a.classError {
			continue
		}
		if d, ok := a.byValue[call.Values[i]]; ok && d.size() >= minValueSize {
			best, basis, ratio = d, Basis{ByClass: true, ByAttribute: true, Attribute: Attribute(i)}, a.meanError/a.classError
		}
	}
	return v, best, basis
}

// Estimate is what a call is expected to cost at the usual pace.
type Estimate struct {
	Basis
	Mean time.Duration
	// Median and High are the quantiles 0.5 and 0.95.
	Median time.Duration
	High   time.Duration
	// OwnShare is that of Cost.
	OwnShare float64
}

// Estimate returns the expected cost of a call.
func (p *Predictor) Estimate(call Call) Estimate {
	v, d, basis := p.find(call)
	if d == nil {
		return Estimate{}
	}
	return Estimate{Basis: basis, Mean: d.mean(), Median: d.quantile(0.5), High: d.quantile(0.95), OwnShare: v.ownShare}
}

// Rest returns the expected remaining time of a call that has run for a time, both at the
// usual pace, and its share of own work; 0 if the class has not been observed.
func (p *Predictor) Rest(call Call, elapsed time.Duration) (rest time.Duration, ownShare float64) {
	v, d, _ := p.find(call)
	if d == nil {
		return 0, 0
	}
	return d.rest(elapsed), v.ownShare
}
