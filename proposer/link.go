package proposer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"

	"waxwingseam.example/waxwingseam"
)

const (
	// linkQueueSize is the capacity of the message queue for one peer; the
	// protocol tolerates dropped messages.
	linkQueueSize = 256
	// deliveryBytes is the intended maximum size of the commands in one
	// delivery. No message is added once half of it is reached, which leaves
	// room for the last message.
	deliveryBytes = 2 << 20
	// snapshotPartBytes is the maximum size of the data in a snapshot part.
	snapshotPartBytes = 1 << 20
	// redialDelay is the delay before the next attempt to reach a peer.
	redialDelay = 100 * time.Millisecond
)

// links sends messages to the other replicas.
type links struct {
	config   Config
	identity waxwingseam.ReplicaIdentity
	// onMismatch is called when a replica refuses messages since it has another storage
	// than the one that they are for, with that storage and the name of the replica.
	onMismatch func(storage waxwingseam.StorageID, replica waxwingseam.ReplicaID)
	// onSnapshotFailure is called when a snapshot did not reach a replica.
	onSnapshotFailure func(waxwingseam.StorageID)
	ctx               context.Context
	cancel            context.CancelFunc
	waitGroup         sync.WaitGroup

	mu    sync.Mutex
	peers map[waxwingseam.StorageID]*link
}

// link sends messages to one replica, one delivery at a time.
type link struct {
	links    *links
	storage  waxwingseam.StorageID
	messages chan waxwingseam.ReplicaMessage

	mu      sync.Mutex
	address netip.AddrPort
	refused waxwingseam.ReplicaReason
}

func newLinks(config Config, identity waxwingseam.ReplicaIdentity) *links {
	ctx, cancel := context.WithCancel(context.Background())
	return &links{
		config:            config,
		identity:          identity,
		onMismatch:        func(waxwingseam.StorageID, waxwingseam.ReplicaID) {},
		onSnapshotFailure: func(waxwingseam.StorageID) {},
		ctx:               ctx,
		cancel:            cancel,
		peers:             map[waxwingseam.StorageID]*link{},
	}
}

// self returns the description of this replica that its messages contain.
func (l *links) self() waxwingseam.Member {
	return waxwingseam.Member{
		Replica: l.identity.Replica,
		Storage: l.identity.Storage,
		Address: l.config.Address,
	}
}

// updatePeer stores the address of a replica, and starts a link to a new one.
func (l *links) updatePeer(m waxwingseam.Member) {
	if m.Storage == l.identity.Storage {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return
	}
	peer, ok := l.peers[m.Storage]
	if !ok {
		peer = &link{
			links:    l,
			storage:  m.Storage,
			messages: make(chan waxwingseam.ReplicaMessage, linkQueueSize),
		}
		l.peers[m.Storage] = peer
		l.waitGroup.Go(peer.run)
	}
	peer.setAddress(m.Address)
}

func (l *links) peer(id waxwingseam.StorageID) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peers[id]
}

// send queues a message. It drops the message if the queue is full or there is
// no link to the replica.
func (l *links) send(m waxwingseam.ReplicaMessage) {
	peer := l.peer(m.To)
	if peer == nil {
		return
	}
	select {
	case peer.messages <- m:
	default:
	}
}

func (l *links) sendSnapshot(e waxwingseam.SendSnapshot, s waxwingseam.ReplicaSnapshot) {
	peer := l.peer(e.To)
	if peer == nil {
		return
	}
	l.waitGroup.Go(func() {
		if err := peer.sendSnapshot(e.Term, s); err != nil {
			l.config.Logger.Warn("snapshot not sent", "storage", e.To, "error", err)
			l.onSnapshotFailure(e.To)
		}
	})
}

// close stops all links and waits for their goroutines.
func (l *links) close() {
	l.mu.Lock()
	l.cancel()
	l.mu.Unlock()
	l.waitGroup.Wait()
}

func (k *link) setAddress(address netip.AddrPort) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.address = address
}

func (k *link) currentAddress() netip.AddrPort {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.address
}

// run delivers messages until the links are closed. A connection on which a
// delivery fails or stays unanswered is closed and replaced.
func (k *link) run() {
	var conn *drpcconn.Conn
	defer func() { closeConn(conn) }()
	for {
		messages := k.next()
		if messages == nil {
			return
		}
		var err error
		if conn == nil {
			conn, err = k.dial()
		}
		if err == nil {
			err = k.deliver(conn, messages)
		}
		if err != nil {
			k.dropQueued()
			closeConn(conn)
			conn = nil
			k.waitRedial()
		}
	}
}

func closeConn(conn *drpcconn.Conn) {
	if conn != nil {
		_ = conn.Close()
	}
}

// next waits for a message and returns it with the messages queued behind it, up
// to the limit of a delivery. It returns nil once the links are closed.
func (k *link) next() []waxwingseam.ReplicaMessage {
	var messages []waxwingseam.ReplicaMessage
	select {
	case <-k.links.ctx.Done():
		return nil
	case m := <-k.messages:
		messages = append(messages, m)
	}
	size := messageBytes(messages[0])
	for size < deliveryBytes/2 {
		select {
		case m := <-k.messages:
			messages = append(messages, m)
			size += messageBytes(m)
		default:
			return messages
		}
	}
	return messages
}

func messageBytes(m waxwingseam.ReplicaMessage) int {
	if m.AppendRequest == nil {
		return 0
	}
	size := 0
	for _, e := range m.AppendRequest.Entries {
		size += len(e.Command)
	}
	return size
}

func (k *link) dial() (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(k.links.ctx, k.links.config.MessageTimeout)
	defer cancel()
	return k.links.config.Dialer.Dial(ctx, k.currentAddress())
}

func (k *link) deliver(conn *drpcconn.Conn, messages []waxwingseam.ReplicaMessage) error {
	ctx, cancel := context.WithTimeout(k.links.ctx, k.links.config.MessageTimeout)
	defer cancel()
	d := &Delivery{
		Cluster:  k.links.identity.Cluster,
		From:     k.links.self(),
		To:       k.storage,
		Messages: messages,
	}
	receipt := &Receipt{}
	if err := deliver.invoke(ctx, conn, d, receipt); err != nil {
		return err
	}
	k.recordRefusal(receipt.Reason)
	if receipt.Reason == waxwingseam.ReasonStorageMismatch {
		k.links.onMismatch(k.storage, receipt.Replica)
	}
	return nil
}

// recordRefusal stores the reason why the peer refused a delivery, or "" if it
// did not, and logs a new reason.
func (k *link) recordRefusal(reason waxwingseam.ReplicaReason) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if reason != k.refused && reason != "" {
		k.links.config.Logger.Warn("replica refuses messages",
			"storage", k.storage, "address", k.address, "reason", reason)
	}
	k.refused = reason
}

// waitRedial waits for the redial delay, or until the links are closed.
func (k *link) waitRedial() {
	timer := time.NewTimer(redialDelay)
	defer timer.Stop()
	select {
	case <-k.links.ctx.Done():
	case <-timer.C:
	}
}

// dropQueued discards the queued messages, which are stale by the time the peer
// is reachable again.
func (k *link) dropQueued() {
	for {
		select {
		case <-k.messages:
		default:
			return
		}
	}
}

// sendSnapshot sends a snapshot in parts over a separate connection.
func (k *link) sendSnapshot(term waxwingseam.Term, s waxwingseam.ReplicaSnapshot) error {
	conn, err := k.dial()
	if err != nil {
		return err
	}
	defer closeConn(conn)
	for offset := 0; ; offset += snapshotPartBytes {
		if err := k.sendPart(conn, k.part(term, s, offset)); err != nil {
			return err
		}
		if offset+snapshotPartBytes >= len(s.Data) {
			return nil
		}
	}
}

func (k *link) part(term waxwingseam.Term, s waxwingseam.ReplicaSnapshot, offset int) *SnapshotPart {
	part := &SnapshotPart{
		Cluster:  k.links.identity.Cluster,
		From:     k.links.self(),
		To:       k.storage,
		Term:     term,
		Snapshot: s,
		Offset:   offset,
		Size:     len(s.Data),
	}
	part.Snapshot.Data = s.Data[offset:min(offset+snapshotPartBytes, len(s.Data))]
	return part
}

func (k *link) sendPart(conn *drpcconn.Conn, part *SnapshotPart) error {
	ctx, cancel := context.WithTimeout(k.links.ctx, k.links.config.RequestTimeout)
	defer cancel()
	receipt := &Receipt{}
	if err := takePart.invoke(ctx, conn, part, receipt); err != nil {
		return err
	}
	if receipt.Reason != "" {
		return refusal(receipt.Reason)
	}
	return nil
}
