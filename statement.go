package waxwingseam

import (
	"strconv"
	"strings"
	"time"
)

// The kinds of the event and the effect for what backend servers say in answers.
const (
	KindBackendStated    Kind = "backend-stated"
	KindStatementChanged Kind = "statement-changed"
)

// Statement is what a backend server says of itself in the header of an answer.
type Statement struct {
	// Limited is set if the server names a rate limit. Rate is that limit in
	// requests per second, from all nodes together.
	Limited bool    `cbor:"1,keyasint,omitempty"`
	Rate    float64 `cbor:"2,keyasint,omitempty"`
	// Leaving is set if the server takes no new work. It holds until the end of
	// the server's incarnation.
	Leaving bool `cbor:"3,keyasint,omitempty"`
	// Unreadable is the text of a rate limit that is not a number. The limit that
	// was in force remains so.
	Unreadable string `cbor:"4,keyasint,omitempty"`
}

// leavingText is the text with which a backend server says that it is leaving.
const leavingText = "1"

// NewStatement returns the statement of a reply with the given texts for the rate
// limit, a decimal number of at least 0, and for leaving; either may be empty.
func NewStatement(limit, leaving string) Statement {
	s := Statement{Leaving: strings.TrimSpace(leaving) == leavingText}
	limit = strings.TrimSpace(limit)
	if limit == "" {
		return s
	}
	rate, ok := parseDecimal(limit)
	if !ok {
		s.Unreadable = limit[:min(len(limit), maxUnreadableLength)]
		return s
	}
	s.Limited, s.Rate = true, rate
	return s
}

// maxUnreadableLength bounds the part of an unreadable text that is logged.
const maxUnreadableLength = 40

// parseDecimal parses a finite number written with digits and at most one point.
func parseDecimal(text string) (float64, bool) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil
}

// BackendIncarnation identifies one incarnation of a backend server.
type BackendIncarnation struct {
	Instance string    `cbor:"1,keyasint,omitempty"`
	Started  time.Time `cbor:"2,keyasint,omitzero"`
	// Node is the incarnation of the node if the server reports no instance.
	Node Incarnation `cbor:"3,keyasint,omitempty"`
}

// Equal reports whether i and o are the same incarnation.
func (i BackendIncarnation) Equal(o BackendIncarnation) bool {
	return i.Instance == o.Instance && i.Started.Equal(o.Started) && i.Node == o.Node
}

// BackendIncarnation returns the incarnation of the backend server itself, which
// may outlast that of its node.
func (s Server) BackendIncarnation() BackendIncarnation {
	if s.Instance == "" {
		return BackendIncarnation{Node: s.Incarnation}
	}
	return BackendIncarnation{Instance: s.Instance, Started: s.Started}
}

// KnownStatement is a statement as one node reports it to another.
type KnownStatement struct {
	Backend   BackendIncarnation `cbor:"1,keyasint"`
	Statement Statement          `cbor:"2,keyasint"`
	// Age is how long ago the reporting node learned the statement.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// BackendStated is the statement in an answer of the node's own backend server.
type BackendStated struct {
	Stamp
	Backend BackendIncarnation
	// HandOver is that of the run that was answered; see Run.HandOver.
	HandOver  uint64
	Statement Statement
}

// StatementSource says how a node learned a statement.
type StatementSource string

// The sources of statements.
const (
	// StatementFromAnswer is an answer of the node's own backend server.
	StatementFromAnswer StatementSource = "answer"
	// StatementFromSender is an attempt whose sender knew the statement.
	StatementFromSender StatementSource = "sender"
	// StatementFromPeer is an answer of another node about its backend server.
	StatementFromPeer StatementSource = "peer"
	// StatementFromRestart is a new incarnation of the backend server, which has
	// said nothing yet.
	StatementFromRestart StatementSource = "restart"
)

// StatementChanged says that the statement of a backend server that is in force
// at the node has changed, or that a limit in an answer was unreadable.
type StatementChanged struct {
	Server    ServerName
	Backend   BackendIncarnation
	Statement Statement
	Source    StatementSource
	// Age is how long ago the answer with the statement was received.
	Age time.Duration
}

// Kind implements Event.
func (BackendStated) Kind() Kind { return KindBackendStated }

// Kind implements Effect.
func (StatementChanged) Kind() Kind { return KindStatementChanged }
