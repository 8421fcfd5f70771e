// Package assembler builds a process from its components, and defines the default
// workers of a node.
package assembler

import (
	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/admitter"
	"waxwingseam.example/waxwingseam/allocator"
	"waxwingseam.example/waxwingseam/arbiter"
	"waxwingseam.example/waxwingseam/balancer"
	"waxwingseam.example/waxwingseam/budgeter"
	"waxwingseam.example/waxwingseam/classifier"
	"waxwingseam.example/waxwingseam/deduplicator"
	"waxwingseam.example/waxwingseam/dispatcher"
	"waxwingseam.example/waxwingseam/drainer"
	"waxwingseam.example/waxwingseam/identifier"
	"waxwingseam.example/waxwingseam/limiter"
	"waxwingseam.example/waxwingseam/pacer"
	"waxwingseam.example/waxwingseam/quarantiner"
	"waxwingseam.example/waxwingseam/receiver"
	"waxwingseam.example/waxwingseam/retrier"
	"waxwingseam.example/waxwingseam/supervisor"
	"waxwingseam.example/waxwingseam/tracker"
)

// priorityDispatcher orders the dispatcher after the receiver and the arbiter, so
// that it sees the runs that the receiver cancels in the same event.
const priorityDispatcher = 2 * receiver.Priority

// priorityRouter orders the router of calls with keys before the dispatcher, so
// that its state is current when the dispatcher queries it.
const priorityRouter = receiver.Priority / 2

// WorkersConfig holds the settings of a node's workers.
type WorkersConfig struct {
	Self waxwingseam.Server
	// NearFirst prefers servers in the node's own data centre while one of them
	// has capacity.
	NearFirst   bool
	RetryBudget waxwingseam.RetryBudget
	// AwaitRetryHistory is set if control tells the node what its earlier processes have
	// spent of the retry budget.
	AwaitRetryHistory bool
}

// Workers returns the default workers of a node.
func Workers(config WorkersConfig) []waxwingseam.PrioritizedWorker {
	self := config.Self
	runTracker := tracker.New(tracker.Config{})
	callRecords := deduplicator.New(deduplicator.Config{})
	keyRouter := arbiter.NewRouter()
	drainState := drainer.New(drainer.Config{Withdrawn: self.Leaving})
	callPacer := pacer.New()
	accountLimiter := allocator.New()
	quarantine := quarantiner.New(quarantiner.Config{Drainer: drainState})
	return []waxwingseam.PrioritizedWorker{
		{Priority: priorityRouter, Worker: keyRouter},
		{Priority: supervisor.Priority, Worker: supervisor.New(supervisor.Config{
			Drainer: drainState, AwaitEndings: self.Leaving,
		})},
		{Priority: quarantiner.Priority, Worker: quarantine},
		{
			Priority: receiver.Priority,
			Worker: receiver.New(receiver.Config{
				Admitter: admitter.New(admitter.Config{
					Limiter:     limiter.NewFixed(),
					RootLimiter: limiter.NewQueueDelay(),
					Pacer:       callPacer,
				}),
				Pacer:        callPacer,
				Deduplicator: callRecords,
				Drainer:      drainState,
				Tracker:      runTracker,
				Gate: budgeter.New(budgeter.Config{
					Budget:       config.RetryBudget,
					AwaitHistory: config.AwaitRetryHistory,
				}),
				Quarantine: quarantine,
			}),
		},
		{
			Priority: arbiter.Priority,
			Worker:   arbiter.New(arbiter.Config{Deduplicator: callRecords}),
		},
		{Priority: allocator.Priority, Worker: accountLimiter},
		{
			Priority: priorityDispatcher,
			Worker: dispatcher.New(dispatcher.Config{
				Classifier: classifier.New(),
				Balancer: balancer.New(balancer.Config{
					Self:       self.Name,
					DataCentre: self.DataCentre,
					NearFirst:  config.NearFirst,
				}),
				Retrier: retrier.New(retrier.Config{Gated: config.RetryBudget.Window > 0}),
				Tracker: runTracker,
				Routers: []waxwingseam.PrioritizedRouter{{Router: keyRouter}},

				Authenticator: identifier.New(),
				Limiter:       accountLimiter,
			}),
		},
	}
}
