package waxwingseam

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"time"
)

// The kinds of the event and the effect by which nodes keep the limits of client
// accounts together.
const (
	KindAccountMessageReceived Kind = "account-message-received"
	KindAccountMessageRefused  Kind = "account-message-refused"
	KindSendAccountMessage     Kind = "send-account-message"
)

// AccountName names a client account object.
type AccountName string

// KeyDigest identifies a key of a client account without revealing it.
type KeyDigest [IDSize]byte

// DigestKey returns the digest of a key: the beginning of its SHA-256. Keys are long
// random texts, so that the digest needs no salt.
func DigestKey(key string) KeyDigest {
	// The array keeps usual keys off the heap.
	var usual [128]byte
	sum := sha256.Sum256(append(usual[:0], key...))
	return KeyDigest(sum[:IDSize])
}

// IsZero reports whether the digest is unset.
func (d KeyDigest) IsZero() bool {
	return d == KeyDigest{}
}

// String returns the hexadecimal form of the digest.
func (d KeyDigest) String() string {
	return hex.EncodeToString(d[:])
}

// Authenticator identifies the client account of a root at its first node.
type Authenticator interface {
	// Adopt puts a configuration in force.
	Adopt(s *Set)
	// Required reports whether the configuration has client accounts.
	Required() bool
	// Authenticate returns the account that holds a key; false if there is none.
	Authenticate(key KeyDigest) (ClientAccount, bool)
}

// AccountDecision is the decision on one root of a client account.
type AccountDecision struct {
	// Call is the root that the decision is on.
	Call CallID
	// Pending is set if the decision follows after a message of another node; all
	// other fields are unset then.
	Pending bool
	// Admitted is set if the root is within the limit of its account.
	Admitted bool
	// RetryAfter is when a refused caller may return.
	RetryAfter time.Duration
	// Used and Limit are the account's requests per second over all nodes, as far as
	// the node knows, and Age is how old the knowledge is.
	Used  float64
	Limit float64
	Age   time.Duration
}

// AccountLimiter keeps the requests of client accounts within their limits, over all
// nodes together.
type AccountLimiter interface {
	// Adopt puts a configuration in force.
	Adopt(c *Context, s *Set)
	// Take decides whether a root of an account may be sent. A pending decision is
	// returned by a later call of Decided, at most maxWait later.
	Take(c *Context, account AccountName, id CallID, maxWait time.Duration) AccountDecision
	// Decided returns the pending decisions that have been made since the last call.
	Decided(c *Context) []AccountDecision
	// Withdraw ends a pending decision.
	Withdraw(c *Context, id CallID)
	// Refund gives back the use of a root that was admitted at the given time and did
	// not run. A use that is older than the window of the limit is not given back.
	Refund(c *Context, account AccountName, admitted time.Time)
	AccountDemands
}

// AccountDemand is what a node knows of the demand of one client account.
type AccountDemand struct {
	// Offered is how many roots per second the account's callers send to all nodes
	// together, and Admitted how many of these are within the account's limit.
	Offered  float64
	Admitted float64
	// Age is how old the knowledge is.
	Age time.Duration
}

// AccountDemands estimates the demand of client accounts over all nodes.
type AccountDemands interface {
	// Demand returns what is known of an account; false if nothing is.
	Demand(now time.Time, account AccountName) (AccountDemand, bool)
}

// SendAccountMessage sends a message about client accounts to other nodes.
type SendAccountMessage struct {
	To []netip.AddrPort
	// Message is encoded by the package that implements the AccountLimiter.
	Message []byte
}

// AccountMessageReceived is a message of another node about client accounts.
type AccountMessageReceived struct {
	Stamp
	Message []byte
}

// AccountMessageRefused says that nothing listens at the address of a node to which a
// message about client accounts was sent: the node's process has ended. A node that is
// frozen or can't be reached does not refuse connections.
type AccountMessageRefused struct {
	Stamp
	To netip.AddrPort
}

// Kind implements Event.
func (AccountMessageReceived) Kind() Kind { return KindAccountMessageReceived }

// Kind implements Event.
func (AccountMessageRefused) Kind() Kind { return KindAccountMessageRefused }

// Kind implements Effect.
func (SendAccountMessage) Kind() Kind { return KindSendAccountMessage }
