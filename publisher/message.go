package publisher

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"storj.io/drpc"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/checker"
	"waxwingseam.example/waxwingseam/messenger"
)

// WatchMethod is the drpc path of Watch.
const WatchMethod = "/waxwingseam.Control/Watch"

// Description describes the drpc service of a publisher.
var Description = messenger.Description{{
	Name: WatchMethod,
	Receiver: func(service any, _ context.Context, in, _ any) (drpc.Message, error) {
		return nil, service.(Publisher).Watch(in.(drpc.Stream))
	},
	Expression: Publisher.Watch,
}}

// Report is what a watcher sends. An empty one is a heartbeat, and renews the
// lease of what was announced.
type Report struct {
	// Announcement is set in the first report, and when it changes.
	Announcement *waxwingseam.Announcement `cbor:"1,keyasint,omitempty"`
	// Peer is set in the first report of another control replica.
	Peer bool `cbor:"2,keyasint,omitempty"`
	// Held is set in the first report, and when it changes.
	Held *HeldRevision `cbor:"3,keyasint,omitempty"`
	// Interest is set in the first report, and when it changes.
	Interest *Interest `cbor:"4,keyasint,omitempty"`
}

// HeldRevision identifies the set that a watcher holds.
type HeldRevision struct {
	Revision waxwingseam.Revision `cbor:"1,keyasint"`
	// Digest is that of the set.
	Digest uint64 `cbor:"2,keyasint"`
}

// Interest lists the services whose servers a watcher wants to know.
type Interest struct {
	Services []waxwingseam.ServiceName `cbor:"1,keyasint,omitempty"`
	// All is set when it wants to know those of all services.
	All bool `cbor:"2,keyasint,omitempty"`
}

// Push is what a publisher sends. An empty one is a heartbeat.
type Push struct {
	// Steps lead from the held revision to the newest.
	Steps []Step `cbor:"1,keyasint,omitempty"`
	// Set is a whole set, packed, where steps are not to be had.
	Set []byte `cbor:"2,keyasint,omitempty"`
	// Present and Gone are changes to the servers.
	Present []waxwingseam.Announcement `cbor:"3,keyasint,omitempty"`
	Gone    []waxwingseam.Announcement `cbor:"4,keyasint,omitempty"`
	// Complete is set when Present lists all servers of interest.
	Complete bool `cbor:"5,keyasint,omitempty"`
	// Summary sums up the watchers, for other control replicas.
	Summary *RevisionSummary `cbor:"6,keyasint,omitempty"`
	// Unconfirmed is set while the replica cannot tell whether its set is the
	// newest. A node that has none does not get it then.
	Unconfirmed bool `cbor:"7,keyasint,omitempty"`
	// Replicas lists the control replicas, when they have changed.
	Replicas []netip.AddrPort `cbor:"8,keyasint,omitempty"`
	// LatestIncarnation is the latest known incarnation of the watcher; set
	// only if the watcher announced an earlier one.
	LatestIncarnation waxwingseam.Incarnation `cbor:"9,keyasint,omitempty"`
}

// Step is the change to one revision from the one before.
type Step struct {
	Revision waxwingseam.Revision `cbor:"1,keyasint"`
	Digest   uint64               `cbor:"2,keyasint"`
	Change   checker.Change       `cbor:"3,keyasint"`
}

// RevisionSummary sums up the revisions in force at the nodes of one replica.
type RevisionSummary struct {
	// Replica is the replica that the nodes watch.
	Replica waxwingseam.ReplicaID `cbor:"1,keyasint" json:"replica"`
	Nodes   int                   `cbor:"2,keyasint" json:"nodes"`
	// Newest counts the nodes that hold the replica's own newest revision.
	Newest int `cbor:"3,keyasint" json:"newest"`
	// Lowest is the lowest revision that a node holds.
	Lowest waxwingseam.Revision `cbor:"4,keyasint" json:"lowest"`
	// Lagging names nodes that hold an earlier one, at most maxLagging.
	Lagging []waxwingseam.ServerName `cbor:"5,keyasint,omitempty" json:"lagging,omitempty"`
	// Revision is the replica's own newest revision.
	Revision waxwingseam.Revision `cbor:"6,keyasint" json:"revision"`
}

// Pack encodes and compresses a set.
func Pack(set *waxwingseam.Set) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := cbor.NewEncoder(w).Encode(set); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return b.Bytes(), nil
}

// maxUnpacked bounds the encoded size of a set, in bytes.
const maxUnpacked = 64 << 20

// Unpack reads what Pack returned.
func Unpack(data []byte) (*waxwingseam.Set, error) {
	r := flate.NewReader(bytes.NewReader(data))
	var set waxwingseam.Set
	if err := cbor.NewDecoder(io.LimitReader(r, maxUnpacked)).Decode(&set); err != nil {
		return nil, trace.Wrap(err, "packed set")
	}
	return &set, nil
}
