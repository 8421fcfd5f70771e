package forwarder

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/messenger"
)

const (
	methodCall    = "/waxwingseam.Node/Call"
	methodFence   = "/waxwingseam.Node/Fence"
	methodAsk     = "/waxwingseam.Node/Ask"
	methodTell    = "/waxwingseam.Node/Tell"
	methodAccount = "/waxwingseam.Node/Account"
)

// fenceTimeout limits the wait for the answer to a fence.
const fenceTimeout = 500 * time.Millisecond

// nodeMethods lists the methods of the drpc service that other nodes call.
type nodeMethods interface {
	Call(stream drpc.Stream) error
	Fence(ctx context.Context, q *fenceRequest) (*fenceReply, error)
	Ask(ctx context.Context, m *waxwingseam.WitnessMessage) (*waxwingseam.WitnessAnswer, error)
	Tell(ctx context.Context, m *waxwingseam.EndsMessage) (*endsReceipt, error)
	Account(ctx context.Context, m *accountMessage) (*accountReceipt, error)
}

type nodeService struct {
	forwarder *Forwarder
}

// Register registers the service that other nodes call.
func (f *Forwarder) Register(r Registry) error {
	return trace.Wrap(r.Register(&nodeService{f}, messenger.Description{
		{
			Name: methodCall,
			Receiver: func(service any, _ context.Context, in1, _ any) (drpc.Message, error) {
				return nil, service.(nodeMethods).Call(in1.(drpc.Stream))
			},
			Expression: nodeMethods.Call,
		},
		{
			Name: methodFence,
			Receiver: func(service any, ctx context.Context, in1, _ any) (drpc.Message, error) {
				return service.(nodeMethods).Fence(ctx, in1.(*fenceRequest))
			},
			Expression: nodeMethods.Fence,
		},
		{
			Name: methodAsk,
			Receiver: func(service any, ctx context.Context, in1, _ any) (drpc.Message, error) {
				return service.(nodeMethods).Ask(ctx, in1.(*waxwingseam.WitnessMessage))
			},
			Expression: nodeMethods.Ask,
		},
		{
			Name: methodTell,
			Receiver: func(service any, ctx context.Context, in1, _ any) (drpc.Message, error) {
				return service.(nodeMethods).Tell(ctx, in1.(*waxwingseam.EndsMessage))
			},
			Expression: nodeMethods.Tell,
		},
		{
			Name: methodAccount,
			Receiver: func(service any, ctx context.Context, in1, _ any) (drpc.Message, error) {
				return service.(nodeMethods).Account(ctx, in1.(*accountMessage))
			},
			Expression: nodeMethods.Account,
		},
	}))
}

// Call serves the attempts of one stream.
func (n *nodeService) Call(stream drpc.Stream) error {
	return newSession(n.forwarder, stream).serve()
}

// checkOpen checks the first frame of an attempt.
func (f *frame) checkOpen() error {
	o := f.Open
	switch {
	case f.Kind != frameOpen || o == nil:
		return trace.BadParameter("first frame: kind %d, want an opening", f.Kind)
	case o.ID.IsZero() || o.Attempt == 0:
		return trace.BadParameter("opening: no call id or attempt")
	case o.Method == "" || !waxwingseam.ValidTarget(o.Target):
		return trace.BadParameter("opening: no method or target")
	case o.Offset < 0 || o.Length < -1:
		return trace.BadParameter("opening: negative offset or length")
	}
	return nil
}

// Fence passes another node's request for a fence to the reducer and waits for the
// answer.
func (n *nodeService) Fence(ctx context.Context, q *fenceRequest) (*fenceReply, error) {
	f := n.forwarder
	answer := make(chan waxwingseam.AnswerFence, 1)
	f.mu.Lock()
	f.fenceAnswers[q.ID] = append(f.fenceAnswers[q.ID], answer)
	f.mu.Unlock()
	if q.Cancel {
		f.stopRelay(q.ID)
	}
	f.config.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.FenceAsked{
			Stamp:  s,
			ID:     q.ID,
			Until:  s.Now.Add(q.Duration),
			Cancel: q.Cancel,
		}
	})
	select {
	case a := <-answer:
		return &fenceReply{
			Started:     a.Started,
			Incarnation: a.Incarnation,
		}, nil
	case <-ctx.Done():
		return nil, trace.Wrap(ctx.Err())
	}
}

// answerFence carries out an AnswerFence.
func (f *Forwarder) answerFence(e waxwingseam.AnswerFence) {
	f.mu.Lock()
	waiting := f.fenceAnswers[e.ID]
	delete(f.fenceAnswers, e.ID)
	f.mu.Unlock()
	for _, answer := range waiting {
		answer <- e
	}
}

// fence carries out a Fence.
func (f *Forwarder) fence(e waxwingseam.Fence) {
	answer, err := f.askFence(e, false)
	f.config.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		event := waxwingseam.FenceAnswered{
			Stamp:   s,
			ID:      e.ID,
			Attempt: e.Attempt,
			Reached: err == nil,
		}
		if err == nil {
			event.Started = answer.Started
			event.Incarnation = answer.Incarnation
		}
		return event
	})
}

// askFence asks the receiving node to keep a call from starting and, if cancel is set, to
// cancel its run.
func (f *Forwarder) askFence(e waxwingseam.Fence, cancel bool) (*fenceReply, error) {
	ctx, stop := context.WithTimeout(context.Background(), fenceTimeout)
	defer stop()
	conn, err := f.dial(ctx, e.Server.Node)
	if err != nil {
		return nil, err
	}
	question := &fenceRequest{
		ID:       e.ID,
		Duration: time.Until(e.Until),
		Cancel:   cancel,
	}
	reply := &fenceReply{}
	if err := conn.Invoke(ctx, methodFence, messenger.Encoding, question, reply); err != nil {
		go func() { _ = conn.Close() }()
		return nil, trace.Wrap(err)
	}
	f.peers.put(e.Server.Node, conn, time.Now())
	return reply, nil
}
