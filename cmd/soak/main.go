// Command soak runs deployments of real processes under faults, one for each
// seed, and prints which promises were broken.
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
	Seeds   int           `default:"1" help:"How many seeds to play, one after the other."`
	Length  time.Duration `default:"15s" help:"How long faults are begun."`
	Folder  string        `type:"path" help:"Folder for logs and data; a temporary one when empty."`
	Unsafe  bool          `help:"Declare what must not run twice as repeatable, to see the checks fail."`
}

// Run plays the seeds.
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
		at := filepath.Join(folder, strconv.FormatUint(seed, 10))
		if err := os.MkdirAll(at, 0o700); err != nil {
			return trace.ConvertSystemError(err)
		}
		report, err := soaker.Run(ctx, soaker.Config{
			Program: c.Program, Folder: at, Seed: seed, Duration: c.Length, Unsafe: c.Unsafe,
		})
		fmt.Print(report)
		if err != nil {
			return trace.Wrap(err)
		}
		if len(report.Findings) > 0 {
			failed++
			fmt.Printf("again: soak --program %s --seed %d --length %v; logs in %s\n", c.Program, seed, c.Length, at)
		}
	}
	if failed > 0 {
		return trace.CompareFailed("%d of %d seeds broke a promise", failed, c.Seeds)
	}
	return nil
}

func main() {
	var c command
	k := kong.Parse(&c, kong.Description("Plays faults against real processes and checks the promises."))
	k.FatalIfErrorf(k.Run())
}
