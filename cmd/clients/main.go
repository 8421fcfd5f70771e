// Command clients runs untrusted clients against real processes on loopback, beside ordinary
// callers, and prints what the nodes needed and how many ordinary requests were served.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam/soaker"
)

type command struct {
	Program     string        `required:"" type:"path" help:"The waxwingseam binary."`
	Kind        []string      `help:"Behaviour of the clients; can be repeated; all by default."`
	Connections int           `default:"300" help:"Number of untrusted clients."`
	Length      time.Duration `default:"8s" help:"Time for each behaviour."`
	Reopen      time.Duration `default:"1s" help:"Time after which a client whose connection was closed opens another one."`
	Seed        uint64        `default:"1" help:"Seed of the mix of behaviours."`
	Folder      string        `type:"path" help:"Folder for settings, logs and data; a temporary folder by default."`
}

// Run runs the trials and returns an error if a bound was not kept.
func (c *command) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	folder := c.Folder
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "clients"); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	kinds := c.Kind
	if len(kinds) == 0 {
		kinds = soaker.ClientKindNames()
	}
	fmt.Println(soaker.ClientTableHeader)
	results, err := soaker.RunClients(ctx, soaker.ClientTrial{
		Program: c.Program, Folder: folder, Seed: c.Seed, Kinds: kinds,
		Connections: c.Connections, ReopenDelay: c.Reopen, Length: c.Length,
		Report: func(r soaker.ClientResult) { fmt.Println(r) },
	})
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(soaker.Check(results))
}

func main() {
	var c command
	k := kong.Parse(&c, kong.Description("Runs untrusted clients beside ordinary callers and prints a table."))
	k.FatalIfErrorf(k.Run())
}
