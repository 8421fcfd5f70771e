// Command overhead measures the latency that the system adds to a call on this
// machine.
package main

import (
	"context"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"waxwingseam.example/waxwingseam/timekeeper"
)

type command struct {
	Rate        int           `default:"135" help:"Calls per second."`
	Length      time.Duration `default:"10s" help:"Duration of each of the two loads."`
	ServiceTime time.Duration `default:"0s" help:"Mean service time of the stand-in."`
}

// Run measures the latencies and prints them.
func (c *command) Run() error {
	measurements, err := timekeeper.Run(context.Background(), timekeeper.Config{
		Rate:        c.Rate,
		Duration:    c.Length,
		ServiceTime: c.ServiceTime,
	})
	if err != nil {
		return err
	}
	return timekeeper.Print(os.Stdout, measurements)
}

func main() {
	var c command
	k := kong.Parse(&c, kong.Description("Measures the latency that the system adds to a call. Applies the same load to a stand-in directly and through two nodes, on loopback."))
	k.FatalIfErrorf(k.Run())
}
