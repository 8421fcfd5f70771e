package waxwingseam

import (
	"encoding/hex"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
)

// The kinds of the events and effects by which nodes find requests that end the backend
// servers that run them, and keep these requests from further servers.
const (
	KindBackendProbed     Kind = "backend-probed"
	KindEndsReceived      Kind = "ends-received"
	KindQuarantineOrdered Kind = "quarantine-ordered"
	KindProbeBackend      Kind = "probe-backend"
	KindSendEnds          Kind = "send-ends"
	KindWatchRequests     Kind = "watch-requests"
	KindBackendEnded      Kind = "backend-ended"
	KindQuarantineChanged Kind = "quarantine-changed"
)

// RequestDigest is a cryptographic digest of the method, host, target, caller and body of
// a request, so that no request can be made to look like another.
type RequestDigest [IDSize]byte

// String returns the hexadecimal form of the digest.
func (d RequestDigest) String() string {
	return hex.EncodeToString(d[:])
}

// IsZero reports whether the digest is unset.
func (d RequestDigest) IsZero() bool {
	return d == RequestDigest{}
}

// MarshalText implements encoding.TextMarshaler.
func (d RequestDigest) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *RequestDigest) UnmarshalText(text []byte) error {
	parsed, err := ParseRequestDigest(string(text))
	*d = parsed
	return err
}

// ParseRequestDigest parses the hexadecimal form of a digest.
func ParseRequestDigest(s string) (RequestDigest, error) {
	id, err := ParseCallID(s)
	if err != nil {
		return RequestDigest{}, trace.BadParameter("a request digest is %d hexadecimal digits", hex.EncodedLen(IDSize))
	}
	return RequestDigest(id), nil
}

// Fingerprint identifies a request across resends, whatever the call, the connection and
// the node. Fields that are not needed or not known yet are zero.
type Fingerprint struct {
	// Digest is the request's identity.
	Digest RequestDigest `cbor:"1,keyasint,omitzero"`
	// Head is a fast hash of the request without its body. It selects the requests
	// whose digest is computed.
	Head uint64 `cbor:"2,keyasint,omitempty"`
	// Quick is a fast hash of the whole request. As it can be forged, it can clear a
	// request but not accuse it.
	Quick uint64 `cbor:"3,keyasint,omitempty"`
}

// ConnectionEnd says how the connection of a run to the backend server ended.
type ConnectionEnd uint8

const (
	// ConnectionKept means that the connection did not end the run.
	ConnectionKept ConnectionEnd = iota
	// ConnectionBroken means that the connection ended, or went silent, before the
	// whole reply.
	ConnectionBroken
	// ConnectionRefused means that nothing listens at the backend server's address.
	ConnectionRefused
)

// ServerEndID identifies one end of a backend server.
type ServerEndID struct {
	Server ServerName `cbor:"1,keyasint"`
	// Incarnation is that of the node beside the server, and Number counts the ends
	// that the node has noticed in this incarnation.
	Incarnation Incarnation `cbor:"2,keyasint"`
	Number      uint64      `cbor:"3,keyasint"`
}

// ServerEnd is the unplanned end of a backend server, with the requests that it was
// running.
type ServerEnd struct {
	ID      ServerEndID `cbor:"1,keyasint"`
	Service ServiceName `cbor:"2,keyasint"`
	// Age is how long ago the server ended.
	Age time.Duration `cbor:"3,keyasint"`
	// Proven is set if the server had completed another run since its start, so that
	// it does not end whatever it runs.
	Proven bool `cbor:"4,keyasint,omitempty"`
	// Ordered is set if an operator has a request refused. No server has ended then.
	Ordered bool `cbor:"6,keyasint,omitempty"`
	// Requests are the requests that the server was running.
	Requests []EndedRequest `cbor:"5,keyasint"`
}

// EndedRequest is a request that a backend server was running when it ended.
type EndedRequest struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	// Cleared is set once the request has been seen to run well, or an operator has
	// lifted its quarantine.
	Cleared bool `cbor:"2,keyasint,omitempty"`
}

// EndsMessage is what one node knows of ends, for another node.
type EndsMessage struct {
	// From is the address of the sending node.
	From netip.AddrPort `cbor:"1,keyasint"`
	Ends []ServerEnd    `cbor:"2,keyasint,omitempty"`
	// Digest is a digest of all that the sender knows. It is 0 in a message that is
	// not to be compared.
	Digest uint64 `cbor:"3,keyasint,omitempty"`
	// Reply is set in an answer to a comparison, which is compared once more but not
	// answered with another comparison.
	Reply bool `cbor:"4,keyasint,omitempty"`
}

// BackendProbed is the result of a ProbeBackend.
type BackendProbed struct {
	Stamp
	// Refused is set if nothing listens at the backend server's address.
	Refused bool
}

// QuarantineOrder is an operator's decision on one request.
type QuarantineOrder struct {
	Digest RequestDigest `cbor:"1,keyasint" json:"digest"`
	// Lift is set to let the request run again, and unset to refuse it.
	Lift bool `cbor:"2,keyasint,omitempty" json:"lift"`
}

// QuarantineOrdered is an operator's decision, passed on by control.
type QuarantineOrdered struct {
	Stamp
	Order QuarantineOrder
}

// EndsReceived is a message from another node.
type EndsReceived struct {
	Stamp
	Message EndsMessage
}

// ProbeBackend asks whether the backend server still accepts connections.
type ProbeBackend struct{}

// SendEnds sends a message to other nodes. Nodes that can't be reached learn of its content
// from later comparisons.
type SendEnds struct {
	To      []netip.AddrPort
	Message EndsMessage
}

// WatchRequests replaces the watched heads: attempts whose requests have one of them are
// reported with their digest.
type WatchRequests struct {
	Heads []uint64
}

// EndProof says how the end of a backend server was told.
type EndProof string

const (
	// EndProofRefused means that connections were refused after runs had broken off.
	EndProofRefused EndProof = "connections-refused"
	// EndProofRestarted means that the server reported a new start after runs had
	// broken off.
	EndProofRestarted EndProof = "restarted"
)

// BackendEnded says that the node's own backend server has ended.
type BackendEnded struct {
	End      ServerEnd
	Instance string
	Proof    EndProof
}

// QuarantineState says whether a request may run.
type QuarantineState string

const (
	// QuarantineSet means that the request is refused.
	QuarantineSet QuarantineState = "set"
	// QuarantineTrial means that one node of the service may run the request, one run at a
	// time.
	QuarantineTrial QuarantineState = "trial"
	// QuarantineLifted means that the request runs like any other.
	QuarantineLifted QuarantineState = "lifted"
)

// QuarantineChanged says that a request is refused from now on, or no longer, and on what
// that is based.
type QuarantineChanged struct {
	Request QuarantinedRequest
}

// QuarantinedRequest is a request that has ended backend servers.
type QuarantinedRequest struct {
	Digest RequestDigest   `json:"digest"`
	State  QuarantineState `json:"state"`
	// Ends counts the ends of servers that the request explains, and Servers the names
	// of these servers.
	Ends    int `json:"ends"`
	Servers int `json:"servers"`
	// RunnerUp is the number of these ends at which the next most frequent request was
	// running, too.
	RunnerUp int `json:"runner-up"`
	// Proven counts those ends at which the server was known to be sound; see ServerEnd.
	Proven int `json:"proven"`
	// Until is when the state ends by itself; zero if it is lifted.
	Until time.Time `json:"until,omitzero"`
}

// Quarantine keeps requests that end the backend servers that run them from further
// servers.
type Quarantine interface {
	Worker
	// Check returns why the request of a call may not run now at the node's own backend
	// server, and when it may be sent again; ReasonNone if it may run.
	Check(c *Context, id CallID, f Fingerprint) (reason Reason, retryAfter time.Duration)
}

// Kind implements Event.
func (BackendProbed) Kind() Kind { return KindBackendProbed }

// Kind implements Event.
func (EndsReceived) Kind() Kind { return KindEndsReceived }

// Kind implements Event.
func (QuarantineOrdered) Kind() Kind { return KindQuarantineOrdered }

// Kind implements Effect.
func (ProbeBackend) Kind() Kind { return KindProbeBackend }

// Kind implements Effect.
func (SendEnds) Kind() Kind { return KindSendEnds }

// Kind implements Effect.
func (WatchRequests) Kind() Kind { return KindWatchRequests }

// Kind implements Effect.
func (BackendEnded) Kind() Kind { return KindBackendEnded }

// Kind implements Effect.
func (QuarantineChanged) Kind() Kind { return KindQuarantineChanged }
