package main

import (
	"context"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/administrator"
	"waxwingseam.example/waxwingseam/operator"
)

type drainCommand struct {
	controlFlags
	submissionFlags
	Undo          bool   `help:"Undo the drain."`
	BackendServer string `arg:"" help:"Backend server to drain."`
}

// Run drains one backend server, or undoes its drain, as a separate revision.
func (c *drainCommand) Run() error {
	return c.withClient(func(ctx context.Context, client operator.Client) error {
		answer, err := client.Drain(ctx, administrator.DrainRequest{
			ID:             c.id(),
			BackendServer:  waxwingseam.ServerName(c.BackendServer),
			Undo:           c.Undo,
			AcceptWarnings: c.AcceptWarnings,
		})
		if err != nil {
			return err
		}
		printAnswer(answer)
		return nil
	})
}
