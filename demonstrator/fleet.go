package demonstrator

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/administrator"
	"waxwingseam.example/waxwingseam/assembler"
	"waxwingseam.example/waxwingseam/checker"
	"waxwingseam.example/waxwingseam/imitator"
	"waxwingseam.example/waxwingseam/loader"
	"waxwingseam.example/waxwingseam/logger"
	"waxwingseam.example/waxwingseam/operator"
	"waxwingseam.example/waxwingseam/proposer"
	"waxwingseam.example/waxwingseam/recorder"
	"waxwingseam.example/waxwingseam/runner"
)

const (
	// directRetries is how often stand-ins repeat a failed direct call.
	directRetries = 3
	// startTimeout bounds the start of all processes.
	startTimeout = 20 * time.Second
	// startPoll is the time between two looks at the start.
	startPoll = 50 * time.Millisecond
)

// fleet is a deployment that runs: its stand-ins, and with the layer on, a
// node beside each and a control replica.
type fleet struct {
	deployment Deployment
	folder     string
	control    netip.AddrPort
	operators  netip.AddrPort
	group      *errgroup.Group
	standIns   []*standIn
	logs       []string
}

// standIn is one stand-in with the addresses of the node beside it.
type standIn struct {
	*imitator.Imitator
	service  Service
	name     waxwingseam.ServerName
	peer     netip.AddrPort
	entry    netip.AddrPort
	outbound netip.AddrPort
	events   *recorder.Recorder
}

// startFleet starts the stand-ins, and the system's processes with the layer
// on, until the context ends.
func startFleet(ctx context.Context, d Deployment, folder string, on bool) (*fleet, error) {
	group, ctx := errgroup.WithContext(ctx)
	f := &fleet{deployment: d, folder: folder, group: group}
	if err := f.startStandIns(ctx, on); err != nil {
		return nil, err
	}
	if !on {
		f.connectDirectly()
		return f, nil
	}
	if err := f.startControl(ctx); err != nil {
		return nil, err
	}
	for n, s := range f.standIns {
		if err := f.startNode(ctx, n, s); err != nil {
			return nil, err
		}
	}
	return f, f.configure(ctx)
}

func (f *fleet) startStandIns(ctx context.Context, on bool) error {
	for _, service := range f.deployment.Services {
		for n := range service.Servers {
			s, err := newStandIn(ctx, service, n+1, on)
			if err != nil {
				return err
			}
			f.standIns = append(f.standIns, s)
			f.group.Go(func() error { return s.Serve(ctx) })
		}
	}
	return nil
}

func newStandIn(ctx context.Context, service Service, number int, on bool) (*standIn, error) {
	s := &standIn{
		service: service,
		name:    waxwingseam.ServerName(fmt.Sprintf("%s-%d", service.Name, number)),
	}
	if on {
		addresses, err := freeAddresses(ctx, 3)
		if err != nil {
			return nil, err
		}
		s.peer, s.entry, s.outbound = addresses[0], addresses[1], addresses[2]
	}
	var err error
	s.Imitator, err = imitator.Listen(ctx, imitator.Config{
		Name:        s.name,
		Service:     service.Name,
		Address:     netip.MustParseAddrPort("127.0.0.1:0"),
		Outbound:    s.outbound,
		Slots:       service.Slots,
		ServiceTime: serviceTime,
		Routes:      service.Routes,
		Retries:     directRetries,
		Seed:        uint64(number),
	})
	return s, trace.Wrap(err)
}

// connectDirectly lets the stand-ins call one another without the layer.
func (f *fleet) connectDirectly() {
	peers := make([]imitator.Peer, 0, len(f.standIns))
	for _, s := range f.standIns {
		peers = append(peers, imitator.Peer{Service: s.service.Name, Address: s.Address()})
	}
	for _, s := range f.standIns {
		s.SetDirect(peers)
	}
}

// startControl initializes and starts the only control replica.
func (f *fleet) startControl(ctx context.Context) error {
	addresses, err := freeAddresses(ctx, 2)
	if err != nil {
		return err
	}
	f.control, f.operators = addresses[0], addresses[1]
	data := filepath.Join(f.folder, "control")
	if _, err := proposer.Initialize(proposer.Config{DataFolder: data, Self: "r1", Address: f.control}); err != nil {
		return trace.Wrap(err)
	}
	return f.startProcess(ctx, loader.Settings{
		Process: loader.Process{
			DataCentre:       "dc-1",
			PeerAddress:      f.control,
			ControlAddresses: []netip.AddrPort{f.control},
		},
		Control: &loader.Control{
			Replica:         "r1",
			DataFolder:      data,
			OperatorAddress: f.operators,
			Voter:           true,
		},
	})
}

// startNode starts the node beside a stand-in, which records its events.
func (f *fleet) startNode(ctx context.Context, number int, s *standIn) error {
	path := filepath.Join(f.folder, string(s.name)+".events")
	file, err := os.Create(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	context.AfterFunc(ctx, func() { _ = file.Close() })
	f.logs = append(f.logs, path)
	s.events = recorder.New(recorder.Config{Writer: file, Process: string(s.name)})
	return f.startProcess(ctx, loader.Settings{
		Process: loader.Process{
			DataCentre:       waxwingseam.DataCentre(fmt.Sprintf("dc-%d", number%3+1)),
			PeerAddress:      s.peer,
			ControlAddresses: []netip.AddrPort{f.control},
		},
		Node: &loader.Node{
			ServerName:      s.name,
			Service:         s.service.Name,
			EntryAddress:    s.entry,
			OutboundAddress: s.outbound,
			BackendAddress:  s.Address(),
		},
	}, s.events)
}

func (f *fleet) startProcess(ctx context.Context, settings loader.Settings, observers ...runner.Observer) error {
	process, err := assembler.NewProcess(ctx, assembler.ProcessConfig{
		Settings:  settings,
		Logger:    logger.New(logger.Config{Writer: io.Discard}),
		Observers: observers,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	f.group.Go(func() error { return process.Serve(ctx, ctx) })
	return nil
}

// configure publishes the deployment's objects, and returns once all nodes
// have announced themselves and hold the set.
func (f *fleet) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	client := operator.New(operator.Config{Control: f.operators.String(), Name: "demonstrator"})
	submission := administrator.Submission{
		ID:    waxwingseam.SubmissionID(uuid.NewString()),
		Files: []checker.File{{Name: f.deployment.Name + ".ini", Data: f.deployment.Objects}},
	}
	if err := poll(ctx, func() bool {
		_, err := client.Submit(ctx, submission)
		return err == nil
	}); err != nil {
		return trace.Wrap(err, "the objects were not accepted")
	}
	return trace.Wrap(poll(ctx, func() bool {
		status, err := client.Status(ctx)
		return err == nil && f.informed(status)
	}), "the nodes did not take the objects over")
}

// informed reports whether every node is announced and at the newest revision.
func (f *fleet) informed(status administrator.StatusAnswer) bool {
	newest := 0
	for _, n := range status.Nodes {
		newest += n.Newest
	}
	return status.Revision > 0 && newest >= len(f.standIns) && len(status.Servers) == len(f.standIns)
}

// poll calls done until it reports true or the context ends.
func poll(ctx context.Context, done func() bool) error {
	for !done() {
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		case <-time.After(startPoll):
		}
	}
	return nil
}

// freeAddresses returns loopback addresses that nothing listens on now.
func freeAddresses(ctx context.Context, count int) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for range count {
		var lc net.ListenConfig
		listener, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, netip.MustParseAddrPort(listener.Addr().String()))
	}
	return addresses, nil
}
