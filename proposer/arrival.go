package proposer

import (
	"context"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
)

// maxSnapshotBytes is the maximum size of a snapshot received from a leader.
const maxSnapshotBytes = 128 << 20

// incomingSnapshot is a snapshot that is being received in parts.
type incomingSnapshot struct {
	from     waxwingseam.StorageID
	snapshot waxwingseam.ReplicaSnapshot
}

// Deliver queues messages from another replica. The receipt gives the reason
// if it does not queue all of them.
func (p *proposer) Deliver(ctx context.Context, d *Delivery) (*Receipt, error) {
	if reason := p.checkRecipient(d.Cluster, d.To); reason != "" {
		return &Receipt{Reason: reason, Replica: p.config.Self}, nil
	}
	p.links.updatePeer(d.From)
	for _, m := range d.Messages {
		m.From, m.To = d.From.Storage, d.To
		queued := p.enqueue(ctx, func(s waxwingseam.Stamp) waxwingseam.Event {
			return waxwingseam.ReplicaMessageArrived{Stamp: s, Message: m}
		})
		if !queued {
			return &Receipt{Reason: waxwingseam.ReasonStopped}, nil
		}
	}
	return &Receipt{}, nil
}

// TakePart receives a part of a leader's snapshot, and queues the snapshot once
// it is complete.
func (p *proposer) TakePart(ctx context.Context, part *SnapshotPart) (*Receipt, error) {
	if reason := p.checkRecipient(part.Cluster, part.To); reason != "" {
		return &Receipt{Reason: reason}, nil
	}
	if part.Size > maxSnapshotBytes {
		return nil, trace.LimitExceeded("a snapshot of %d bytes exceeds %d", part.Size, maxSnapshotBytes)
	}
	snapshot, complete, err := p.addSnapshotPart(part)
	if err != nil || !complete {
		return &Receipt{}, err
	}
	p.links.updatePeer(part.From)
	p.enqueue(ctx, func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.SnapshotArrived{
			Stamp:    s,
			From:     part.From.Storage,
			Term:     part.Term,
			Snapshot: snapshot,
		}
	})
	return &Receipt{}, nil
}

// addSnapshotPart appends a part to the incoming snapshot and returns the
// snapshot once it is complete. A part at offset 0 starts a new snapshot.
func (p *proposer) addSnapshotPart(part *SnapshotPart) (waxwingseam.ReplicaSnapshot, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := &p.incoming
	if part.Offset == 0 {
		*a = incomingSnapshot{from: part.From.Storage, snapshot: part.Snapshot}
		a.snapshot.Data = nil
	}
	contiguous := a.from == part.From.Storage &&
		a.snapshot.LogPosition == part.Snapshot.LogPosition &&
		len(a.snapshot.Data) == part.Offset &&
		part.Offset+len(part.Snapshot.Data) <= part.Size
	if !contiguous {
		return waxwingseam.ReplicaSnapshot{}, false, trace.CompareFailed("snapshot part at %d does not follow", part.Offset)
	}
	a.snapshot.Data = append(a.snapshot.Data, part.Snapshot.Data...)
	if len(a.snapshot.Data) < part.Size {
		return waxwingseam.ReplicaSnapshot{}, false, nil
	}
	snapshot := a.snapshot
	*a = incomingSnapshot{}
	return snapshot, true, nil
}
