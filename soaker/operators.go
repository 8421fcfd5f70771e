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
	// changeGap is the mean time between two changes of an operator.
	changeGap = 500 * time.Millisecond
	// resends is how often an operator sends a change again whose answer is open.
	resends = 20
	// submitTimeout bounds one try.
	submitTimeout = 2 * time.Second
	// leastDeadline and deadlines are the deadlines that operators choose from.
	leastDeadline = 3
	deadlines     = 4
)

// operators change the objects, both at once, through any replica.
type operators struct {
	deployment *deployment

	mu sync.Mutex
	// acknowledged holds the revision of each accepted change.
	acknowledged map[waxwingseam.SubmissionID]waxwingseam.Revision
}

func (o *operators) run(ctx context.Context) {
	var group sync.WaitGroup
	for n := range operatorCount {
		group.Go(func() { o.change(ctx, n) })
	}
	group.Wait()
}

func (o *operators) change(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(o.deployment.config.Seed, 1<<seedBits+uint64(number)))
	for ctx.Err() == nil {
		o.submit(ctx, random)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(random.ExpFloat64() * float64(changeGap))):
		}
	}
}

// any returns a client of one replica.
func (o *operators) any(random *rand.Rand) operator.Client {
	return o.deployment.replicas[random.IntN(replicas)].client()
}

// submit makes one change, and sends it again while its answer is open.
func (o *operators) submit(ctx context.Context, random *rand.Rand) {
	status, err := within(ctx, o.any(random).Status)
	if err != nil || !status.Current {
		return
	}
	submission := administrator.Submission{
		ID:             waxwingseam.SubmissionID(uuid.NewString()),
		BaseRevision:   status.Revision,
		AcceptWarnings: true,
		Files:          []checker.File{{Name: "objects.ini", Data: o.deployment.set(leastDeadline + random.IntN(deadlines))}},
	}
	for range resends {
		answer, err := within(ctx, func(ctx context.Context) (historian.Answer, error) {
			return o.any(random).Submit(ctx, submission)
		})
		if err == nil {
			o.note(submission.ID, answer)
			return
		}
		var refusal *operator.Refusal
		if errors.As(err, &refusal) && refusal.Answer != nil || ctx.Err() != nil {
			return
		}
		time.Sleep(pollEvery)
	}
}

func (o *operators) note(id waxwingseam.SubmissionID, answer historian.Answer) {
	if answer.Verdict != historian.VerdictAccepted {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acknowledged[id] = answer.Revision
}

// within calls with a bounded time.
func within[T any](ctx context.Context, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	return call(ctx)
}

// history returns the accepted changes as a replica tells them, at the end.
func (o *operators) history(ctx context.Context) (map[waxwingseam.SubmissionID]waxwingseam.Revision, error) {
	client := o.deployment.replicas[0].client()
	kept := map[waxwingseam.SubmissionID]waxwingseam.Revision{}
	for after := waxwingseam.Revision(0); ; {
		answer, err := client.History(ctx, after)
		if err != nil {
			return nil, err
		}
		for _, e := range answer.Entries {
			kept[e.Submission] = e.Revision
			after = e.Revision
		}
		if len(answer.Entries) == 0 || after >= answer.Newest {
			return kept, nil
		}
	}
}
