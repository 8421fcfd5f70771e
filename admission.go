package waxwingseam

import "time"

// Ticket describes a call that is to be admitted to a backend server.
type Ticket struct {
	ID CallID
	// Root identifies the root request that the call belongs to.
	Root  RootID
	Class ClassName
	// Account is the client account of the root; empty without one.
	Account AccountName
	Rank    Rank
	// Depth is the call's depth; see Call.Depth.
	Depth    uint8
	Deadline time.Time
	// Retried is set if another server, or this one, has refused the call before.
	Retried bool
	// RefusedPermille is that of the call; see Call.RefusedPermille.
	RefusedPermille Permille
	// RefusedInAll is the share of the recent roots of the root's class that were refused
	// at its first node or, for a root, here.
	RefusedInAll Permille
	// Patient is set if the call may wait for the server's rate limit, as the sender
	// knows no server that could take it sooner.
	Patient bool
	// Delay is how long the call waited in front of the node's decisions before it was
	// offered.
	Delay time.Duration
	// Arrived is when the ticket was offered.
	Arrived time.Time
	// MaxWait is the longest time that a root may wait in the queue. A deeper
	// call may wait as long as it can still meet its deadline.
	MaxWait time.Duration
	// MaxWaiting bounds the number of queued roots of all classes: at the bound, a
	// root is queued only in place of another root. It does not apply to deeper
	// calls.
	MaxWaiting int
}

// Verdict is an admitter's decision on one ticket.
type Verdict uint8

const (
	// VerdictRun hands the call to the backend server.
	VerdictRun Verdict = iota
	// VerdictWait puts the call in the queue.
	VerdictWait
	// VerdictRefuse refuses the call, which has not run.
	VerdictRefuse
)

// Admission is the decision on one ticket. A method may also return decisions
// on waiting tickets, which can now run or are refused.
type Admission struct {
	ID      CallID
	Verdict Verdict
	// Reason is why the call is refused; empty unless Verdict is VerdictRefuse.
	Reason Reason
	// Waited is the time that the call spent in the queue.
	Waited time.Duration
}

// RunEnd reports the end of one run to the admitter.
type RunEnd struct {
	ID CallID
	// Failed is set when the backend server failed or refused the call, or when
	// all its attempts were cancelled.
	Failed bool
	// Elapsed is the duration of the run; OwnElapsed is the part of it in which
	// no call that the run made was open.
	Elapsed    time.Duration
	OwnElapsed time.Duration
	// WaitedBelow is the time that the calls made by the run spent in queues.
	WaitedBelow time.Duration
	// RefusedBelow is the share of roots that first nodes should refuse for services
	// that the run has called.
	RefusedBelow Permille
	// MadeCalls is set if the run made calls.
	MadeCalls bool
}

// Admitter decides which calls one backend server runs, and in which order.
type Admitter interface {
	// Configure sets the declared slots.
	Configure(slots int)
	// Offer decides on a new ticket. It may also start or evict waiting tickets,
	// and may return two decisions on the new ticket: to wait, and then to run.
	Offer(c *Context, t Ticket) []Admission
	// Withdraw removes a waiting ticket and reports whether there was one.
	Withdraw(id CallID) bool
	// Finish records the end of a run, refuses the tickets that have expired and
	// starts the waiting ones that fit. It returns nil if the run is unknown.
	Finish(c *Context, e RunEnd) []Admission
	// Expire refuses the tickets that have waited too long or can no longer meet
	// their deadline, and starts those that fit.
	Expire(c *Context) []Admission
	// NextExpiry returns when Expire is due; false while no ticket waits.
	NextExpiry() (time.Time, bool)
	// Refused returns the share of the roots of an importance that first nodes should
	// refuse for this server.
	Refused(c *Context, importance Importance) Permille
	// RefusedAccount returns the share of the roots of an importance and a client account
	// to refuse, and what an answer says of other accounts.
	RefusedAccount(c *Context, importance Importance, account AccountName) (Permille, AccountShares)
	// Load returns the load to be sent with each answer.
	Load() Load
}
