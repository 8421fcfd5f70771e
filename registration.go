package waxwingseam

import "time"

// Announcement is a node's description of its own backend server.
type Announcement struct {
	Server Server `cbor:"1,keyasint"`
	// Sequence orders the announcements of one incarnation.
	Sequence uint64 `cbor:"2,keyasint"`
}

// Newer reports whether a is newer than o, an announcement of the same server.
func (a Announcement) Newer(o Announcement) bool {
	if a.Server.Incarnation != o.Server.Incarnation {
		return a.Server.Incarnation > o.Server.Incarnation
	}
	return a.Sequence > o.Sequence
}

// The kinds of the events and effects of a registrar.
const (
	KindServerAnnounced       Kind = "server-announced"
	KindLeaseRenewed          Kind = "lease-renewed"
	KindPeerServersUpdated    Kind = "peer-learned"
	KindPeerLost              Kind = "peer-lost"
	KindServersChanged        Kind = "servers-changed"
	KindServerSuperseded      Kind = "server-outlived"
	KindIncarnationSuperseded Kind = "life-outlived"
)

// ServerAnnounced is an announcement that a node made to this registrar.
type ServerAnnounced struct {
	Stamp
	Announcement Announcement
}

// LeaseRenewed renews the lease of a node that announces itself to this
// registrar.
type LeaseRenewed struct {
	Stamp
	Server      ServerName
	Incarnation Incarnation
}

// PeerServersUpdated lists changes to the servers that announce themselves to
// another registrar. Peer is that registrar's address.
type PeerServersUpdated struct {
	Stamp
	Peer    string
	Present []Announcement
	Gone    []Announcement
	// Complete is set when Present lists all of the peer's servers.
	Complete bool `cbor:"Whole"`
}

// PeerLost says that another registrar is unreachable.
type PeerLost struct {
	Stamp
	Peer string
}

// ServersChanged lists changes to the table of servers.
type ServersChanged struct {
	Present []Registration
	Gone    []Registration
}

// ServerSuperseded tells a node that a later incarnation of it was announced
// before, as happens after its clock was set back.
type ServerSuperseded struct {
	Server      ServerName
	Incarnation Incarnation
}

// IncarnationSuperseded says that control has recorded a later incarnation of
// the node than its current one.
type IncarnationSuperseded struct {
	Stamp
	Incarnation Incarnation
}

// Registration is one server in the table of a registrar.
type Registration struct {
	Announcement Announcement
	// Peer is the other registrar that the server announced itself to; empty
	// for a server that announced itself to this one.
	Peer string
	// Expires is the end of the lease; unset if Peer is set.
	Expires time.Time
	// Lapsed is set on a server that is kept although its lease has ended.
	Lapsed bool
}

// Kind implements Event.
func (ServerAnnounced) Kind() Kind { return KindServerAnnounced }

// Kind implements Event.
func (LeaseRenewed) Kind() Kind { return KindLeaseRenewed }

// Kind implements Event.
func (PeerServersUpdated) Kind() Kind { return KindPeerServersUpdated }

// Kind implements Event.
func (PeerLost) Kind() Kind { return KindPeerLost }

// Kind implements Event.
func (IncarnationSuperseded) Kind() Kind { return KindIncarnationSuperseded }

// Kind implements Effect.
func (ServerSuperseded) Kind() Kind { return KindServerSuperseded }

// Kind implements Effect.
func (ServersChanged) Kind() Kind { return KindServersChanged }
