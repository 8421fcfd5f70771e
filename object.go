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
	KindCallerLimit   Kind = "caller-limit"
	KindClientAccount Kind = "client-account"
)

// Service is a service object. It holds the defaults of its backend servers.
type Service struct {
	Name ServiceName
	// Slots is how many calls one backend server runs concurrently.
	Slots int
	// Connections is how many connections one backend server accepts.
	Connections int
	// SubsetSize is how many backend servers one node balances across; 0 for
	// all.
	SubsetSize int
	// HealthPath is the path of the backend servers' health checks; empty for
	// none.
	HealthPath string
	// Protocol is the application protocol of the backend servers; empty for
	// HTTP/1.1.
	Protocol string
	// TLS is set if the backend servers are reached over TLS.
	TLS bool
}

// BackendServer is an object that configures one announced backend server.
type BackendServer struct {
	Name    ServerName
	Service ServiceName
	// Slots and Connections default to those of the service if they are 0.
	Slots       int
	Connections int
	// Weight scales the server's share of new calls, in hundredths; 100 is the
	// usual share.
	Weight int
	// Drained keeps new work from the server.
	Drained bool
}

// Sizes returns the slots and connections of the server. A value of 0 is
// replaced by that of its service.
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

// WeightedTarget is one of the services that share the calls of a request
// class.
type WeightedTarget struct {
	Service ServiceName
	// Weight is the target's share, relative to the weights of the others.
	Weight int
}

// RequestClass defines how the calls that match it are handled.
type RequestClass struct {
	Name ClassName
	// Service is the one service that runs the calls; empty if Targets is set.
	Service ServiceName
	// Targets are the services that share the calls by weight.
	Targets []WeightedTarget
	// Host is the host that callers name; empty for callers that name the
	// service in the path.
	Host string
	// Prefix is the path prefix of a class with a host; the longest match wins.
	Prefix string
	// Method is an HTTP method, or empty for all.
	Method string
	// Path is a pattern in which {name} matches one segment, and {name...} at
	// the end matches the rest.
	Path       string
	Importance Importance
	Repeat     Repeat
	// Deadline is the time allowed for a root of the class if its caller sets
	// none.
	Deadline time.Duration
	// Objective is the latency objective; 0 for none.
	Objective time.Duration
	// LargeReplies is set if replies are so large that they are kept out of the
	// traffic between data centres where possible.
	LargeReplies bool
	// Unauthenticated exempts the calls from authentication, which roots need if the
	// set has client accounts. StatesAuthentication is set if the object says so or
	// the contrary, rather than leaving it to the default.
	Unauthenticated      bool
	StatesAuthentication bool `cbor:",omitempty"`
	// RetryLimit and WaitLimit name the limits that apply to the class.
	RetryLimit string
	WaitLimit  string
}

// Services returns the services that may run the calls.
func (c *RequestClass) Services() []ServiceName {
	if len(c.Targets) == 0 {
		return []ServiceName{c.Service}
	}
	out := make([]ServiceName, len(c.Targets))
	for i, v := range c.Targets {
		out[i] = v.Service
	}
	return out
}

// RetryLimit bounds the retries of one root and of all calls below it.
type RetryLimit struct {
	Name string
	// Allowance is the number of retries granted once to each root.
	Allowance Allowance
	// CallAllowance replaces the root's allowance for a call made by a run, if
	// recent runs of the call's class made no calls. 0 means that such a call uses
	// its root's allowance.
	CallAllowance Allowance
	// BudgetPercent is the percentage of one retry that each success adds to the
	// retry budget of the called service.
	BudgetPercent int
	// Backoff is the mean delay before the first retry; it doubles for each later
	// one, at most five times. 0 means no delay.
	Backoff time.Duration
	// DidNotRunOnly limits retries to attempts that provably did not run.
	DidNotRunOnly bool
	// Failures allows retries of calls that the backend server answered with a
	// failure of its own.
	Failures bool
	// Redirects is the maximum number of times that a call is sent to another
	// server because its last attempt was not handed to a backend server. This
	// uses no allowance.
	Redirects int
}

// WaitLimit bounds the waiting of roots in front of a backend server.
type WaitLimit struct {
	Name string
	// Wait is the longest time that a root of the class may wait in the queue.
	Wait time.Duration
	// Waiting bounds the number of queued roots of all classes: at the bound, a
	// root of the class is queued only in place of another root.
	Waiting int
}

// CallerLimit bounds what callers may send and how long they may take.
type CallerLimit struct {
	Name string
	// HeaderBytes and BodyBytes bound a request.
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout bounds the reading of a request's header, IdleTimeout the
	// time between two requests on one connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// ClientAccount identifies the callers that hold one of its keys, and bounds their use.
type ClientAccount struct {
	Name AccountName
	// Keys are secrets. Only control replicas hold them; nodes hold KeyDigests.
	Keys []string `cbor:",omitempty"`
	// KeyDigests are the digests of the keys, in the same order, in a set without
	// keys.
	KeyDigests []KeyDigest `cbor:",omitempty"`
	// Importance replaces that of the request class if HasImportance is set.
	Importance    Importance
	HasImportance bool
	// Rate limits the roots per second over all nodes, and Burst is how many may come
	// at once in addition. A Rate of 0 means no limit. StatesRate and StatesBurst are
	// set if the object names them, which may be as 0.
	Rate        float64
	Burst       float64
	StatesRate  bool `cbor:",omitempty"`
	StatesBurst bool `cbor:",omitempty"`
	// Weight is the account's share of room that is short, relative to other
	// accounts; 0 selects Rate, or 1 if that is 0 too.
	Weight float64
}

// Digests returns the digests of the account's keys.
func (a *ClientAccount) Digests() []KeyDigest {
	if len(a.Keys) == 0 {
		return a.KeyDigests
	}
	digests := make([]KeyDigest, len(a.Keys))
	for i, k := range a.Keys {
		digests[i] = DigestKey(k)
	}
	return digests
}

// WithoutKeys returns the account with the digests of its keys in place of the keys.
func (a ClientAccount) WithoutKeys() ClientAccount {
	a.Keys, a.KeyDigests = nil, a.Digests()
	return a
}

// ShareWeight returns the weight that is in force.
func (a *ClientAccount) ShareWeight() float64 {
	switch {
	case a.Weight > 0:
		return a.Weight
	case a.Rate > 0:
		return a.Rate
	}
	return 1
}

// Set is a complete set of objects: the content of one revision.
type Set struct {
	Revision Revision
	// Number is the operator's own version number of the set; 0 without one.
	Number uint64
	// Base is the number of the set that this one replaced; 0 if there was none.
	Base           uint64
	Services       []Service
	BackendServers []BackendServer
	RequestClasses []RequestClass
	RetryLimits    []RetryLimit
	WaitLimits     []WaitLimit
	CallerLimits   []CallerLimit
	ClientAccounts []ClientAccount `cbor:",omitempty"`
}

// LimitsAccounts reports whether a client account has a limit.
func (s *Set) LimitsAccounts() bool {
	for _, v := range s.ClientAccounts {
		if v.Rate > 0 {
			return true
		}
	}
	return false
}

// Service returns the service with a name; false if there is none.
func (s *Set) Service(name ServiceName) (Service, bool) {
	for _, v := range s.Services {
		if v.Name == name {
			return v, true
		}
	}
	return Service{}, false
}

// BackendServer returns the backend server object with a name; false if there
// is none.
func (s *Set) BackendServer(name ServerName) (BackendServer, bool) {
	for _, v := range s.BackendServers {
		if v.Name == name {
			return v, true
		}
	}
	return BackendServer{}, false
}

// RequestClass returns the request class with a name; false if there is none.
func (s *Set) RequestClass(name ClassName) (RequestClass, bool) {
	for _, v := range s.RequestClasses {
		if v.Name == name {
			return v, true
		}
	}
	return RequestClass{}, false
}

// RetryLimit returns the retry limit with a name; false if there is none.
func (s *Set) RetryLimit(name string) (RetryLimit, bool) {
	for _, v := range s.RetryLimits {
		if v.Name == name {
			return v, true
		}
	}
	return RetryLimit{}, false
}

// WaitLimit returns the wait limit with a name; false if there is none.
func (s *Set) WaitLimit(name string) (WaitLimit, bool) {
	for _, v := range s.WaitLimits {
		if v.Name == name {
			return v, true
		}
	}
	return WaitLimit{}, false
}
