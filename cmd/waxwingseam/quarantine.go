package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/operator"
)

type quarantineCommand struct {
	controlFlags
	Lift   string `xor:"order" help:"Digest of a request that may run again."`
	Set    string `xor:"order" help:"Digest of a request to refuse. It must have been at a server that ended."`
	Output string `short:"o" enum:"table,json" default:"table" help:"Output format: table or json."`
}

// Run lists the requests that are refused as they end backend servers, or lifts or sets the
// quarantine of one.
func (c *quarantineCommand) Run() error {
	return c.withClient(func(ctx context.Context, client operator.Client) error {
		text := c.Lift + c.Set
		if text == "" {
			return c.list(ctx, client)
		}
		digest, err := waxwingseam.ParseRequestDigest(text)
		if err != nil {
			return trace.Wrap(err)
		}
		answer, err := client.OrderQuarantine(ctx, waxwingseam.QuarantineOrder{Digest: digest, Lift: c.Lift != ""})
		if err != nil {
			return err
		}
		fmt.Printf("passed to %d nodes\n", answer.Nodes)
		return nil
	})
}

func (c *quarantineCommand) list(ctx context.Context, client operator.Client) error {
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(status.Quarantined)
	}
	return printQuarantined(status.Quarantined)
}

// printQuarantined prints the requests that are refused.
func printQuarantined(requests []waxwingseam.QuarantinedRequest) error {
	rows := make([][]string, 0, 1+len(requests))
	rows = append(rows, []string{"REQUEST", "STATE", "ENDS", "PROVEN", "SERVERS", "RUNNER-UP", "UNTIL"})
	for _, r := range requests {
		rows = append(rows, []string{
			r.Digest.String(), string(r.State), strconv.Itoa(r.Ends), strconv.Itoa(r.Proven),
			strconv.Itoa(r.Servers), strconv.Itoa(r.RunnerUp), r.Until.UTC().Format(time.RFC3339),
		})
	}
	return printTable(os.Stdout, rows)
}
