package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/gravitational/trace"
	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"

	"waxwingseam.example/waxwingseam/demonstrator"
)

type demoCommand struct {
	Deployment string  `enum:"van-dalen,jnina" default:"van-dalen" help:"Deployment to show: van-dalen or jnina."`
	Surge      float64 `default:"3" help:"Load of the surge, in parts of saturation."`
	Seconds    int     `default:"20" help:"Time of each of the two parts, without the layer and with it."`
	Plot       string  `type:"path" default:"waxwingseam-demo.svg" help:"File that the plot is written to."`
	Seed       uint64  `default:"1" help:"Seed of the load."`
}

// plainStep is how often progress is printed where there is no terminal.
const plainStep = 5 * time.Second

// Run shows a deployment under a surge without the layer and with it.
func (c *demoCommand) Run() error {
	deployment, err := demonstrator.Find(c.Deployment)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	length := time.Duration(c.Seconds) * time.Second
	fmt.Printf("%s: saturation at %.0f requests a second, surge of %g times that\n", deployment.Name, deployment.Saturation(), c.Surge)
	reports, err := demonstrator.Run(ctx, demonstrator.Config{
		Deployment: deployment,
		Surge:      c.Surge,
		Duration:     length,
		Progress:   newProgress(length),
		Seed:       c.Seed,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if err := demonstrator.Print(os.Stdout, reports); err != nil {
		return trace.Wrap(err)
	}
	if err := c.plot(reports); err != nil {
		return err
	}
	if demonstrator.Failed(reports) {
		return trace.CompareFailed("the layer broke a promise")
	}
	return nil
}

func (c *demoCommand) plot(reports []demonstrator.Report) error {
	file, err := os.Create(c.Plot)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = file.Close() }()
	if err := demonstrator.Plot(file, reports); err != nil {
		return err
	}
	fmt.Println("plot:", c.Plot)
	return nil
}

// newProgress draws a bar on a terminal and prints plain lines elsewhere.
func newProgress(length time.Duration) func(on bool, at time.Duration) {
	if term.IsTerminal(int(os.Stdout.Fd())) {
		return newBar(length)
	}
	last := time.Duration(-1)
	return func(on bool, at time.Duration) {
		if step := at / plainStep; step != last {
			last = step
			fmt.Printf("layer %s: %d of %d s\n", onOff(on), int(at.Seconds()), int(length.Seconds()))
		}
	}
}

func newBar(length time.Duration) func(on bool, at time.Duration) {
	bar := progressbar.Default(int64(2*length.Seconds()), "layer off")
	return func(on bool, at time.Duration) {
		done := at
		if on {
			bar.Describe("layer on")
			done += length
		}
		_ = bar.Set(int(done.Seconds()))
	}
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}
