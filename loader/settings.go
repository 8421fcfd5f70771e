// Package loader reads and checks the settings file of one process.
package loader

import (
	"log/slog"
	"net/netip"
	"net/url"
	"time"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/logger"
)

// Settings contains the settings of one process.
type Settings struct {
	Process Process
	// Node is nil when the process has no node role.
	Node *Node
	// Control is nil when the process has no control role.
	Control *Control
	// TLS is nil when the process uses plain text.
	TLS *TLS
}

// Process contains the settings that every process has.
type Process struct {
	DataCentre waxwingseam.DataCentre
	// PeerAddress is where other processes of the system reach this one.
	PeerAddress netip.AddrPort
	// Interface names the set of protocols for callers, backend servers and
	// operators; empty selects the project's own.
	Interface string
	// ReadinessAddress is the listener that answers whether the process accepts new
	// work; the zero value for none.
	ReadinessAddress netip.AddrPort
	// DrainTime is the minimum time from the stop request until the process
	// exits, so that callers are notified before it does.
	DrainTime time.Duration
	// DrainLimit is the time from the stop request until the process would be
	// killed; it exits shortly before. 0 for no limit.
	DrainLimit time.Duration
	// TelemetryAddress serves metrics and readiness; the zero value for none.
	TelemetryAddress netip.AddrPort
	// ControlAddresses are the peer addresses of control replicas.
	ControlAddresses []netip.AddrPort
	// ControlAddressesAreSeeds is set if ControlAddresses are the same for all
	// processes and not in order of preference.
	ControlAddressesAreSeeds bool
	// MemoryLimit is the memory that the process may use, in bytes; 0 for no
	// limit.
	MemoryLimit int64
	// BodyRate and ReplyRate are the least bytes per second that a caller has to send of a
	// request body and to read of an answer, and ProgressGrace is how long either may take
	// beyond that; 0 selects the defaults of pipeliner.Limits.
	BodyRate      int
	ReplyRate     int
	ProgressGrace time.Duration
	// HeaderFields is the most header fields of a request, and CallerConnections the most
	// open connections of callers; 0 selects the defaults.
	HeaderFields      int
	CallerConnections int
	LogLevel          slog.Level
	LogFormat         logger.Format
	// TraceEndpoint is the OTLP collector's URL; nil for none.
	TraceEndpoint *url.URL
	// TraceSamplePercent is the percentage of new traces that are recorded.
	TraceSamplePercent int
	// PlainText allows plain text on addresses other than loopback.
	PlainText bool
}

// Node contains the settings of the node role.
type Node struct {
	ServerName waxwingseam.ServerName
	Service    waxwingseam.ServiceName
	// EntryAddress is where callers reach the node.
	EntryAddress netip.AddrPort
	// OutboundAddress is the loopback listener for the backend server's calls.
	OutboundAddress netip.AddrPort
	// HeartbeatAddress receives the backend server's heartbeats; the zero value
	// if the server sends none and is assumed to be ready.
	HeartbeatAddress netip.AddrPort
	// NearFirst keeps calls in the node's data centre while a server there has
	// capacity.
	NearFirst bool
	// RetryBudget bounds the repeated calls sent to the service's backend servers.
	RetryBudget waxwingseam.RetryBudget
	// BackendAddress is where the backend server listens.
	BackendAddress netip.AddrPort
}

// Control contains the settings of the control role.
type Control struct {
	Replica waxwingseam.ReplicaID
	// Voter is set for a replica that becomes a voter after it has received all
	// committed entries.
	Voter bool
	// Founder is set at the first start of the whole system: the replicas at the
	// control addresses then form a new cluster.
	Founder bool
	// ToleratedLosses is how many replicas may lose their disks at once; 0 if
	// operators replace replicas manually.
	ToleratedLosses int
	// DataFolder contains the replica's durable state.
	DataFolder string
	// OperatorAddress serves the operator API.
	OperatorAddress netip.AddrPort
	// TokensFile lists the operators' tokens; empty for none.
	TokensFile string
}

// TLS contains the paths of the process's TLS files.
type TLS struct {
	CertificateFile string
	KeyFile         string
	// AuthorityFile contains the CA certificates that verify peer certificates.
	AuthorityFile string
}
