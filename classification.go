package waxwingseam

// Request holds the parts of a call that a classifier matches.
type Request struct {
	Service ServiceName
	// Host is used in place of the service if the caller named none.
	Host   string
	Method string
	Path   string
}

// Classifier finds the request class of a call.
type Classifier interface {
	// Adopt puts a configuration in force.
	Adopt(s *Set)
	// Classify returns the matching class; false if there is none.
	Classify(r Request) (RequestClass, bool)
	// Rank returns the rank of a new root of a class.
	Rank(c *Context, class RequestClass, root RootID) Rank
}
