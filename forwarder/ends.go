package forwarder

import (
	"context"
	"net/netip"
	"time"

	"waxwingseam.example/waxwingseam"
)

// tellTimeout limits how long telling another node of ends may take.
const tellTimeout = 500 * time.Millisecond

// endsReceipt is the empty answer to a message about ends.
type endsReceipt struct{}

// sendEnds carries out a SendEnds.
func (f *Forwarder) sendEnds(e waxwingseam.SendEnds) {
	for _, node := range e.To {
		go f.tell(node, e.Message)
	}
}

// tell sends a message about ends to another node. A message that is lost is made up for by
// the next comparison.
func (f *Forwarder) tell(node netip.AddrPort, m waxwingseam.EndsMessage) {
	err := f.invoke(waxwingseam.Server{Node: node}, methodTell, &m, &endsReceipt{}, tellTimeout)
	if err != nil {
		f.config.Logger.Debug("telling another node of ended backend servers failed", "node", node, "cause", err)
	}
}

// Tell reports a message of another node about ends.
func (n *nodeService) Tell(_ context.Context, m *waxwingseam.EndsMessage) (*endsReceipt, error) {
	n.forwarder.config.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.EndsReceived{Stamp: s, Message: *m}
	})
	return &endsReceipt{}, nil
}
