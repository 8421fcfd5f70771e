package operator

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam/administrator"
)

// establishPollInterval is the time between two attempts while a deployment starts.
const establishPollInterval = 50 * time.Millisecond

// Establish submits the first objects of a starting deployment and waits until
// the given number of nodes have announced themselves and have the newest set.
// It resends the submission after every error, including a refusal. The context
// bounds the wait.
func Establish(ctx context.Context, client Client, submission administrator.Submission, nodes int) error {
	if err := poll(ctx, func() bool {
		_, err := client.Submit(ctx, submission)
		return err == nil
	}); err != nil {
		return trace.Wrap(err, "the objects were not accepted")
	}
	return trace.Wrap(poll(ctx, func() bool {
		status, err := client.Status(ctx)
		return err == nil && nodesCurrent(status, nodes)
	}), "the nodes did not adopt the objects")
}

// nodesCurrent reports whether exactly the given number of servers are announced and
// at least as many nodes have the newest revision.
func nodesCurrent(status administrator.StatusAnswer, nodes int) bool {
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
		case <-time.After(establishPollInterval):
		}
	}
	return nil
}
