package launcher

import (
	"context"
	"fmt"
	"net/netip"
	"os"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/auditor"
	"waxwingseam.example/waxwingseam/imitator"
	"waxwingseam.example/waxwingseam/recorder"
)

// StandIn is a stand-in with the addresses, event log and cancel functions of the
// node beside it.
type StandIn struct {
	*imitator.Imitator
	Service Service
	Name    waxwingseam.ServerName
	// Entry is the node's address for callers. It is the zero value without the layer.
	Entry netip.AddrPort

	peerAddress     netip.AddrPort
	outboundAddress netip.AddrPort
	recorder        *recorder.Recorder
	eventLogPath    string
	drain           context.CancelFunc
	abort           context.CancelFunc
}

// runs returns the runs of the stand-in in the form of the auditor. It omits runs
// without a call id, which did not come through a node.
func (s *StandIn) runs() []auditor.Run {
	var runs []auditor.Run
	for _, v := range s.Ledger().Runs() {
		call, err := waxwingseam.ParseCallID(v.Context)
		if err != nil {
			continue
		}
		runs = append(runs, auditor.Run{
			Server:      s.Name,
			Call:        call,
			Began:       v.Began,
			Interrupted: v.State == imitator.RunInterrupted,
		})
	}
	return runs
}

// Stop shuts down the node gracefully, as SIGTERM does. The stand-in keeps running.
// The fleet must have the layer.
func (s *StandIn) Stop() {
	s.drain()
}

// Kill ends the node at once, without a drain. The stand-in keeps running. The fleet
// must have the layer.
func (s *StandIn) Kill() {
	s.abort()
}

// EventLog returns the events that the node has recorded so far.
func (s *StandIn) EventLog() ([]byte, error) {
	if err := s.recorder.Flush(); err != nil {
		return nil, trace.Wrap(err)
	}
	data, err := os.ReadFile(s.eventLogPath)
	return data, trace.ConvertSystemError(err)
}

func newStandIn(ctx context.Context, service Service, number int, withNode bool) (*StandIn, error) {
	s := &StandIn{
		Service: service,
		Name:    waxwingseam.ServerName(fmt.Sprintf("%s-%d", service.Name, number)),
	}
	if withNode {
		addresses, err := freeAddresses(ctx, 3)
		if err != nil {
			return nil, err
		}
		s.peerAddress, s.Entry, s.outboundAddress = addresses[0], addresses[1], addresses[2]
	}
	var err error
	s.Imitator, err = imitator.Listen(ctx, imitator.Config{
		Name:        s.Name,
		Service:     service.Name,
		Address:     netip.MustParseAddrPort("127.0.0.1:0"),
		Outbound:    s.outboundAddress,
		Slots:       service.Slots,
		Connections: service.Connections,
		ServiceTime: service.ServiceTime,
		Routes:      service.Routes,
		EndText:     service.EndText,
		EndDelay:    service.EndDelay,
		DownTime:    service.DownTime,
		Retries:     maxDirectRetries,
		Seed:        uint64(number),
	})
	return s, trace.Wrap(err)
}
