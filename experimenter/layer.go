package experimenter

import (
	"time"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/admitter"
	"waxwingseam.example/waxwingseam/balancer"
	"waxwingseam.example/waxwingseam/classifier"
	"waxwingseam.example/waxwingseam/deduplicator"
	"waxwingseam.example/waxwingseam/dispatcher"
	"waxwingseam.example/waxwingseam/drainer"
	"waxwingseam.example/waxwingseam/identifier"
	"waxwingseam.example/waxwingseam/limiter"
	"waxwingseam.example/waxwingseam/pacer"
	"waxwingseam.example/waxwingseam/receiver"
	"waxwingseam.example/waxwingseam/reducer"
	"waxwingseam.example/waxwingseam/retrier"
	"waxwingseam.example/waxwingseam/supervisor"
	"waxwingseam.example/waxwingseam/tracker"
)

// hopRetries is how often each hop of the baselines retries a failed call.
const hopRetries = 3

// senderPriority makes the sending worker run after the receiver.
const senderPriority = 200

// Layer is a named way to build a node's reducer.
type Layer struct {
	Name string
	New  func(self waxwingseam.Server) waxwingseam.Reducer
	// Bind, if set, is called with the world of a run before its nodes are made.
	Bind func(w *World)
}

// NoLayer returns a baseline that admits every call and retries at each hop.
func NoLayer() Layer {
	return Layer{Name: "no layer, 3 retries a hop", New: func(self waxwingseam.Server) waxwingseam.Reducer {
		return assemble(self, newUnlimitedAdmitter(), hopRetries)
	}}
}

// FixedLimit returns a baseline limited to the declared slots, with a FIFO
// queue.
func FixedLimit() Layer {
	return Layer{Name: "fixed limit, FIFO queue", New: func(self waxwingseam.Server) waxwingseam.Reducer {
		return assemble(self, newFIFOAdmitter(), hopRetries)
	}}
}

// Waxwingseam returns the project's current layer.
func Waxwingseam() Layer {
	return variant("waxwingseam", newAdmitter, pacer.New)
}

// newAdmitter returns the project's admitter with its default limiters.
func newAdmitter(p waxwingseam.Pacer) waxwingseam.Admitter {
	return admitter.New(admitter.Config{
		Limiter:     limiter.NewFixed(),
		RootLimiter: limiter.NewQueueDelay(),
		Pacer:       p,
	})
}

// Variant returns the project's layer with another admitter.
func Variant(name string, build func() waxwingseam.Admitter) Layer {
	return variant(name, func(waxwingseam.Pacer) waxwingseam.Admitter { return build() }, pacer.New)
}

// variant returns the project's layer with another admitter, which keeps to a pacer of
// its node.
func variant(name string, build func(waxwingseam.Pacer) waxwingseam.Admitter, newPacer func() waxwingseam.Pacer) Layer {
	return variantWith(variantConfig{name: name, admitter: build, pacer: newPacer})
}

// variantConfig names the parts in which a layer differs from the project's; nil for the
// project's own.
type variantConfig struct {
	name     string
	admitter func(waxwingseam.Pacer) waxwingseam.Admitter
	pacer    func() waxwingseam.Pacer
	balancer func(self waxwingseam.Server) waxwingseam.Balancer
	// gate returns the retry gate of a node; nil for none.
	gate func() waxwingseam.RetryGate
	bind func(w *World)
}

func (v variantConfig) withDefaults() variantConfig {
	if v.admitter == nil {
		v.admitter = newAdmitter
	}
	if v.pacer == nil {
		v.pacer = pacer.New
	}
	if v.balancer == nil {
		v.balancer = func(self waxwingseam.Server) waxwingseam.Balancer {
			return balancer.New(balancer.Config{Self: self.Name, DataCentre: self.DataCentre})
		}
	}
	if v.gate == nil {
		v.gate = func() waxwingseam.RetryGate { return nil }
	}
	return v
}

func variantWith(config variantConfig) Layer {
	v := config.withDefaults()
	return Layer{Name: v.name, Bind: v.bind, New: func(self waxwingseam.Server) waxwingseam.Reducer {
		gate := v.gate()
		retries := retrier.New(retrier.Config{Gated: gate != nil})
		runs := tracker.New(tracker.Config{})
		callPacer := v.pacer()
		drainState := drainer.New(drainer.Config{})
		return reducer.New(reducer.Config{
			Self: self,
			Workers: []waxwingseam.PrioritizedWorker{
				{Priority: supervisor.Priority, Worker: supervisor.New(supervisor.Config{Drainer: drainState})},
				{Priority: receiver.Priority, Worker: receiver.New(receiver.Config{
					Admitter:     v.admitter(callPacer),
					Pacer:        callPacer,
					Deduplicator: deduplicator.New(deduplicator.Config{}),
					Drainer:      drainState,
					Tracker:      runs,
					Gate:         gate,
				})},
				{Priority: senderPriority, Worker: dispatcher.New(dispatcher.Config{
					Classifier: classifier.New(),
					Balancer:   v.balancer(self),
					Retrier:    retries,
					Tracker:    runs,

					Authenticator: identifier.New(),
				})},
			},
		})
	}}
}

// AdmissionOnly returns a layer with the project's admitter and no retries.
func AdmissionOnly() Layer {
	return Layer{Name: "admission, plain sender", New: func(self waxwingseam.Server) waxwingseam.Reducer {
		return assemble(self, newAdmitter(nil), 0)
	}}
}

// FirstVersion returns the project's layer with its first admission policy.
func FirstVersion() Layer {
	return Variant("waxwingseam, first version", newFirstVersionAdmitter)
}

// Layers returns the project's layer and the layers that it is compared with.
func Layers() []Layer {
	return []Layer{
		Waxwingseam(),
		AdmissionOnly(),
		FirstVersion(),
		NoLayer(),
		FixedLimit(),
	}
}

// assemble returns a reducer with an admitter and the plain sender.
func assemble(self waxwingseam.Server, a waxwingseam.Admitter, retries int) waxwingseam.Reducer {
	runs := newPlainTracker()
	return reducer.New(reducer.Config{
		Self: self,
		Workers: []waxwingseam.PrioritizedWorker{
			{Priority: receiver.Priority, Worker: receiver.New(receiver.Config{
				Admitter:     a,
				Deduplicator: newPlainDeduplicator(),
				Drainer:      noopDrainer{},
				Tracker:      runs,
			})},
			{Priority: senderPriority, Worker: newPlainSender(runs, retries)},
		},
	})
}

// unlimitedAdmitter admits every call at once.
type unlimitedAdmitter struct {
	runs map[waxwingseam.CallID]struct{}
}

func newUnlimitedAdmitter() waxwingseam.Admitter {
	return &unlimitedAdmitter{runs: map[waxwingseam.CallID]struct{}{}}
}

func (a *unlimitedAdmitter) Configure(int) {}

func (a *unlimitedAdmitter) Offer(_ *waxwingseam.Context, t waxwingseam.Ticket) []waxwingseam.Admission {
	a.runs[t.ID] = struct{}{}
	return []waxwingseam.Admission{{ID: t.ID, Verdict: waxwingseam.VerdictRun}}
}

func (a *unlimitedAdmitter) Withdraw(waxwingseam.CallID) bool { return false }

func (a *unlimitedAdmitter) Finish(_ *waxwingseam.Context, e waxwingseam.RunEnd) []waxwingseam.Admission {
	delete(a.runs, e.ID)
	return nil
}

func (a *unlimitedAdmitter) Expire(*waxwingseam.Context) []waxwingseam.Admission { return nil }

func (a *unlimitedAdmitter) NextExpiry() (time.Time, bool) { return time.Time{}, false }

func (a *unlimitedAdmitter) Refused(*waxwingseam.Context, waxwingseam.Importance) waxwingseam.Permille {
	return 0
}

func (a *unlimitedAdmitter) RefusedAccount(*waxwingseam.Context, waxwingseam.Importance, waxwingseam.AccountName) (waxwingseam.Permille, waxwingseam.AccountShares) {
	return 0, waxwingseam.AccountShares{}
}

func (a *unlimitedAdmitter) Load() waxwingseam.Load {
	return waxwingseam.Load{InFlight: uint32(len(a.runs))}
}
