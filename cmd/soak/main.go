// Command soak runs a deployment of real processes under faults for each seed and
// prints which guarantees were broken.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam/soaker"
)

type command struct {
	Program string        `required:"" type:"path" help:"The waxwingseam binary."`
	Seed    uint64        `default:"1" help:"First seed."`
	Seeds   int           `default:"1" help:"Number of seeds to run, one after the other."`
	Length  time.Duration `default:"15s" help:"Time during which faults are started."`
	Servers int           `default:"3" help:"Number of backend servers of each of the two services."`
	Folder  string        `type:"path" help:"Folder for settings, logs and data; a temporary folder by default."`
	Unsafe  bool          `help:"Declare requests that must not run twice as repeatable, so that the checks fail."`
}

// Run runs one soak for each seed.
func (c *command) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	folder := c.Folder
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "soak"); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	failed := 0
	for n := range c.Seeds {
		seed := c.Seed + uint64(n)
		seedFolder := filepath.Join(folder, strconv.FormatUint(seed, 10))
		if err := os.MkdirAll(seedFolder, 0o700); err != nil {
			return trace.ConvertSystemError(err)
		}
		report, err := soaker.Run(ctx, soaker.Config{
			Program: c.Program, Folder: seedFolder, Seed: seed, Duration: c.Length, ServersPerService: c.Servers, Unsafe: c.Unsafe,
		})
		fmt.Print(report)
		if err != nil {
			return trace.Wrap(err)
		}
		if len(report.Findings) > 0 {
			failed++
			fmt.Printf("repeat with: soak --program %s --seed %d --length %v --servers %d; logs in %s\n", c.Program, seed, c.Length, c.Servers, seedFolder)
		}
	}
	if failed > 0 {
		return trace.CompareFailed("%d of %d soaks found a broken guarantee", failed, c.Seeds)
	}
	return nil
}

func main() {
	var c command
	k := kong.Parse(&c, kong.Description("Injects faults into real processes and checks the guarantees."))
	k.FatalIfErrorf(k.Run())
}
