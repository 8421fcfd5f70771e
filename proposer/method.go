package proposer

import (
	"context"

	"github.com/gravitational/trace"
	"storj.io/drpc"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/messenger"
)

// LeaderRequest asks a leader to apply a command, to change the membership, or
// to confirm a read. Read takes precedence over Change, and Change over
// Command.
type LeaderRequest struct {
	Cluster waxwingseam.ClusterID         `cbor:"1,keyasint"`
	To      waxwingseam.StorageID         `cbor:"2,keyasint"`
	Command []byte                        `cbor:"3,keyasint,omitempty"`
	Change  *waxwingseam.MembershipChange `cbor:"4,keyasint,omitempty"`
	Read    bool                          `cbor:"5,keyasint,omitempty"`
}

// event returns the reducer's event for the request.
func (q *LeaderRequest) event(s waxwingseam.Stamp, id waxwingseam.RequestID) waxwingseam.Event {
	switch {
	case q.Read:
		return waxwingseam.ReadAsked{Stamp: s, ID: id}
	case q.Change != nil:
		return waxwingseam.MembershipProposed{Stamp: s, ID: id, Change: *q.Change}
	}
	return waxwingseam.CommandProposed{Stamp: s, ID: id, Command: q.Command}
}

// unansweredReason returns the reason for a request whose answer was lost. A
// read counts as not executed, because it changes nothing.
func (q *LeaderRequest) unansweredReason() waxwingseam.ReplicaReason {
	if q.Read {
		return waxwingseam.ReasonNoQuorum
	}
	return waxwingseam.ReasonOutcomeUnknown
}

// LeaderAnswer contains the state machine's answer to a command, and the log
// index of the command or change, or the commit index that a read confirmed.
// Reason is empty unless the request failed.
type LeaderAnswer struct {
	Answer []byte                    `cbor:"1,keyasint,omitempty"`
	Index  waxwingseam.LogIndex      `cbor:"2,keyasint,omitempty"`
	Reason waxwingseam.ReplicaReason `cbor:"3,keyasint,omitempty"`
}

// Delivery contains messages from one replica to another; From and To apply to
// each of them.
type Delivery struct {
	Cluster  waxwingseam.ClusterID        `cbor:"1,keyasint"`
	From     waxwingseam.Member           `cbor:"2,keyasint"`
	To       waxwingseam.StorageID        `cbor:"3,keyasint"`
	Messages []waxwingseam.ReplicaMessage `cbor:"4,keyasint"`
}

// SnapshotPart contains a part of a snapshot; the parts are sent in order.
type SnapshotPart struct {
	Cluster waxwingseam.ClusterID `cbor:"1,keyasint"`
	From    waxwingseam.Member    `cbor:"2,keyasint"`
	To      waxwingseam.StorageID `cbor:"3,keyasint"`
	Term    waxwingseam.Term      `cbor:"4,keyasint"`
	// Snapshot is the snapshot, with only the bytes of this part as its data.
	Snapshot waxwingseam.ReplicaSnapshot `cbor:"5,keyasint"`
	// Offset is the position of this part in the data of the snapshot, and Size
	// is the length of all the data.
	Offset int `cbor:"6,keyasint"`
	Size   int `cbor:"7,keyasint"`
}

// Receipt answers a Delivery or a SnapshotPart. Reason is empty if it was
// accepted.
type Receipt struct {
	Reason waxwingseam.ReplicaReason `cbor:"1,keyasint,omitempty"`
	// Replica is the name of the replica that refuses.
	Replica waxwingseam.ReplicaID `cbor:"2,keyasint,omitempty"`
}

// JoinRequest asks to add a replica as a member, or to update its address.
type JoinRequest struct {
	// Cluster is empty for a replica whose data folder is empty.
	Cluster waxwingseam.ClusterID `cbor:"1,keyasint,omitempty"`
	Member  waxwingseam.Member    `cbor:"2,keyasint"`
}

// JoinAnswer answers a JoinRequest. Reason is empty if it was accepted.
type JoinAnswer struct {
	Cluster waxwingseam.ClusterID     `cbor:"1,keyasint,omitempty"`
	Reason  waxwingseam.ReplicaReason `cbor:"2,keyasint,omitempty"`
}

// replicaService is the set of methods that replicas call on one another.
type replicaService interface {
	Deliver(ctx context.Context, d *Delivery) (*Receipt, error)
	TakePart(ctx context.Context, s *SnapshotPart) (*Receipt, error)
	Lead(ctx context.Context, q *LeaderRequest) (*LeaderAnswer, error)
	Join(ctx context.Context, q *JoinRequest) (*JoinAnswer, error)
}

// method is a remote method with its message types.
type method[In, Out any] struct {
	name string
	call func(replicaService, context.Context, *In) (*Out, error)
}

var (
	deliver  = method[Delivery, Receipt]{"/waxwingseam.Replica/Deliver", replicaService.Deliver}
	takePart = method[SnapshotPart, Receipt]{"/waxwingseam.Replica/TakePart", replicaService.TakePart}
	lead     = method[LeaderRequest, LeaderAnswer]{"/waxwingseam.Replica/Lead", replicaService.Lead}
	join     = method[JoinRequest, JoinAnswer]{"/waxwingseam.Replica/Join", replicaService.Join}
)

var methods = messenger.Description{
	deliver.describe(),
	takePart.describe(),
	lead.describe(),
	join.describe(),
}

// describe returns the description with which drpc serves the method.
func (m method[In, Out]) describe() messenger.Method {
	return messenger.Method{
		Name:       m.name,
		Expression: m.call,
		Receiver: func(implementation any, ctx context.Context, in, _ any) (drpc.Message, error) {
			s, ok := implementation.(replicaService)
			if !ok {
				return nil, trace.BadParameter("%T does not implement the replica service", implementation)
			}
			q, ok := in.(*In)
			if !ok {
				return nil, trace.BadParameter("unexpected request type %T for %s", in, m.name)
			}
			return m.call(s, ctx, q)
		},
	}
}

// invoke calls the method on another replica.
func (m method[In, Out]) invoke(ctx context.Context, conn drpc.Conn, in *In, out *Out) error {
	return trace.Wrap(conn.Invoke(ctx, m.name, messenger.Encoding, in, out))
}
