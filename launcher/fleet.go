// Package launcher starts whole deployments on loopback in one process:
// stand-ins for the backend servers, and with the layer on, a node beside each
// and a control replica, all of real code.
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
	// directRetries is how often stand-ins repeat a failed direct call.
	directRetries = 3
	// dataCentres is how many data centres the hosts are spread over.
	dataCentres = 3
	// startTimeout bounds the start of all processes.
	startTimeout = 20 * time.Second
)

// Service describes the stand-ins of one service.
type Service struct {
	Name    waxwingseam.ServiceName
	Servers int
	Slots   int
	// Connections is how many connections one stand-in takes; 0 for no bound.
	Connections int
	// ServiceTime is the mean work of one request.
	ServiceTime time.Duration
	Routes      []imitator.Route
}

// Config describes a fleet.
type Config struct {
	// Objects is the set of objects in INI.
	Objects  []byte
	Services []Service
	// Folder holds the files of the processes.
	Folder string
	// WithLayer starts the layer; without it the stand-ins call one another directly.
	WithLayer bool
	// Record is set to keep the nodes' event logs.
	Record bool
}

// Fleet is a deployment that runs: its stand-ins, and with the layer on, a
// node beside each and a control replica.
type Fleet struct {
	// StandIns lists the stand-ins in the order of their services.
	StandIns []*StandIn

	config    Config
	control   netip.AddrPort
	operators netip.AddrPort
	group     *errgroup.Group
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
		return nil, f.failure(ctx, err)
	}
	return f, nil
}

// failure returns the error of the process that failed, where one did, for it
// ended the context.
func (f *Fleet) failure(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return trace.NewAggregate(f.group.Wait(), err)
	}
	return err
}

// Wait returns once all processes have ended.
func (f *Fleet) Wait() error {
	return trace.Wrap(f.group.Wait())
}

// Audit checks the promises against the nodes' event logs, the stand-ins' lists
// of runs and the answers that callers got. Broken promises are findings.
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

// connectDirectly lets the stand-ins call one another without the layer.
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
	f.control, f.operators = addresses[0], addresses[1]
	data := filepath.Join(f.config.Folder, "control")
	if _, err := proposer.Initialize(proposer.Config{DataFolder: data, Self: "r1", Address: f.control}); err != nil {
		return trace.Wrap(err)
	}
	return f.startProcess(ctx, ctx, loader.Settings{
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

// startNode starts the node beside a stand-in.
func (f *Fleet) startNode(ctx context.Context, number int, s *StandIn) error {
	observers, err := f.record(ctx, s)
	if err != nil {
		return err
	}
	abort, kill := context.WithCancel(ctx)
	stop, drain := context.WithCancel(abort)
	s.abort, s.stop = kill, drain
	return f.startProcess(stop, abort, loader.Settings{
		Process: loader.Process{
			DataCentre:       waxwingseam.DataCentre(fmt.Sprintf("dc-%d", number%dataCentres+1)),
			PeerAddress:      s.peer,
			ControlAddresses: []netip.AddrPort{f.control},
		},
		Node: &loader.Node{
			ServerName:      s.Name,
			Service:         s.Service.Name,
			EntryAddress:    s.Entry,
			OutboundAddress: s.outbound,
			BackendAddress:  s.Address(),
		},
	}, observers...)
}

// record lets a node's events be recorded, where the configuration says so.
func (f *Fleet) record(ctx context.Context, s *StandIn) ([]runner.Observer, error) {
	if !f.config.Record {
		return nil, nil
	}
	s.log = filepath.Join(f.config.Folder, string(s.Name)+".events")
	file, err := os.Create(s.log)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	context.AfterFunc(ctx, func() { _ = file.Close() })
	s.events = recorder.New(recorder.Config{Writer: file, Process: string(s.Name)})
	return []runner.Observer{s.events}, nil
}

func (f *Fleet) startProcess(stop, abort context.Context, settings loader.Settings, observers ...runner.Observer) error {
	process, err := assembler.NewProcess(abort, assembler.ProcessConfig{
		Settings:  settings,
		Logger:    logger.New(logger.Config{Writer: io.Discard}),
		Observers: observers,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	f.group.Go(func() error { return process.Serve(stop, abort) })
	return nil
}

// configure publishes the deployment's objects, and returns once all nodes
// have announced themselves and hold the set.
func (f *Fleet) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	client := operator.New(operator.Config{Address: f.operators.String(), Name: "launcher"})
	return trace.Wrap(operator.Establish(ctx, client, administrator.Submission{
		ID:    waxwingseam.SubmissionID(uuid.NewString()),
		Files: []checker.File{{Name: "objects.ini", Data: f.config.Objects}},
	}, len(f.StandIns)))
}
