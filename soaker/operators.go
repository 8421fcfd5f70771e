package soaker

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/administrator"
	"waxwingseam.example/waxwingseam/checker"
	"waxwingseam.example/waxwingseam/historian"
	"waxwingseam.example/waxwingseam/operator"
)

const (
	operatorCount = 2
	// meanChangeGap is the mean time between two changes of an operator.
	meanChangeGap = 500 * time.Millisecond
	// maxSends bounds how often an operator sends the same change.
	maxSends = 20
	// requestTimeout bounds one request of an operator.
	requestTimeout = 2 * time.Second
	// minDeadline is the shortest deadline that operators set, in seconds, and
	// deadlineCount the number of deadlines, one second apart.
	minDeadline   = 3
	deadlineCount = 4
)

// operators change the objects concurrently, each through random replicas.
type operators struct {
	deployment *deployment

	mu sync.Mutex
	// acknowledged maps each accepted change to its revision.
	acknowledged map[waxwingseam.SubmissionID]waxwingseam.Revision
}

func (o *operators) run(ctx context.Context) {
	var group sync.WaitGroup
	for n := range operatorCount {
		group.Go(func() { o.runOperator(ctx, n) })
	}
	group.Wait()
}

func (o *operators) runOperator(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(o.deployment.config.Seed, 1<<hostStreamShift+uint64(number)))
	for ctx.Err() == nil {
		o.submit(ctx, random)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(random.ExpFloat64() * float64(meanChangeGap))):
		}
	}
}

// any returns a client of a randomly chosen replica.
func (o *operators) any(random *rand.Rand) operator.Client {
	return o.deployment.replicas[random.IntN(replicaCount)].client()
}

// submit submits one change, and resends it while its outcome is unknown. It returns the
// revision of an accepted change, and 0 otherwise.
func (o *operators) submit(ctx context.Context, random *rand.Rand) waxwingseam.Revision {
	status, err := withTimeout(ctx, o.any(random).Status)
	if err != nil || !status.Current {
		return 0
	}
	submission := administrator.Submission{
		ID:             waxwingseam.SubmissionID(uuid.NewString()),
		BaseRevision:   status.Revision,
		AcceptWarnings: true,
		Files:          []checker.File{{Name: "objects.ini", Data: o.deployment.objects(minDeadline + random.IntN(deadlineCount))}},
	}
	for range maxSends {
		answer, err := withTimeout(ctx, func(ctx context.Context) (historian.Answer, error) {
			return o.any(random).Submit(ctx, submission)
		})
		if err == nil {
			return o.recordAccepted(submission.ID, answer)
		}
		var refusal *operator.Refusal
		if errors.As(err, &refusal) && refusal.Answer != nil || ctx.Err() != nil {
			return 0
		}
		time.Sleep(pollInterval)
	}
	return 0
}

// recordAccepted records an accepted change and returns its revision; 0 for others.
func (o *operators) recordAccepted(id waxwingseam.SubmissionID, answer historian.Answer) waxwingseam.Revision {
	if answer.Verdict != historian.VerdictAccepted {
		return 0
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acknowledged[id] = answer.Revision
	return answer.Revision
}

// withTimeout calls a function with a context that ends after requestTimeout.
func withTimeout[T any](ctx context.Context, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return call(ctx)
}

// history returns the changes in the history of the first replica, each with its
// revision.
func (o *operators) history(ctx context.Context) (map[waxwingseam.SubmissionID]waxwingseam.Revision, error) {
	client := o.deployment.replicas[0].client()
	recorded := map[waxwingseam.SubmissionID]waxwingseam.Revision{}
	for after := waxwingseam.Revision(0); ; {
		answer, err := client.History(ctx, after)
		if err != nil {
			return nil, err
		}
		for _, e := range answer.Entries {
			recorded[e.Submission] = e.Revision
			after = e.Revision
		}
		if len(answer.Entries) == 0 || after >= answer.Newest {
			return recorded, nil
		}
	}
}
