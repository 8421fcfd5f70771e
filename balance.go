package waxwingseam

import "time"

// Choice is a balancer's answer: a server, or the reason why there is none.
type Choice struct {
	Server Server
	// Known is what the node knows from answers of the server; nil if it knows nothing.
	Known *KnownStatement
	// Patient is set if all servers that may take the call are at their rate limits.
	Patient bool
	// Expected is the time that a call of mean cost is expected to take at the server; 0 if
	// the server states no figures for it.
	Expected time.Duration
	// Refused is set when there is no server to call.
	Refused bool
	Reason  Reason
	// RetryAfter is how long a refused caller should wait before a retry.
	RetryAfter time.Duration
	// Basis says what a refusal is based on, and BasisAge how long ago that was learned;
	// 0 if unknown.
	Basis    RefusalBasis
	BasisAge time.Duration
	// RefusedPermille is the share of the roots of the class that are refused, if the
	// query was for a root.
	RefusedPermille Permille
}

// RefusalBasis says what the refusal of a call at its sending node is based on.
type RefusalBasis string

const (
	// BasisStatedShare means that servers asked first nodes to refuse a share of the
	// roots.
	BasisStatedShare RefusalBasis = "stated-share"
	// BasisThrottle means that the service rejected calls that were sent just before.
	BasisThrottle RefusalBasis = "throttle"
	// BasisServers means that no known server takes the call.
	BasisServers RefusalBasis = "servers"
	// BasisAccountLimit means that the client account is over its limit.
	BasisAccountLimit RefusalBasis = "account-limit"
	// BasisStopping means that the process stops before the call is sure to have ended.
	BasisStopping RefusalBasis = "stopping"
	// BasisChance means that the roots of the class have next to no chance of success,
	// because backend servers refuse calls that they make.
	BasisChance RefusalBasis = "chance"
)

// Refusal describes a call that its sending node refused before its first attempt.
type Refusal struct {
	Call  Call
	Basis RefusalBasis
	// BasisAge is how long ago the basis was learned; 0 if unknown.
	BasisAge time.Duration
	// Late is set for a root that could not meet its latency objective any more.
	Late bool
	// Used and Limit are the requests per second of the client account over all nodes,
	// with BasisAccountLimit.
	Used  float64 `cbor:",omitempty"`
	Limit float64 `cbor:",omitempty"`
}

// Query asks a balancer for a server.
type Query struct {
	Service ServiceName
	Class   ClassName
	// Account is the client account of the root; empty without one.
	Account AccountName
	Rank    Rank
	Depth   uint8
	// Root is set for the first attempt of a root, which may be refused for the share
	// that servers name.
	Root bool
	// Late is set for a root that can't meet its latency objective any more.
	Late bool
	// LargeReply is set if the class of the call has large replies.
	LargeReply bool
	// Tried lists the servers to which earlier attempts were sent.
	Tried []ServerName
	// ExcludeTried is set when no server in Tried may be chosen again.
	ExcludeTried bool
	// Pinned is the only server that may run the call; empty for any.
	Pinned ServerName
}

// Place returns the place of the call that is to be sent.
func (q *Query) Place() Place {
	return Place{Class: q.Class, Importance: q.Rank.Importance, Depth: q.Depth, Account: q.Account.Tag()}
}

// Router narrows a query before the balancer answers it.
type Router interface {
	Route(c *Context, call Call, q *Query)
}

// PrioritizedRouter is a router with its priority; routers with a smaller
// priority run first.
type PrioritizedRouter struct {
	Priority int
	Router   Router
}

// Feedback reports how one attempt at a server ended.
type Feedback struct {
	Server ServerName
	Class  ClassName
	// Account is the client account of the root; empty without one.
	Account AccountName
	Rank    Rank
	Depth   uint8
	Result  Result
	// Patient is set if the attempt could wait for the server's rate limit.
	Patient bool
	// Elapsed is the time from the dispatch to the end of the attempt.
	Elapsed time.Duration
	// Expected is that of the choice.
	Expected time.Duration
}

// Balancer chooses the backend server for each attempt, based on what its own
// node has observed.
type Balancer interface {
	// Adopt puts a configuration in force.
	Adopt(s *Set)
	// UpdateServers records servers that were announced, changed or removed.
	UpdateServers(c *Context, servers []Server, gone []ServerName)
	// Choose picks a server and counts the attempt as in flight there.
	Choose(c *Context, q Query) Choice
	// Explain returns what Choose would decide and why, without counting anything.
	Explain(c *Context, q Query) Route
	// Observe records the end of an attempt.
	Observe(c *Context, f Feedback)
	// Overloaded reports whether a service has known servers and all of them shed
	// load.
	Overloaded(c *Context, service ServiceName) bool
	// Refused returns the share of roots that the servers of a service have recently
	// asked first nodes to refuse, for calls of a place. For an account of which nothing
	// is known, it is that of TagOthers.
	Refused(c *Context, service ServiceName, place Place) Permille
	// Server returns a known server; false if it is unknown.
	Server(name ServerName) (Server, bool)
}
