// Package assembler puts the parts of a process together. The default workers
// of a node stand here, in one place.
package assembler

import (
	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/admitter"
	"waxwingseam.example/waxwingseam/balancer"
	"waxwingseam.example/waxwingseam/classifier"
	"waxwingseam.example/waxwingseam/deduplicator"
	"waxwingseam.example/waxwingseam/dispatcher"
	"waxwingseam.example/waxwingseam/drainer"
	"waxwingseam.example/waxwingseam/limiter"
	"waxwingseam.example/waxwingseam/receiver"
	"waxwingseam.example/waxwingseam/retrier"
	"waxwingseam.example/waxwingseam/tracker"
)

// The priorities of a node's workers. The dispatcher follows up the runs that
// the receiver cancels in the same event, so it stands after it.
const (
	priorityReceiver   = 100
	priorityDispatcher = 200
)

// Workers returns the default workers of a node.
func Workers(self waxwingseam.Server) []waxwingseam.Prioritized {
	runs := tracker.New(tracker.Config{})
	return []waxwingseam.Prioritized{
		{
			Priority: priorityReceiver,
			Worker: receiver.New(receiver.Config{
				Admitter: admitter.New(admitter.Config{
					Limiter: limiter.NewFixed(),
					Roots:   limiter.NewQueueDelay(),
				}),
				Deduplicator: deduplicator.New(deduplicator.Config{}),
				Drainer:      drainer.New(),
				Tracker:      runs,
			}),
		},
		{
			Priority: priorityDispatcher,
			Worker: dispatcher.New(dispatcher.Config{
				Classifier: classifier.New(),
				Balancer:   balancer.New(balancer.Config{Self: self.Name, DataCentre: self.DataCentre}),
				Retrier:    retrier.New(retrier.Config{}),
				Tracker:    runs,
			}),
		},
	}
}
