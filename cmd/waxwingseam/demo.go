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
	Surge      float64 `default:"3" help:"Load of the surge as a multiple of saturation."`
	Seconds    int     `default:"20" help:"Duration of each of the two parts, without the layer and with it, in seconds."`
	Plot       string  `type:"path" default:"waxwingseam-demo.svg" help:"File that the plot is written to."`
	Seed       uint64  `default:"1" help:"Seed of the load."`
}

// progressInterval is the time between two progress lines if the output is not a
// terminal.
const progressInterval = 5 * time.Second

// Run loads a deployment with a surge, first without the layer and then with it,
// prints the results and writes the plot. It returns an error if a guarantee was
// broken with the layer.
func (c *demoCommand) Run() error {
	deployment, err := demonstrator.Find(c.Deployment)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	duration := time.Duration(c.Seconds) * time.Second
	fmt.Printf("%s: saturation at %.0f requests per second, surge to %g times that rate\n", deployment.Name, deployment.Saturation(), c.Surge)
	reports, err := demonstrator.Run(ctx, demonstrator.Config{
		Deployment: deployment,
		Surge:      c.Surge,
		Duration:   duration,
		Progress:   newProgress(duration),
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
		return trace.CompareFailed("the layer broke a guarantee")
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

// newProgress returns a function that shows progress: as a bar if the output is a
// terminal, and in lines otherwise.
func newProgress(duration time.Duration) func(withLayer bool, at time.Duration) {
	if term.IsTerminal(int(os.Stdout.Fd())) {
		return newBar(duration)
	}
	last := time.Duration(-1)
	return func(withLayer bool, at time.Duration) {
		if step := at / progressInterval; step != last {
			last = step
			fmt.Printf("layer %s: %d of %d s\n", onOff(withLayer), int(at.Seconds()), int(duration.Seconds()))
		}
	}
}

func newBar(duration time.Duration) func(withLayer bool, at time.Duration) {
	bar := progressbar.Default(int64(2*duration.Seconds()), "layer off")
	return func(withLayer bool, at time.Duration) {
		done := at
		if withLayer {
			bar.Describe("layer on")
			done += duration
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
