package publisher

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"storj.io/drpc"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/checker"
	"waxwingseam.example/waxwingseam/messenger"
)

// The drpc paths of Watch and StoreEndings.
const (
	WatchMethod        = "/waxwingseam.Control/Watch"
	StoreEndingsMethod = "/waxwingseam.Control/StoreEndings"
)

// Description describes the drpc service of a publisher.
var Description = messenger.Description{
	{
		Name: WatchMethod,
		Receiver: func(service any, _ context.Context, in, _ any) (drpc.Message, error) {
			return nil, service.(Publisher).Watch(in.(drpc.Stream))
		},
		Expression: Publisher.Watch,
	},
	{
		Name: StoreEndingsMethod,
		Receiver: func(service any, ctx context.Context, in, _ any) (drpc.Message, error) {
			return service.(Publisher).StoreEndings(ctx, in.(*waxwingseam.EndingsMessage))
		},
		Expression: Publisher.StoreEndings,
	},
}

// EndingsStored is the empty answer to StoreEndings.
type EndingsStored struct{}

// Report is a message from a watcher. An empty report is a heartbeat. Each report
// renews the lease of the server that the watcher announced.
type Report struct {
	// Announcement is set in the first report of a watcher that announces a server,
	// and when it changes.
	Announcement *waxwingseam.Announcement `cbor:"1,keyasint,omitempty"`
	// Peer is set in the first report of another control replica.
	Peer bool `cbor:"2,keyasint,omitempty"`
	// Held is set in the first report, except that of a control replica, and when
	// it changes.
	Held *HeldRevision `cbor:"3,keyasint,omitempty"`
	// Interest is set in the first report, and when it changes.
	Interest *Interest `cbor:"4,keyasint,omitempty"`
	// Quarantine is set when the requests that the watcher refuses have changed.
	Quarantine *QuarantineReport `cbor:"5,keyasint,omitempty"`
	// Sent is when the report was sent, in milliseconds of the watcher's own clock. It is
	// set while the watcher's set has client accounts.
	Sent uint64 `cbor:"20,keyasint,omitempty"`
	// Tally is set when the watcher has answered roots of client accounts since its last
	// tally.
	Tally *waxwingseam.AccountTally `cbor:"21,keyasint,omitempty"`
	// Endings are those of the announced server that the watcher has recorded; set in the
	// first report of a server that has any, and when they change.
	Endings []waxwingseam.Ending `cbor:"6,keyasint,omitempty"`
	// RetryUse is what the watcher has spent of its part of the slack of the retry budget;
	// set when that has changed, and once after a connection was opened.
	RetryUse *waxwingseam.RetryUse `cbor:"7,keyasint,omitempty"`
}

// HeldRevision identifies the set that a watcher holds.
type HeldRevision struct {
	Revision waxwingseam.Revision `cbor:"1,keyasint"`
	// Digest is the digest of the set.
	Digest uint64 `cbor:"2,keyasint"`
}

// Interest lists the services whose servers are sent to a watcher.
type Interest struct {
	Services []waxwingseam.ServiceName `cbor:"1,keyasint,omitempty"`
	// All is set when the servers of all services are sent.
	All bool `cbor:"2,keyasint,omitempty"`
}

// Push is a message from a publisher. An empty push is a heartbeat.
type Push struct {
	// Steps are the changes that follow the latest revision that the watcher
	// reported or was sent, up to the newest revision.
	Steps []Step `cbor:"1,keyasint,omitempty"`
	// Set is the newest set, without keys, encoded with Pack. It is sent if the watcher has no
	// set or some of the steps are no longer kept.
	Set []byte `cbor:"2,keyasint,omitempty"`
	// Present and Gone list changes to the servers.
	Present []waxwingseam.Announcement `cbor:"3,keyasint,omitempty"`
	Gone    []waxwingseam.Announcement `cbor:"4,keyasint,omitempty"`
	// Complete is set when Present lists all servers that are sent to the
	// watcher: those of its Interest or, to another control replica, those that
	// announced themselves here.
	Complete bool `cbor:"5,keyasint,omitempty"`
	// Summary describes the watching nodes; sent only to other control replicas.
	Summary *RevisionSummary `cbor:"6,keyasint,omitempty"`
	// Unconfirmed is set while the replica has no valid confirmation that its
	// set is the newest. A node without a set receives unconfirmed pushes without
	// a set until a confirmation that was requested for this node succeeds.
	Unconfirmed bool `cbor:"7,keyasint,omitempty"`
	// Replicas lists the control replicas if they have changed.
	Replicas []netip.AddrPort `cbor:"8,keyasint,omitempty"`
	// LatestIncarnation is the latest known incarnation of the watcher; set
	// only if the watcher announced an earlier one.
	LatestIncarnation waxwingseam.Incarnation `cbor:"9,keyasint,omitempty"`
	// Orders are operators' decisions on requests that end backend servers.
	Orders []waxwingseam.QuarantineOrder `cbor:"10,keyasint,omitempty"`
	// Echo is Sent of the watcher's latest report. It shows a watcher that was stopped
	// for a while that a push is not one from before.
	Echo uint64 `cbor:"20,keyasint,omitempty"`
	// Usage is the use of client accounts over the nodes that watch the replica; sent
	// only to other control replicas.
	Usage *UsageSummary `cbor:"21,keyasint,omitempty"`
	// Endings are all known endings of the watcher's server or, to another control replica,
	// of the named servers. They are sent when they have changed.
	Endings map[waxwingseam.ServerName][]waxwingseam.Ending `cbor:"11,keyasint,omitempty"`
	// EndingsComplete is set once in each stream, with or after all endings of the watcher's
	// server that any replica knows or, to another control replica, all that this one knows.
	EndingsComplete bool `cbor:"12,keyasint,omitempty"`
	// UnstoredEndings are endings of the watcher's server that the replica knows and has not
	// stored. They are in force, and not confirmed to the node that reported them.
	UnstoredEndings []waxwingseam.Ending `cbor:"13,keyasint,omitempty"`
	// RetryHistory is what earlier processes of the watcher have spent of its part of the
	// retry budget. It is sent once in each stream, and again if the replica learns more.
	RetryHistory *waxwingseam.RetryHistory `cbor:"14,keyasint,omitempty"`
	// RetryUses, sent to other control replicas, are what nodes have stated to this one.
	RetryUses map[waxwingseam.ServerName]ServerRetryUse `cbor:"15,keyasint,omitempty"`
	// RetryUsesCovered is set once in each stream to another control replica, with all
	// statements that this one knows. It is the time for which they are complete.
	RetryUsesCovered time.Duration `cbor:"16,keyasint,omitempty"`
}

// Step is the change from the previous revision to Revision.
type Step struct {
	Revision waxwingseam.Revision `cbor:"1,keyasint"`
	Digest   uint64               `cbor:"2,keyasint"`
	// Change contains no keys.
	Change checker.Change `cbor:"3,keyasint"`
}

// RevisionSummary summarizes the revisions held by the nodes that watch one
// replica.
type RevisionSummary struct {
	// Replica is the replica that the nodes watch.
	Replica waxwingseam.ReplicaID `cbor:"1,keyasint" json:"replica"`
	Nodes   int                   `cbor:"2,keyasint" json:"nodes"`
	// Newest counts the nodes that hold the replica's own newest revision.
	Newest int `cbor:"3,keyasint" json:"newest"`
	// Lowest is the lowest revision that a node holds, or Revision if that is
	// lower or there are no nodes.
	Lowest waxwingseam.Revision `cbor:"4,keyasint" json:"lowest"`
	// Lagging names at most maxLagging nodes that hold an earlier revision.
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

// Unpack decompresses and decodes a set that was packed with Pack.
func Unpack(data []byte) (*waxwingseam.Set, error) {
	r := flate.NewReader(bytes.NewReader(data))
	var set waxwingseam.Set
	if err := cbor.NewDecoder(io.LimitReader(r, maxUnpacked)).Decode(&set); err != nil {
		return nil, trace.Wrap(err, "unpacking a set")
	}
	return &set, nil
}
