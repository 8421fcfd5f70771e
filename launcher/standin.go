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

// StandIn is one stand-in with the addresses of the node beside it.
type StandIn struct {
	*imitator.Imitator
	Service Service
	Name    waxwingseam.ServerName
	// Entry is the node's address for callers.
	Entry netip.AddrPort

	peer     netip.AddrPort
	outbound netip.AddrPort
	events   *recorder.Recorder
	log      string
	stop     context.CancelFunc
	abort    context.CancelFunc
}

// runs lists the stand-in's runs as the auditor wants them. One without a call
// did not come through a node.
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

// Stop shuts the node down gracefully, as SIGTERM does.
func (s *StandIn) Stop() {
	s.stop()
}

// Kill ends the node at once.
func (s *StandIn) Kill() {
	s.abort()
}

// EventLog returns the events that the node beside the stand-in recorded so far.
func (s *StandIn) EventLog() ([]byte, error) {
	if err := s.events.Flush(); err != nil {
		return nil, trace.Wrap(err)
	}
	data, err := os.ReadFile(s.log)
	return data, trace.ConvertSystemError(err)
}

func newStandIn(ctx context.Context, service Service, number int, on bool) (*StandIn, error) {
	s := &StandIn{
		Service: service,
		Name:    waxwingseam.ServerName(fmt.Sprintf("%s-%d", service.Name, number)),
	}
	if on {
		addresses, err := freeAddresses(ctx, 3)
		if err != nil {
			return nil, err
		}
		s.peer, s.Entry, s.outbound = addresses[0], addresses[1], addresses[2]
	}
	var err error
	s.Imitator, err = imitator.Listen(ctx, imitator.Config{
		Name:        s.Name,
		Service:     service.Name,
		Address:     netip.MustParseAddrPort("127.0.0.1:0"),
		Outbound:    s.outbound,
		Slots:       service.Slots,
		Connections: service.Connections,
		ServiceTime: service.ServiceTime,
		Routes:      service.Routes,
		Retries:     directRetries,
		Seed:        uint64(number),
	})
	return s, trace.Wrap(err)
}
