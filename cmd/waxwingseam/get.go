package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/operator"
)

type getCommand struct {
	controlFlags
	Revision uint64 `help:"Revision to show; the newest by default."`
	Output   string `short:"o" enum:"ini,json" default:"ini" help:"Output format: ini or json."`
}

// Run prints a revision's set of objects.
func (c *getCommand) Run() error {
	return c.withClient(func(ctx context.Context, client operator.Client) error {
		revision := waxwingseam.Revision(c.Revision)
		if c.Output == "json" {
			set, err := client.Set(ctx, revision)
			if err != nil {
				return err
			}
			return printJSON(set)
		}
		data, err := client.Format(ctx, revision)
		if err != nil {
			return err
		}
		_, err = os.Stdout.Write(data)
		return trace.Wrap(err)
	})
}

// printJSON prints a value as indented JSON.
func printJSON(v any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return trace.Wrap(encoder.Encode(v))
}
