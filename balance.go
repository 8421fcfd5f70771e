package waxwingseam

// Choice is a balancer's answer: a server, or the reason why there is none.
type Choice struct {
	Server Server
	// Refused is set when no server is to be called.
	Refused bool
	Reason  Reason
}

// Query asks a balancer for a server.
type Query struct {
	Service ServiceName
	Rank    Rank
	// Tried lists servers that earlier attempts went to.
	Tried []ServerName
}

// Feedback is what one attempt showed of a server.
type Feedback struct {
	Server ServerName
	Result Result
}

// Balancer chooses the backend server for each attempt from what the node
// itself has seen.
type Balancer interface {
	// Adopt puts a configuration in force.
	Adopt(s *Set)
	// Learn takes in servers announced, changed or gone.
	Learn(c *Context, servers []Server, gone []ServerName)
	// Choose picks a server and counts the attempt as in flight there.
	Choose(c *Context, q Query) Choice
	// Observe takes in an ended attempt.
	Observe(c *Context, f Feedback)
	// Server returns what is known of a server.
	Server(name ServerName) (Server, bool)
}
