package forwarder

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/messenger"
)

// witnessTimeout limits the wait for a witness's answer.
const witnessTimeout = 250 * time.Millisecond

// foundingTimeout limits the wait for control's answer to a founding. It is long
// enough to ask several replicas in different data centres, one after another.
const foundingTimeout = 3 * time.Second

// reportKeyedArrival reports the arrival of an attempt with a caller's key.
func (in *inbound) reportKeyedArrival() {
	o := in.opening
	in.forwarder.config.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.KeyedAttemptArrived{
			Stamp:   s,
			Call:    o.call(s.Now),
			Attempt: o.Attempt,
			Relayed: o.Relayed,
		}
	})
}

// decideKey carries out a DecideKey.
func (f *Forwarder) decideKey(e waxwingseam.DecideKey) {
	in := f.inbound(attemptKey{e.ID, e.Attempt})
	switch {
	case in == nil:
		f.cancelDisconnected(e)
	case e.Verdict == waxwingseam.KeyAdmit:
		in.reportArrival()
	case e.Verdict == waxwingseam.KeyRelay:
		in.relay(e.Holder)
	default:
		in.answer(e.Result)
		in.call.forget()
	}
}

// cancelDisconnected cancels an attempt whose connection was lost before the
// decision on its key.
func (f *Forwarder) cancelDisconnected(e waxwingseam.DecideKey) {
	f.config.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.AttemptCancelled{
			Stamp:   s,
			ID:      e.ID,
			Attempt: e.Attempt,
		}
	})
}

// askWitness carries out an AskWitness.
func (f *Forwarder) askWitness(e waxwingseam.AskWitness) {
	defer f.pendingWitnessAsks.Add(-1)
	answer := &waxwingseam.WitnessAnswer{}
	err := f.invoke(e.To, methodAsk, &e.Message, answer, witnessTimeout)
	f.config.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.WitnessAnswered{
			Stamp:   s,
			To:      e.To.Name,
			Message: e.Message,
			Reached: err == nil,
			Answer:  *answer,
		}
	})
}

// invoke calls a method of another node.
func (f *Forwarder) invoke(to waxwingseam.Server, method string, question, answer any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	conn, err := f.connect(ctx, to.Node)
	if err != nil {
		return err
	}
	if err := conn.Invoke(ctx, method, messenger.Encoding, question, answer); err != nil {
		f.peers.clear(to.Node)
		go func() { _ = conn.Close() }()
		return trace.Wrap(err)
	}
	f.peers.put(to.Node, conn, time.Now())
	return nil
}

// Ask reports a witness message of another node and waits for the answer.
func (n *nodeService) Ask(ctx context.Context, m *waxwingseam.WitnessMessage) (*waxwingseam.WitnessAnswer, error) {
	f := n.forwarder
	if !f.config.Arbitrated {
		return nil, trace.NotImplemented("no arbiter")
	}
	answer := make(chan waxwingseam.WitnessAnswer, 1)
	f.mu.Lock()
	f.lastWitnessAsk++
	number := f.lastWitnessAsk
	f.witnessAnswers[number] = answer
	f.mu.Unlock()
	f.config.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.WitnessAsked{
			Stamp:   s,
			Number:  number,
			Message: *m,
		}
	})
	select {
	case a := <-answer:
		return &a, nil
	case <-ctx.Done():
		return nil, trace.Wrap(ctx.Err())
	}
}

// answerWitness carries out an AnswerWitness.
func (f *Forwarder) answerWitness(e waxwingseam.AnswerWitness) {
	f.mu.Lock()
	answer := f.witnessAnswers[e.Number]
	delete(f.witnessAnswers, e.Number)
	f.mu.Unlock()
	if answer != nil {
		answer <- e.Answer
	}
}

// askFounding carries out an AskFounding.
func (f *Forwarder) askFounding(e waxwingseam.AskFounding) {
	ctx, cancel := context.WithTimeout(context.Background(), foundingTimeout)
	defer cancel()
	if ask := f.config.Founding; ask != nil && !ask(ctx, e) {
		return
	}
	f.config.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.FoundingGranted{Stamp: s}
	})
}
