package receiver

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// statement is what the node's own backend server last said of itself.
type statement struct {
	backend waxwingseam.BackendIncarnation
	waxwingseam.Statement
	// handOver is that of the run whose answer had the statement; 0 if the node has
	// received no statement of the incarnation itself.
	handOver uint64
	at       time.Time
}

// backendStated applies the statement in an answer, unless an answer to a later run
// has been applied or another incarnation of the backend server made it.
func (r *receiver) backendStated(c *waxwingseam.Context, e waxwingseam.BackendStated) {
	if !e.Backend.Equal(c.Self.BackendIncarnation()) || e.HandOver < r.statement.handOver {
		return
	}
	next := e.Statement
	if next.Unreadable != "" {
		next.Limited, next.Rate = r.statement.Limited, r.statement.Rate
	}
	next.Leaving = next.Leaving || r.statement.Leaving
	r.setStatement(c, statement{
		backend:   e.Backend,
		Statement: next,
		handOver:  e.HandOver,
		at:        c.Now,
	}, waxwingseam.StatementFromAnswer)
}

// adoptKnown applies what the sender of an attempt knows of the backend server, as a
// node that has just started has received no answer yet. It ignores a rate limit once
// the backend server has made a statement to this node.
func (r *receiver) adoptKnown(c *waxwingseam.Context, known *waxwingseam.KnownStatement) {
	if known == nil || !known.Backend.Equal(c.Self.BackendIncarnation()) {
		return
	}
	at := c.Now.Add(-known.Age)
	next := r.statement
	next.backend = known.Backend
	next.Leaving = next.Leaving || known.Statement.Leaving
	if r.statement.handOver == 0 && at.After(r.statement.at) {
		next.Limited, next.Rate, next.at = known.Statement.Limited, known.Statement.Rate, at
	}
	r.setStatement(c, next, waxwingseam.StatementFromSender)
}

// setStatement puts a statement in force and reports it if it differs from the last
// one.
func (r *receiver) setStatement(c *waxwingseam.Context, s statement, source waxwingseam.StatementSource) {
	changed := s.Statement != r.statement.Statement
	r.statement = s
	if !changed {
		return
	}
	c.Emit(waxwingseam.StatementChanged{
		Server:    c.Self.Name,
		Backend:   s.backend,
		Statement: s.Statement,
		Source:    source,
		Age:       c.Now.Sub(s.at),
	})
	if s.Limited {
		r.pacer.SetLimit(c.Now, s.Rate)
	} else {
		r.pacer.Unlimit()
	}
	r.apply(c, r.admitter.Expire(c))
	r.drainer.SetStatedLeaving(c, s.Leaving)
	r.refuseWaiting(c)
}

// forgetStatement drops the statement of an earlier incarnation of the backend
// server.
func (r *receiver) forgetStatement(c *waxwingseam.Context) {
	current := c.Self.BackendIncarnation()
	if r.statement.backend.Equal(current) {
		return
	}
	r.workload.reset()
	r.setStatement(c, statement{backend: current, at: c.Now}, waxwingseam.StatementFromRestart)
}

// knownStatement returns the statement to report with an answer; nil if the backend
// server names no limit and is not leaving, as far as the node knows.
func (r *receiver) knownStatement(c *waxwingseam.Context) *waxwingseam.KnownStatement {
	if !r.statement.Limited && !r.statement.Leaving {
		return nil
	}
	return &waxwingseam.KnownStatement{
		Backend:   r.statement.backend,
		Statement: r.statement.Statement,
		Age:       c.Now.Sub(r.statement.at),
	}
}
