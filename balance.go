package waxwingseam

import "time"

// Choice is a balancer's answer: a server, or the reason why there is none.
type Choice struct {
	Server Server
	// Refused is set when no server is to be called.
	Refused bool
	Reason  Reason
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
}

// Query asks a balancer for a server.
type Query struct {
	Service ServiceName
	Class   ClassName
	Rank    Rank
	// Tried lists servers that earlier attempts went to.
	Tried []ServerName
	// ExcludeTried is set where a server that was tried is of no use.
	ExcludeTried bool
	// Pinned is the one server that may take the call; empty for any.
	Pinned ServerName
}

// Router narrows a query before the balancer answers it.
type Router interface {
	Route(c *Context, call Call, q *Query)
}

// PrioritizedRouter is a router with its place in the order of routers; a
// smaller priority goes first.
type PrioritizedRouter struct {
	Priority int
	Router   Router
}

// Feedback is what one attempt showed of a server.
type Feedback struct {
	Server ServerName
	Class  ClassName
	Rank   Rank
	Result Result
	// Elapsed is the time from the dispatch to the end.
	Elapsed time.Duration
}

// Balancer chooses the backend server for each attempt from what the node
// itself has seen.
type Balancer interface {
	// Adopt puts a configuration in force.
	Adopt(s *Set)
	// UpdateServers takes in servers announced, changed or gone.
	UpdateServers(c *Context, servers []Server, gone []ServerName)
	// Choose picks a server and counts the attempt as in flight there.
	Choose(c *Context, q Query) Choice
	// Observe takes in an ended attempt.
	Observe(c *Context, f Feedback)
	// Overloaded reports whether all known servers of a service shed load.
	Overloaded(c *Context, service ServiceName) bool
	// Server returns what is known of a server.
	Server(name ServerName) (Server, bool)
}
