package assembler

import (
	"crypto/rand"
	"encoding/binary"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/forwarder"
	"waxwingseam.example/waxwingseam/subscriber"
)

// announcer passes changes of the node's own state to the forwarder and the
// subscriber.
type announcer struct {
	subscriber subscriber.Subscriber
	forwarder  *forwarder.Forwarder
}

// Kinds implements runner.Executor.
func (announcer) Kinds() []waxwingseam.Kind {
	return []waxwingseam.Kind{waxwingseam.KindAnnounce}
}

// Execute implements runner.Executor.
func (a announcer) Execute(e waxwingseam.Effect) {
	if v, ok := e.(waxwingseam.Announce); ok {
		a.forwarder.SetIncarnation(v.Self.Incarnation)
		a.subscriber.Announce(v.Self)
	}
}

// newSeed returns a random seed.
func newSeed() uint64 {
	var data [8]byte
	_, _ = rand.Read(data[:])
	return binary.BigEndian.Uint64(data[:])
}
