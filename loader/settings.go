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

// Settings is what one process must know to start.
type Settings struct {
	Process Process
	// Node is nil when the process has no node role.
	Node *Node
	// Control is nil when the process has no control role.
	Control *Control
	// TLS is nil when the process speaks plain text.
	TLS *TLS
}

// Process holds the settings of every process.
type Process struct {
	DataCentre waxwingseam.DataCentre
	// PeerAddress is where other processes of the system reach this one.
	PeerAddress netip.AddrPort
	// Interface names how callers, backend servers and operators speak to the
	// process.
	Interface string
	// ReadinessAddress answers whether the process takes new work; the zero
	// value for none.
	ReadinessAddress netip.AddrPort
	// DrainTime is the least time from the request to stop until the process
	// leaves, so that callers learn that it does.
	DrainTime time.Duration
	// DrainLimit is when the process would be killed after the request to stop;
	// it leaves shortly before. 0 for never.
	DrainLimit time.Duration
	// TelemetryAddress serves metrics and readiness; the zero value for none.
	TelemetryAddress netip.AddrPort
	// ControlAddresses are the peer addresses of control replicas.
	ControlAddresses []netip.AddrPort
	// ControlAddressesAreSeeds is set where they are seeds, the same for all processes, and not in an
	// order of preference.
	ControlAddressesAreSeeds bool
	// MemoryLimit is the memory that the process may use, in bytes; 0 for no
	// limit.
	MemoryLimit int64
	LogLevel    slog.Level
	LogFormat   logger.Format
	// TraceEndpoint is the OTLP collector's URL; nil for none.
	TraceEndpoint *url.URL
	// TraceSamplePercent is the share of new traces that are recorded.
	TraceSamplePercent int
	// PlainText allows plain text beyond loopback.
	PlainText bool
}

// Node holds the settings of the node role.
type Node struct {
	ServerName waxwingseam.ServerName
	Service    waxwingseam.ServiceName
	// EntryAddress is where callers reach the node.
	EntryAddress netip.AddrPort
	// OutboundAddress is the loopback listener for the backend server's calls.
	OutboundAddress netip.AddrPort
	// HeartbeatAddress takes the heartbeats of the backend server; the zero value
	// where it sends none and is taken to be ready.
	HeartbeatAddress netip.AddrPort
	// NearFirst keeps calls in the own data centre while a server there has room.
	NearFirst bool
	// RetryBudget bounds the repeated calls that the backend server is handed.
	RetryBudget waxwingseam.RetryBudget
	// BackendAddress is where the backend server listens.
	BackendAddress netip.AddrPort
}

// Control holds the settings of the control role.
type Control struct {
	Replica waxwingseam.ReplicaID
	// Voter is set for a replica that votes once it holds all that is committed.
	Voter bool
	// Founder is set at the first start of the whole system: the control
	// addresses are then the first replicas of a new cluster.
	Founder bool
	// ToleratedLosses is how many replicas may lose their disks at once; 0 where
	// operators replace replicas by hand.
	ToleratedLosses int
	// DataFolder holds the replica's durable state.
	DataFolder string
	// OperatorAddress serves the operator API.
	OperatorAddress netip.AddrPort
	// TokensFile lists the operators' tokens; empty for none.
	TokensFile string
}

// TLS names the files of the process's certificate.
type TLS struct {
	CertificateFile string
	KeyFile         string
	// AuthorityFile holds the certificates that peers are checked against.
	AuthorityFile string
}
