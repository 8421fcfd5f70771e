package assembler

import (
	"crypto/rand"
	"encoding/binary"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/forwarder"
	"waxwingseam.example/waxwingseam/subscriber"
)

// announcer passes changes of the node's own state, of the requests that it refuses and of its
// use of the retry budget to the forwarder and the subscriber.
type announcer struct {
	subscriber subscriber.Subscriber
	forwarder  *forwarder.Forwarder
}

// Kinds implements runner.Executor.
func (announcer) Kinds() []waxwingseam.Kind {
	return []waxwingseam.Kind{
		waxwingseam.KindAnnounce, waxwingseam.KindQuarantineChanged, waxwingseam.KindRetryBudgetUsed,
	}
}

// Execute implements runner.Executor.
func (a announcer) Execute(e waxwingseam.Effect) {
	switch v := e.(type) {
	case waxwingseam.Announce:
		a.forwarder.SetIncarnation(v.Self.Incarnation)
		a.subscriber.Announce(v.Self)
	case waxwingseam.QuarantineChanged:
		a.subscriber.NoteQuarantine(v.Request)
	case waxwingseam.RetryBudgetUsed:
		a.subscriber.NoteRetryUse(v.Repeats)
	}
}

// newSeed returns a random seed.
func newSeed() uint64 {
	var data [8]byte
	_, _ = rand.Read(data[:])
	return binary.BigEndian.Uint64(data[:])
}
