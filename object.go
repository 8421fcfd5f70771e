package waxwingseam

import "time"

// Kind names a kind of object, event or effect in kebab case.
type Kind string

// The kinds of objects that operators create.
const (
	KindService       Kind = "service"
	KindBackendServer Kind = "backend-server"
	KindRequestClass  Kind = "request-class"
	KindRetryLimit    Kind = "retry-limit"
	KindWaitLimit     Kind = "wait-limit"
)

// Service is a service object: the defaults of its backend servers.
type Service struct {
	Name ServiceName
	// Slots is how many calls one backend server runs at once.
	Slots int
	// Connections is how many connections one backend server takes.
	Connections int
	// SubsetSize is how many backend servers one node balances over; 0 for all.
	SubsetSize int
}

// BackendServer is an object that bounds one announced backend server.
type BackendServer struct {
	Name    ServerName
	Service ServiceName
	// Slots and Connections are the service's where they are 0.
	Slots       int
	Connections int
	// Weight scales the share of new calls, in hundredths; 100 is usual.
	Weight int
	// Drained keeps new work away.
	Drained bool
}

// Sizes returns the slots and connections in force; those that the object
// does not set are its service's.
func (b BackendServer) Sizes(s Service) (slots, connections int) {
	slots, connections = b.Slots, b.Connections
	if slots == 0 {
		slots = s.Slots
	}
	if connections == 0 {
		connections = s.Connections
	}
	return slots, connections
}

// RequestClass says how the calls that match it are treated.
type RequestClass struct {
	Name    ClassName
	Service ServiceName
	// Method is an HTTP method, or empty for all.
	Method string
	// Path is a pattern in which {name} matches one segment and a last {name...} the rest.
	Path       string
	Importance Importance
	Repeat     Repeat
	// Deadline is the time a root of the class has when the caller sets none.
	Deadline time.Duration
	// RetryLimit and WaitLimit name the limits in force.
	RetryLimit string
	WaitLimit  string
}

// RetryLimit bounds the retries of one root over its whole chain.
type RetryLimit struct {
	Name string
	// Allowance is granted once to a root.
	Allowance Allowance
	// BudgetPercent is the share of retries in the calls to one target.
	BudgetPercent int
	// Backoff is the mean delay before the first retry, doubled for each later one.
	Backoff time.Duration
	// DidNotRunOnly keeps retries to attempts that did not run, by proof.
	DidNotRunOnly bool
}

// WaitLimit bounds the queue in front of a backend server.
type WaitLimit struct {
	Name string
	// Wait is the longest time in the queue.
	Wait time.Duration
	// Waiting is the most calls in the queue.
	Waiting int
}

// Set is a whole set of objects, the content of one revision.
type Set struct {
	Revision       Revision
	Services       []Service
	BackendServers []BackendServer
	RequestClasses []RequestClass
	RetryLimits    []RetryLimit
	WaitLimits     []WaitLimit
}

// Service returns the service of a name.
func (s *Set) Service(name ServiceName) (Service, bool) {
	for _, v := range s.Services {
		if v.Name == name {
			return v, true
		}
	}
	return Service{}, false
}

// BackendServer returns the backend server object of a name.
func (s *Set) BackendServer(name ServerName) (BackendServer, bool) {
	for _, v := range s.BackendServers {
		if v.Name == name {
			return v, true
		}
	}
	return BackendServer{}, false
}

// RequestClass returns the request class of a name.
func (s *Set) RequestClass(name ClassName) (RequestClass, bool) {
	for _, v := range s.RequestClasses {
		if v.Name == name {
			return v, true
		}
	}
	return RequestClass{}, false
}

// RetryLimit returns the retry limit of a name.
func (s *Set) RetryLimit(name string) (RetryLimit, bool) {
	for _, v := range s.RetryLimits {
		if v.Name == name {
			return v, true
		}
	}
	return RetryLimit{}, false
}

// WaitLimit returns the wait limit of a name.
func (s *Set) WaitLimit(name string) (WaitLimit, bool) {
	for _, v := range s.WaitLimits {
		if v.Name == name {
			return v, true
		}
	}
	return WaitLimit{}, false
}
