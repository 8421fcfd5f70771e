package main

import (
	"context"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/administrator"
	"waxwingseam.example/waxwingseam/operator"
)

type applyCommand struct {
	controlFlags
	submissionFlags
	BaseRevision uint64   `required:"" help:"Revision that the files are based on; 0 if there is none yet."`
	Files        []string `arg:"" name:"file" help:"Files with the complete set of objects."`
}

// Run submits the files as a new revision.
func (c *applyCommand) Run() error {
	files, err := readFiles(c.Files)
	if err != nil {
		return err
	}
	return c.withClient(func(ctx context.Context, client operator.Client) error {
		answer, err := client.Submit(ctx, administrator.Submission{
			ID:             c.id(),
			BaseRevision:   waxwingseam.Revision(c.BaseRevision),
			AcceptWarnings: c.AcceptWarnings,
			Files:          files,
		})
		if err != nil {
			return err
		}
		printAnswer(answer)
		return nil
	})
}
