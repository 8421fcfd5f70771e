package waxwingseam

import (
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Server describes one backend server.
type Server struct {
	// Name is the backend server's name, unique in the deployment.
	Name ServerName `cbor:"1,keyasint"`
	// Service is the service it serves.
	Service ServiceName `cbor:"2,keyasint"`
	// Node is the address at which other nodes reach the server's node.
	Node netip.AddrPort `cbor:"3,keyasint"`
	// EntryPoint is the address at which callers reach the node.
	EntryPoint netip.AddrPort `cbor:"4,keyasint"`
	// DataCentre is the data centre that the server runs in.
	DataCentre DataCentre `cbor:"5,keyasint"`
	// Incarnation is the current incarnation of the node.
	Incarnation Incarnation `cbor:"6,keyasint"`
	// Since is when this incarnation began, on the announcing host's clock.
	Since time.Time `cbor:"7,keyasint"`
	// Leaving is set while the server accepts no new work.
	Leaving bool `cbor:"8,keyasint"`
	// Slots is how many calls the server runs concurrently, as it reports; 0 if
	// the service object sets this.
	Slots int `cbor:"9,keyasint,omitempty"`
	// Instance identifies the current incarnation of the backend server; empty
	// if it reports no identifier.
	Instance string `cbor:"10,keyasint,omitempty"`
	// Started is when the current incarnation of the backend server began, as it
	// reports; zero if not reported.
	Started time.Time `cbor:"11,keyasint,omitzero"`
}

// Load is a node's measurement of its backend server, sent with each answer.
type Load struct {
	// InFlight counts the running calls.
	InFlight uint32 `cbor:"1,keyasint"`
	// Waiting counts the calls in the queue.
	Waiting uint32 `cbor:"2,keyasint"`
	// Limit is the concurrency limit in force.
	Limit uint32 `cbor:"3,keyasint"`
	// Threshold is the last rank in the order of service that is still admitted,
	// if Shedding is set.
	Threshold Rank `cbor:"4,keyasint,omitzero"`
	// Shedding is set while the node refuses calls because of overload.
	Shedding bool `cbor:"5,keyasint,omitempty"`
	// ServiceTime is the moving average of the duration of a run; 0 while unknown.
	ServiceTime time.Duration `cbor:"6,keyasint"`
	// Leaving is set once the backend server takes no new work.
	Leaving bool `cbor:"7,keyasint,omitempty"`
	// RateDelay is how long one more call would wait for the rate limit that the
	// backend server names; 0 without a limit.
	RateDelay time.Duration `cbor:"8,keyasint,omitempty"`
	// Statement is what the node's backend server says of itself; nil if it names no
	// limit and is not leaving, as far as the node knows.
	Statement *KnownStatement `cbor:"9,keyasint,omitempty"`
	// Pace is how long work takes at the backend server at this moment, in hundredths of
	// the usual time; 0 if unknown.
	Pace uint16 `cbor:"10,keyasint,omitempty"`
	// WorkLeft is the expected time until the backend server would have ended the
	// running and waiting calls; 0 if unknown.
	WorkLeft time.Duration `cbor:"11,keyasint,omitempty"`
	// RootLimit is the limit on running roots in force. It is not sent to other
	// nodes.
	RootLimit uint32 `cbor:"-"`
	// Revision is the revision in force at the node.
	Revision Revision `cbor:"15,keyasint,omitempty"`
}

// BackendLoad is what a backend server says of its load in the header of an answer.
type BackendLoad struct {
	// Stated is set if the answer names a load.
	Stated  bool
	Running int
	Waiting int
	Slots   int
	// Pace is that of Load.
	Pace uint16
}

// maxPace bounds the pace that a backend server may state.
const maxPace = 10_000

// ParseBackendLoad parses a load of the form "running,waiting,slots" or
// "running,waiting,slots,pace". The result is not stated if the text has another form.
func ParseBackendLoad(text string) BackendLoad {
	if text == "" {
		return BackendLoad{}
	}
	var figures [4]int
	n := 0
	for part := range strings.SplitSeq(text, ",") {
		v, err := strconv.ParseUint(strings.TrimSpace(part), 10, 31)
		if err != nil || n == len(figures) {
			return BackendLoad{}
		}
		figures[n] = int(v)
		n++
	}
	if n < len(figures)-1 {
		return BackendLoad{}
	}
	return BackendLoad{
		Stated: true, Running: figures[0], Waiting: figures[1], Slots: figures[2],
		Pace: uint16(min(figures[3], maxPace)),
	}
}
