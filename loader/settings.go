// Package loader reads and checks the settings file of one process.
package loader

import (
	"log/slog"
	"net/netip"
	"net/url"

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
	// TelemetryAddress serves metrics and readiness; the zero value for none.
	TelemetryAddress netip.AddrPort
	// ControlAddresses are the peer addresses of control replicas.
	ControlAddresses []netip.AddrPort
	LogLevel         slog.Level
	LogFormat        logger.Format
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
	// BackendAddress is where the backend server listens.
	BackendAddress netip.AddrPort
}

// Control holds the settings of the control role.
type Control struct {
	Replica waxwingseam.ReplicaID
	// Voter is set for a replica that votes once it holds all that is committed.
	Voter bool
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
