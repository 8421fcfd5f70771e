package waxwingseam

import (
	"context"
	"net/netip"
	"time"
)

// The kinds of the event and the effect by which a backend server that has left stays left
// when the node beside it restarts.
const (
	KindEndingsLearned Kind = "endings-learned"
	KindRecordEnding   Kind = "record-ending"
	KindServerKeptOut  Kind = "server-kept-out"
	KindServerAdmitted Kind = "server-admitted"
	KindEndingsAdded   Kind = "endings-added"
)

// PurposeBackendStarted is the purpose of the timer after which a started node uses its
// backend server although it may not have heard of all endings.
const PurposeBackendStarted TimerPurpose = "backend-started"

// BackendState is the state that a backend server reports.
type BackendState uint8

const (
	// BackendReady means that the backend server takes new work.
	BackendReady BackendState = iota + 1
	// BackendDraining means that the backend server finishes its work and then
	// leaves.
	BackendDraining
	// BackendGone means that the backend server has left.
	BackendGone
)

// String returns the state's name.
func (s BackendState) String() string {
	switch s {
	case BackendReady:
		return "ready"
	case BackendDraining:
		return "draining"
	}
	return "gone"
}

// BackendReport is a heartbeat of the node's own backend server, or the notice
// that it leaves.
type BackendReport struct {
	// Instance identifies one incarnation of the backend server, or several if
	// it restarts under the same identifier.
	Instance string
	Service  ServiceName
	State    BackendState
	// Slots is how many calls the backend server runs concurrently; 0 if not
	// reported.
	Slots int
	// Started is when the backend server's incarnation began, on the server's
	// clock; zero if not reported.
	Started time.Time
	// Sequence orders the heartbeats of one incarnation; 0 for a leave.
	Sequence uint64
	// ColdFor is how much longer the backend server will be slow after its start;
	// 0 if not reported.
	ColdFor time.Duration
}

// Ending states that an incarnation of a backend server has reported that it is draining
// or gone. It is never used again.
type Ending struct {
	Instance string `cbor:"1,keyasint"`
	// Started is that of the report; zero if not reported.
	Started time.Time `cbor:"2,keyasint,omitzero"`
	// At is when the node received the report, on its clock.
	At time.Time `cbor:"3,keyasint"`
}

// EndingsMessage tells of endings of one node's backend server.
type EndingsMessage struct {
	Server ServerName `cbor:"1,keyasint"`
	// Node is the address of the node beside the server.
	Node    netip.AddrPort `cbor:"2,keyasint"`
	Endings []Ending       `cbor:"3,keyasint"`
}

// EndingsLearned tells a node of endings of its backend server that it may have forgotten.
type EndingsLearned struct {
	Stamp
	Endings []Ending
	// Complete is set if no other endings are known to control.
	Complete bool
}

// Kind implements Event.
func (EndingsLearned) Kind() Kind { return KindEndingsLearned }

// RecordEnding has an ending recorded outside the node. It answers each report that an
// incarnation drains or is gone.
type RecordEnding struct {
	// Request is that of the report.
	Request uint64
	// Ending is zero if the report changed nothing.
	Ending Ending
}

// Kind implements Effect.
func (RecordEnding) Kind() Kind { return KindRecordEnding }

// ServerKeptOut tells that a ready backend server is not used, as its incarnation has reported
// before that it drains or is gone.
type ServerKeptOut struct {
	Instance string
	Started  time.Time
	Sequence uint64
}

// Kind implements Effect.
func (ServerKeptOut) Kind() Kind { return KindServerKeptOut }

// AdmissionBasis says why a started node uses its backend server.
type AdmissionBasis string

// The bases for the use of a backend server.
const (
	// AdmittedByControl: control has named all endings that it knows.
	AdmittedByControl AdmissionBasis = "control"
	// AdmittedAsNew: the incarnation began with the node's process or after it.
	AdmittedAsNew AdmissionBasis = "began-with-node"
	// AdmittedUnconfirmed: control did not answer within the wait.
	AdmittedUnconfirmed AdmissionBasis = "unconfirmed"
)

// ServerAdmitted tells that a started node uses ready reports from now on.
type ServerAdmitted struct {
	Basis AdmissionBasis
	// After is the time since the start of the node.
	After time.Duration
	// Held is the number of reports that were kept back until now.
	Held int
}

// Kind implements Effect.
func (ServerAdmitted) Kind() Kind { return KindServerAdmitted }

// EndingsAdded tells of endings that the node learned from control or from another node and
// did not know.
type EndingsAdded struct {
	Endings []Ending
}

// Kind implements Effect.
func (EndingsAdded) Kind() Kind { return KindEndingsAdded }

// Reporter receives the reports of the node's own backend server. A report is in force when
// Report returns. A report that an incarnation drains or is gone is also recorded outside the
// node, unless an error is returned.
type Reporter interface {
	Report(ctx context.Context, r BackendReport) error
}
