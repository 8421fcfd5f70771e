// Package launcher starts complete deployments on loopback in one process:
// stand-ins for the backend servers and, with the layer, a node beside each
// stand-in and a control replica. Nodes and replica run the production code.
package launcher

import (
	"bytes"
	"context"
	"fmt"
	"io"
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
	"waxwingseam.example/waxwingseam/auditor"
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
	// maxDirectRetries is the maximum number of retries of a direct call.
	maxDirectRetries = 3
	// dataCentreCount is the number of data centres of the hosts.
	dataCentreCount = 3
	// startTimeout bounds the start of all processes.
	startTimeout = 20 * time.Second
)

// Service describes the stand-ins of one service.
type Service struct {
	Name    waxwingseam.ServiceName
	Servers int
	Slots   int
	// Connections is the maximum number of open connections of one stand-in; 0 means
	// no limit.
	Connections int
	// ServiceTime is the mean time that a stand-in works on one request.
	ServiceTime time.Duration
	Routes      []imitator.Route
	// EndText, EndDelay and DownTime are those of the stand-ins; see imitator.Config.
	EndText  string
	EndDelay time.Duration
	DownTime time.Duration
}

// Config describes a fleet.
type Config struct {
	// Objects is the set of objects in INI format.
	Objects  []byte
	Services []Service
	// Folder is where the data and event logs of the processes are stored.
	Folder string
	// WithLayer starts the layer; without it the stand-ins call one another directly.
	WithLayer bool
	// Record makes the nodes write event logs, which Audit and StandIn.EventLog need.
	// It has no effect without the layer.
	Record bool
}

// Fleet is a running deployment: its stand-ins and, with the layer, a node
// beside each stand-in and a control replica.
type Fleet struct {
	// StandIns lists the stand-ins in the order of Config.Services.
	StandIns []*StandIn

	config          Config
	controlAddress  netip.AddrPort
	operatorAddress netip.AddrPort
	group           *errgroup.Group
}

// Start starts a fleet, which runs until the context ends.
func Start(ctx context.Context, config Config) (*Fleet, error) {
	group, ctx := errgroup.WithContext(ctx)
	f := &Fleet{config: config, group: group}
	if err := f.startStandIns(ctx); err != nil {
		return nil, err
	}
	if !config.WithLayer {
		f.connectDirectly()
		return f, nil
	}
	if err := f.startControl(ctx); err != nil {
		return nil, err
	}
	for n, s := range f.StandIns {
		if err := f.startNode(ctx, n, s); err != nil {
			return nil, err
		}
	}
	if err := f.configure(ctx); err != nil {
		return nil, f.processError(ctx, err)
	}
	return f, nil
}

// processError adds the error of a failed process to err. A process that fails
// ends the context.
func (f *Fleet) processError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return trace.NewAggregate(f.group.Wait(), err)
	}
	return err
}

// Wait waits until all processes have ended and returns the first error.
func (f *Fleet) Wait() error {
	return trace.Wrap(f.group.Wait())
}

// Operator returns a client of the control replica's operator API. Config.WithLayer must
// be set.
func (f *Fleet) Operator() operator.Client {
	return operator.New(operator.Config{Address: f.operatorAddress.String(), Name: "launcher"})
}

// Audit checks the guarantees against the event logs of the nodes, the runs of
// the stand-ins and the answers that callers received. It returns violations as
// findings. Config.WithLayer and Config.Record must be set.
func (f *Fleet) Audit(answers []auditor.Answer) (findings, err error) {
	input := auditor.Input{Answers: answers}
	for _, s := range f.StandIns {
		data, err := s.EventLog()
		if err != nil {
			return nil, err
		}
		input.Logs = append(input.Logs, bytes.NewReader(data))
		input.Runs = append(input.Runs, s.runs()...)
	}
	return auditor.Audit(input), nil
}

func (f *Fleet) startStandIns(ctx context.Context) error {
	for _, service := range f.config.Services {
		for n := range service.Servers {
			s, err := newStandIn(ctx, service, n+1, f.config.WithLayer)
			if err != nil {
				return err
			}
			f.StandIns = append(f.StandIns, s)
			f.group.Go(func() error { return s.Serve(ctx) })
		}
	}
	return nil
}

// connectDirectly makes the stand-ins call one another without the layer.
func (f *Fleet) connectDirectly() {
	peers := make([]imitator.Peer, 0, len(f.StandIns))
	for _, s := range f.StandIns {
		peers = append(peers, imitator.Peer{Service: s.Service.Name, Address: s.Address()})
	}
	for _, s := range f.StandIns {
		s.SetDirect(peers)
	}
}

// startControl initializes and starts the only control replica.
func (f *Fleet) startControl(ctx context.Context) error {
	addresses, err := freeAddresses(ctx, 2)
	if err != nil {
		return err
	}
	f.controlAddress, f.operatorAddress = addresses[0], addresses[1]
	data := filepath.Join(f.config.Folder, "control")
	if _, err := proposer.Initialize(proposer.Config{DataFolder: data, Self: "r1", Address: f.controlAddress}); err != nil {
		return trace.Wrap(err)
	}
	return f.startProcess(ctx, ctx, loader.Settings{
		Process: loader.Process{
			DataCentre:       "dc-1",
			PeerAddress:      f.controlAddress,
			ControlAddresses: []netip.AddrPort{f.controlAddress},
		},
		Control: &loader.Control{
			Replica:         "r1",
			DataFolder:      data,
			OperatorAddress: f.operatorAddress,
			Voter:           true,
		},
	})
}

// startNode starts the node beside a stand-in.
func (f *Fleet) startNode(ctx context.Context, number int, s *StandIn) error {
	observers, err := f.openEventLog(ctx, s)
	if err != nil {
		return err
	}
	abortContext, abort := context.WithCancel(ctx)
	drainContext, drain := context.WithCancel(abortContext)
	s.abort, s.drain = abort, drain
	return f.startProcess(drainContext, abortContext, loader.Settings{
		Process: loader.Process{
			DataCentre:       waxwingseam.DataCentre(fmt.Sprintf("dc-%d", number%dataCentreCount+1)),
			PeerAddress:      s.peerAddress,
			ControlAddresses: []netip.AddrPort{f.controlAddress},
		},
		Node: &loader.Node{
			ServerName:      s.Name,
			Service:         s.Service.Name,
			EntryAddress:    s.Entry,
			OutboundAddress: s.outboundAddress,
			BackendAddress:  s.Address(),
		},
	}, observers...)
}

// openEventLog creates a node's event log and returns the observer that writes
// it, or none if the configuration does not ask for event logs.
func (f *Fleet) openEventLog(ctx context.Context, s *StandIn) ([]runner.Observer, error) {
	if !f.config.Record {
		return nil, nil
	}
	s.eventLogPath = filepath.Join(f.config.Folder, string(s.Name)+".events")
	file, err := os.Create(s.eventLogPath)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	context.AfterFunc(ctx, func() { _ = file.Close() })
	s.recorder = recorder.New(recorder.Config{Writer: file, Process: string(s.Name)})
	return []runner.Observer{s.recorder}, nil
}

func (f *Fleet) startProcess(drainContext, abortContext context.Context, settings loader.Settings, observers ...runner.Observer) error {
	process, err := assembler.NewProcess(abortContext, assembler.ProcessConfig{
		Settings:  settings,
		Logger:    logger.New(logger.Config{Writer: io.Discard}),
		Observers: observers,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	f.group.Go(func() error { return process.Serve(drainContext, abortContext) })
	return nil
}

// configure submits the objects and waits until all nodes have announced
// themselves and have the set.
func (f *Fleet) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return trace.Wrap(operator.Establish(ctx, f.Operator(), administrator.Submission{
		ID:    waxwingseam.SubmissionID(uuid.NewString()),
		Files: []checker.File{{Name: "objects.ini", Data: f.config.Objects}},
	}, len(f.StandIns)))
}
