package experimenter

import (
	"fmt"
	"math"
	"time"

	"waxwingseam.example/waxwingseam"
)

// The retries of a root and all its calls, and of a service in percent of its calls.
const (
	retriesPerRoot     = 2
	retryBudgetPercent = 10
)

// Tier is one service with its backend servers.
type Tier struct {
	Service     waxwingseam.ServiceName
	Servers     int
	Slots       int
	Connections int
	// Work is the mean duration of the service's own work for a call.
	Work time.Duration
}

// RequestKind is one kind of request in the demand.
type RequestKind struct {
	Class      waxwingseam.ClassName
	Importance waxwingseam.Importance
	Repeat     waxwingseam.Repeat
	// Share is the kind's share of the demand, in percent.
	Share int
	// Deadline limits the time of a root, MaxWait that of a call in a queue.
	Deadline time.Duration
	MaxWait  time.Duration
	// Objective is the time within which callers want the answer; 0 for none.
	Objective time.Duration
}

// Deployment is a set of services with the kinds of requests that they serve.
type Deployment struct {
	Name         string
	Tiers        []Tier
	RequestKinds []RequestKind
	// Delay is the one-way delay between two hosts, ClientDelay that between a
	// caller and a host.
	Delay       time.Duration
	ClientDelay time.Duration
	// MaxWaiting is the largest number of queued calls that a wait limit allows.
	MaxWaiting int
	// Redirects bounds how often a call that reached no backend server is sent to
	// another one.
	Redirects int
	// CallAllowance is that of the retry limit of all classes.
	CallAllowance waxwingseam.Allowance
}

// VanDalen returns the hallmarking office's deployment.
func VanDalen() Deployment {
	return Deployment{
		Name: "van-dalen",
		Tiers: []Tier{
			{"lot-desk", 3, 60, 500, 20 * time.Millisecond},
			{"mark-ledger", 3, 60, 500, 30 * time.Millisecond},
			{"assay-images", 4, 50, 400, 40 * time.Millisecond},
			{"fees", 3, 15, 200, 40 * time.Millisecond},
		},
		RequestKinds: []RequestKind{
			{Class: "register-mark", Importance: 8, Repeat: waxwingseam.RepeatNever, Share: 20, Deadline: 3 * time.Second, MaxWait: 500 * time.Millisecond},
			{Class: "upload-photo", Importance: 7, Repeat: waxwingseam.RepeatNever, Share: 20, Deadline: 3 * time.Second, MaxWait: 500 * time.Millisecond},
			{Class: "look-up-lot", Importance: 5, Repeat: waxwingseam.RepeatIdempotent, Share: 30, Deadline: time.Second, MaxWait: 250 * time.Millisecond},
			{Class: "staff-check", Importance: 2, Repeat: waxwingseam.RepeatIdempotent, Share: 30, Deadline: time.Second, MaxWait: 100 * time.Millisecond},
		},
		Delay:       500 * time.Microsecond,
		ClientDelay: 8 * time.Millisecond,
		MaxWaiting:  60,
	}
}

// Jnina returns the seasonal work association's deployment.
func Jnina() Deployment {
	return Deployment{
		Name: "jnina",
		Tiers: []Tier{
			{"job-board", 4, 130, 850, 60 * time.Millisecond},
			{"placements", 3, 170, 1100, 90 * time.Millisecond},
			{"paperwork", 3, 170, 1100, 120 * time.Millisecond},
			{"rosters", 3, 30, 270, 100 * time.Millisecond},
		},
		RequestKinds: []RequestKind{
			{Class: "placement", Importance: 8, Repeat: waxwingseam.RepeatNever, Share: 20, Deadline: 5 * time.Second, MaxWait: 500 * time.Millisecond},
			{Class: "upload-contract", Importance: 7, Repeat: waxwingseam.RepeatNever, Share: 20, Deadline: 5 * time.Second, MaxWait: 500 * time.Millisecond},
			{Class: "check-roster", Importance: 5, Repeat: waxwingseam.RepeatIdempotent, Share: 30, Deadline: 3 * time.Second, MaxWait: 250 * time.Millisecond},
			{Class: "browse-jobs", Importance: 2, Repeat: waxwingseam.RepeatIdempotent, Share: 30, Deadline: 3 * time.Second, MaxWait: 100 * time.Millisecond},
		},
		Delay:       1500 * time.Microsecond,
		ClientDelay: 8 * time.Millisecond,
		MaxWaiting:  60,
	}
}

// Deployments returns both deployments.
func Deployments() []Deployment {
	return []Deployment{VanDalen(), Jnina()}
}

// Visit is one call of a plan: work at a service, then stages of child calls.
type Visit struct {
	Service waxwingseam.ServiceName
	// Work is the mean duration of the service's own work.
	Work time.Duration
	// Stages run in sequence; the calls of one stage run in parallel.
	Stages [][]*Visit
}

// Chain returns the plan of a request that visits the services in turn, each
// called by the one before.
func (d Deployment) Chain(depth int) *Visit {
	var below *Visit
	for i := depth - 1; i >= 0; i-- {
		tier := d.Tiers[i%len(d.Tiers)]
		v := &Visit{Service: tier.Service, Work: tier.Work}
		if below != nil {
			v.Stages = [][]*Visit{{below}}
		}
		below = v
	}
	return below
}

// Capacity returns the rate of roots, per second, at which a plan occupies all
// slots of its bottleneck service.
func (d Deployment) Capacity(plan *Visit) float64 {
	holdTimes := map[waxwingseam.ServiceName]time.Duration{}
	d.addHoldTimes(plan, holdTimes)
	lowest := math.Inf(1)
	for _, t := range d.Tiers {
		if holdTimes[t.Service] > 0 {
			lowest = min(lowest, float64(t.Servers*t.Slots)/holdTimes[t.Service].Seconds())
		}
	}
	return lowest
}

// addHoldTimes adds up how long a plan occupies slots of each service, and
// returns how long its first visit does.
func (d Deployment) addHoldTimes(v *Visit, holdTimes map[waxwingseam.ServiceName]time.Duration) time.Duration {
	total := v.Work
	for _, stage := range v.Stages {
		var longest time.Duration
		for _, child := range stage {
			longest = max(longest, d.addHoldTimes(child, holdTimes)+2*d.Delay)
		}
		total += longest
	}
	holdTimes[v.Service] += total
	return total
}

// withWorkTimes returns a copy of a plan with the work times of this deployment's
// services.
func (d Deployment) withWorkTimes(v *Visit) *Visit {
	out := &Visit{Service: v.Service, Work: v.Work}
	for _, t := range d.Tiers {
		if t.Service == v.Service {
			out.Work = t.Work
		}
	}
	for _, stage := range v.Stages {
		below := make([]*Visit, 0, len(stage))
		for _, child := range stage {
			below = append(below, d.withWorkTimes(child))
		}
		out.Stages = append(out.Stages, below)
	}
	return out
}

// path returns the path of a class's calls at every service.
func path(class waxwingseam.ClassName) string {
	return "/" + string(class)
}

// set returns the deployment's configuration, with a request class for each
// kind of request at each service.
func (d Deployment) set() *waxwingseam.Set {
	s := &waxwingseam.Set{Revision: 1}
	for _, t := range d.Tiers {
		s.Services = append(s.Services, waxwingseam.Service{
			Name:        t.Service,
			Slots:       t.Slots,
			Connections: t.Connections,
		})
		for _, k := range d.RequestKinds {
			s.RequestClasses = append(s.RequestClasses, d.class(t.Service, k))
		}
	}
	for _, k := range d.RequestKinds {
		s.WaitLimits = append(s.WaitLimits, waxwingseam.WaitLimit{
			Name:    string(k.Class),
			Wait:    k.MaxWait,
			Waiting: d.MaxWaiting,
		})
	}
	s.RetryLimits = []waxwingseam.RetryLimit{{
		Name:          "usual",
		Allowance:     retriesPerRoot,
		BudgetPercent: retryBudgetPercent,
		CallAllowance: d.CallAllowance,
		Redirects:     d.Redirects,
		Backoff:       20 * time.Millisecond,
	}}
	return s
}

func (d Deployment) class(service waxwingseam.ServiceName, k RequestKind) waxwingseam.RequestClass {
	return waxwingseam.RequestClass{
		Name:       waxwingseam.ClassName(fmt.Sprintf("%s-%s", service, k.Class)),
		Service:    service,
		Path:       path(k.Class),
		Importance: k.Importance,
		Repeat:     k.Repeat,
		Deadline:   k.Deadline,
		Objective:  k.Objective,
		RetryLimit: "usual",
		WaitLimit:  string(k.Class),
	}
}
