package operator

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam/administrator"
)

// establishPoll is the time between two tries while a deployment starts.
const establishPoll = 50 * time.Millisecond

// Establish publishes the first objects of a deployment that starts, and returns
// once some nodes have announced themselves and hold the newest set. The context
// bounds the wait.
func Establish(ctx context.Context, client Client, first administrator.Submission, nodes int) error {
	if err := poll(ctx, func() bool {
		_, err := client.Submit(ctx, first)
		return err == nil
	}); err != nil {
		return trace.Wrap(err, "the objects were not accepted")
	}
	return trace.Wrap(poll(ctx, func() bool {
		status, err := client.Status(ctx)
		return err == nil && informed(status, nodes)
	}), "the nodes did not take the objects over")
}

// informed reports whether so many nodes are announced and at the newest revision.
func informed(status administrator.StatusAnswer, nodes int) bool {
	newest := 0
	for _, n := range status.Nodes {
		newest += n.Newest
	}
	return status.Revision > 0 && newest >= nodes && len(status.Servers) == nodes
}

// poll calls done until it reports true or the context ends.
func poll(ctx context.Context, done func() bool) error {
	for !done() {
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		case <-time.After(establishPoll):
		}
	}
	return nil
}
