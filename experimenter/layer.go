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
	"waxwingseam.example/waxwingseam/limiter"
	"waxwingseam.example/waxwingseam/receiver"
	"waxwingseam.example/waxwingseam/reducer"
	"waxwingseam.example/waxwingseam/retrier"
	"waxwingseam.example/waxwingseam/tracker"
)

// hopRetries is how often a node of the baselines sends a failed call again.
const hopRetries = 3

// senderPriority is the place of a sending worker, after the receiver.
const senderPriority = 200

// Layer is one way to build the reducer of a node.
type Layer struct {
	Name string
	New  func(self waxwingseam.Server) waxwingseam.Reducer
}

// NoLayer hands every call to the backend server and retries at each hop.
func NoLayer() Layer {
	return Layer{Name: "no layer, 3 retries a hop", New: func(self waxwingseam.Server) waxwingseam.Reducer {
		return assemble(self, newOpenAdmitter(), hopRetries)
	}}
}

// FixedLimit keeps to the declared slots, with a first-in first-out queue.
func FixedLimit() Layer {
	return Layer{Name: "fixed limit, FIFO queue", New: func(self waxwingseam.Server) waxwingseam.Reducer {
		return assemble(self, newFIFOAdmitter(), hopRetries)
	}}
}

// Waxwingseam is the project as it stands.
func Waxwingseam() Layer {
	return Variant("waxwingseam", newAdmitter)
}

// newAdmitter returns the project's admitter with its default parts.
func newAdmitter() waxwingseam.Admitter {
	return admitter.New(admitter.Config{
		Limiter:     limiter.NewFixed(),
		RootLimiter: limiter.NewQueueDelay(),
	})
}

// Variant is the project's own layer with another admitter.
func Variant(name string, build func() waxwingseam.Admitter) Layer {
	return Layer{Name: name, New: func(self waxwingseam.Server) waxwingseam.Reducer {
		retries := retrier.New(retrier.Config{})
		runs := tracker.New(tracker.Config{})
		return reducer.New(reducer.Config{
			Self: self,
			Workers: []waxwingseam.PrioritizedWorker{
				{Priority: receiver.Priority, Worker: receiver.New(receiver.Config{
					Admitter:     build(),
					Deduplicator: deduplicator.New(deduplicator.Config{}),
					Drainer:      drainer.New(drainer.Config{}),
					Tracker:      runs,
				})},
				{Priority: senderPriority, Worker: dispatcher.New(dispatcher.Config{
					Classifier: classifier.New(),
					Balancer:   balancer.New(balancer.Config{Self: self.Name, DataCentre: self.DataCentre}),
					Retrier:    retries,
					Tracker:    runs,
				})},
			},
		})
	}}
}

// AdmissionOnly is the project's admission below the baselines' sender.
func AdmissionOnly() Layer {
	return Layer{Name: "admission, plain sender", New: func(self waxwingseam.Server) waxwingseam.Reducer {
		return assemble(self, newAdmitter(), 0)
	}}
}

// FirstVersion is the policy that the project started from.
func FirstVersion() Layer {
	return Variant("waxwingseam, first version", newFirstAdmitter)
}

// Layers returns the project's layer and those it is measured against.
func Layers() []Layer {
	return []Layer{
		Waxwingseam(),
		AdmissionOnly(),
		FirstVersion(),
		NoLayer(),
		FixedLimit(),
	}
}

// assemble puts an admitter and the plain sender together.
func assemble(self waxwingseam.Server, a waxwingseam.Admitter, retries int) waxwingseam.Reducer {
	families := newFamilies()
	return reducer.New(reducer.Config{
		Self: self,
		Workers: []waxwingseam.PrioritizedWorker{
			{Priority: receiver.Priority, Worker: receiver.New(receiver.Config{
				Admitter:     a,
				Deduplicator: newRecords(),
				Drainer:      openDoor{},
				Tracker:      families,
			})},
			{Priority: senderPriority, Worker: newSender(families, retries)},
		},
	})
}

// openAdmitter runs everything at once.
type openAdmitter struct {
	runs map[waxwingseam.CallID]struct{}
}

func newOpenAdmitter() waxwingseam.Admitter {
	return &openAdmitter{runs: map[waxwingseam.CallID]struct{}{}}
}

func (a *openAdmitter) Configure(int) {}

func (a *openAdmitter) Offer(_ *waxwingseam.Context, t waxwingseam.Ticket) []waxwingseam.Admission {
	a.runs[t.ID] = struct{}{}
	return []waxwingseam.Admission{{ID: t.ID, Verdict: waxwingseam.VerdictRun}}
}

func (a *openAdmitter) Withdraw(waxwingseam.CallID) bool { return false }

func (a *openAdmitter) Finish(_ *waxwingseam.Context, e waxwingseam.RunEnd) []waxwingseam.Admission {
	delete(a.runs, e.ID)
	return nil
}

func (a *openAdmitter) Expire(*waxwingseam.Context) []waxwingseam.Admission { return nil }

func (a *openAdmitter) NextExpiry() (time.Time, bool) { return time.Time{}, false }

func (a *openAdmitter) Load() waxwingseam.Load {
	return waxwingseam.Load{InFlight: uint32(len(a.runs))}
}
