// Package starter starts one process from its settings file and ends it on signals.
package starter

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam/assembler"
	"waxwingseam.example/waxwingseam/collector"
	"waxwingseam.example/waxwingseam/loader"
	"waxwingseam.example/waxwingseam/logger"
	"waxwingseam.example/waxwingseam/platform"
	"waxwingseam.example/waxwingseam/recorder"
	"waxwingseam.example/waxwingseam/runner"
	"waxwingseam.example/waxwingseam/tracer"
)

// Config configures a process.
type Config struct {
	// Settings is the name of the settings file.
	Settings string
	// Record is the name of the file in which the node's events and effects are
	// recorded; empty for none.
	Record string
	// NewExporter returns the exporter of spans. If it is nil, settings with a trace
	// endpoint are refused.
	NewExporter tracer.NewExporter
}

// Serve serves until a signal stops the process. The first SIGTERM or interrupt starts a
// drain; further ones have no effect, because several operators or platforms may stop a
// process at the same time, and work that runs must end within the drain limit. SIGHUP
// reloads the log level unless the process drains. Serve returns the findings of an invalid
// settings file.
func Serve(c Config) error {
	settings, findings := loader.Load(c.Settings)
	if err := findings.OrNil(); err != nil {
		return err
	}
	if settings.Process.TraceEndpoint != nil && c.NewExporter == nil {
		return trace.BadParameter("%s: this program can't export traces; use waxwingseam", c.Settings)
	}
	limitMemory(settings.Process.MemoryLimit)
	logQueue := logger.NewQueue(os.Stdout)
	defer logQueue.Close()
	l := logger.New(logger.Config{
		Writer: logQueue,
		Format: settings.Process.LogFormat,
		Level:  settings.Process.LogLevel,
	})
	abortContext, abort := context.WithCancel(context.Background())
	defer abort()
	drainContext, drain := context.WithCancel(abortContext)
	defer drain()
	watchSignals(c.Settings, l, drain)
	go collector.Run(abortContext)
	processInterface, err := buildInterface(settings)
	if err != nil {
		return err
	}
	config := assembler.ProcessConfig{
		Settings:    settings,
		Interface:   processInterface,
		Logger:      l,
		NewExporter: c.NewExporter,
	}
	if c.Record != "" {
		file, err := os.Create(c.Record)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		defer func() { _ = file.Close() }()
		events := recorder.New(recorder.Config{Writer: file})
		defer func() { _ = events.Flush() }()
		config.Observers = []runner.Observer{events}
	}
	process, err := assembler.NewProcess(abortContext, config)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(process.Serve(drainContext, abortContext))
}

// memoryLimitShare is the fraction of a process's memory limit that is set as the
// soft limit of the Go runtime. The rest is a reserve, because the runtime can
// exceed the soft limit, for example when stacks grow in a burst.
const memoryLimitShare = 0.75

func limitMemory(limit int64) {
	if limit > 0 {
		debug.SetMemoryLimit(int64(float64(limit) * memoryLimitShare))
	}
}

// interfaces lists the interfaces that settings can select besides the native one.
var interfaces = map[string]assembler.NewInterface{
	platform.Name: platform.New,
}

// nativeInterface is the name of the built-in interface, which is the default.
const nativeInterface = "native"

func buildInterface(settings loader.Settings) (assembler.Interface, error) {
	name := settings.Process.Interface
	if name == "" || name == nativeInterface {
		return assembler.Interface{}, nil
	}
	build, ok := interfaces[name]
	if !ok {
		return assembler.Interface{}, trace.BadParameter("unknown interface %q", name)
	}
	return build(settings), nil
}

// watchSignals calls drain at the first signal to stop, and reloads the log level at each
// SIGHUP before that. The signals stay caught until the process exits.
func watchSignals(settingsFile string, l *logger.Logger, drain context.CancelFunc) {
	// A signal that finds its channel full is dropped. The channels are apart, so that
	// SIGHUPs in a row can't displace a signal to stop.
	stops, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reloads, syscall.SIGHUP)
	go func() {
		for {
			select {
			case <-stops:
				drain()
				return
			case <-reloads:
				reload(settingsFile, l)
			}
		}
	}()
}

// reload sets the log level from the settings file. If the file has findings, it
// logs them and leaves the level unchanged.
func reload(settingsFile string, l *logger.Logger) {
	part := l.Part("process")
	settings, findings := loader.Load(settingsFile)
	if err := findings.OrNil(); err != nil {
		part.Error("settings were not reloaded", "findings", err)
		return
	}
	l.SetLevel(settings.Process.LogLevel)
	part.Info("log level was reloaded", "level", settings.Process.LogLevel)
}
