// Package assembler puts the parts of a process together. The default workers
// of a node stand here, in one place.
package assembler

import (
	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/admitter"
	"waxwingseam.example/waxwingseam/arbiter"
	"waxwingseam.example/waxwingseam/balancer"
	"waxwingseam.example/waxwingseam/budgeter"
	"waxwingseam.example/waxwingseam/classifier"
	"waxwingseam.example/waxwingseam/deduplicator"
	"waxwingseam.example/waxwingseam/dispatcher"
	"waxwingseam.example/waxwingseam/drainer"
	"waxwingseam.example/waxwingseam/limiter"
	"waxwingseam.example/waxwingseam/receiver"
	"waxwingseam.example/waxwingseam/retrier"
	"waxwingseam.example/waxwingseam/supervisor"
	"waxwingseam.example/waxwingseam/tracker"
)

// priorityDispatcher is the dispatcher's place among the workers. It follows
// up the runs that the receiver cancels in the same event, so it stands after
// it, and after the arbiter.
const priorityDispatcher = 2 * receiver.Priority

// priorityRouter is the place of the router of keyed calls, which learns before
// the dispatcher asks it.
const priorityRouter = receiver.Priority / 2

// WorkersConfig holds what the workers of a node are assembled for.
type WorkersConfig struct {
	Self waxwingseam.Server
	// NearFirst keeps calls in the own data centre while there is room.
	NearFirst   bool
	RetryBudget waxwingseam.RetryBudget
}

// Workers returns the default workers of a node.
func Workers(config WorkersConfig) []waxwingseam.PrioritizedWorker {
	self := config.Self
	runTracker := tracker.New(tracker.Config{})
	callRecords := deduplicator.New(deduplicator.Config{})
	keyRouter := arbiter.NewRouter()
	drainState := drainer.New(drainer.Config{Withdrawn: self.Leaving})
	return []waxwingseam.PrioritizedWorker{
		{Priority: priorityRouter, Worker: keyRouter},
		{Priority: supervisor.Priority, Worker: supervisor.New(supervisor.Config{Drainer: drainState})},
		{
			Priority: receiver.Priority,
			Worker: receiver.New(receiver.Config{
				Admitter: admitter.New(admitter.Config{
					Limiter:     limiter.NewFixed(),
					RootLimiter: limiter.NewQueueDelay(),
				}),
				Deduplicator: callRecords,
				Drainer:      drainState,
				Tracker:      runTracker,
				Gate:         budgeter.New(budgeter.Config{Budget: config.RetryBudget}),
			}),
		},
		{
			Priority: arbiter.Priority,
			Worker:   arbiter.New(arbiter.Config{Deduplicator: callRecords}),
		},
		{
			Priority: priorityDispatcher,
			Worker: dispatcher.New(dispatcher.Config{
				Classifier: classifier.New(),
				Balancer: balancer.New(balancer.Config{
					Self:       self.Name,
					DataCentre: self.DataCentre,
					NearFirst:  config.NearFirst,
				}),
				Retrier: retrier.New(retrier.Config{}),
				Tracker: runTracker,
				Routers: []waxwingseam.PrioritizedRouter{{Router: keyRouter}},
			}),
		},
	}
}
