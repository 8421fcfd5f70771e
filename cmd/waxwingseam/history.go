package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/historian"
	"waxwingseam.example/waxwingseam/operator"
)

// maxShownObjects is the largest number of objects listed in a row of the history.
const maxShownObjects = 4

type historyCommand struct {
	controlFlags
	After  uint64 `help:"Show only the revisions after this one; by default all that are kept."`
	Output string `short:"o" enum:"table,json" default:"table" help:"Output format: table or json."`
}

// Run prints the operator, the time and the changed objects of each revision.
func (c *historyCommand) Run() error {
	return c.withClient(func(ctx context.Context, client operator.Client) error {
		entries, err := c.read(ctx, client)
		if err != nil {
			return err
		}
		if c.Output == "json" {
			return printJSON(entries)
		}
		rows := [][]string{{"REVISION", "AT", "OPERATOR", "SUBMISSION-ID", "OBJECTS"}}
		for _, e := range entries {
			rows = append(rows, historyRow(e))
		}
		return printTable(os.Stdout, rows)
	})
}

// read returns all entries after the revision c.After. It requests them page by
// page.
func (c *historyCommand) read(ctx context.Context, client operator.Client) ([]historian.Entry, error) {
	entries := []historian.Entry{}
	after := waxwingseam.Revision(c.After)
	for {
		page, err := client.History(ctx, after)
		if err != nil {
			return nil, err
		}
		entries = append(entries, page.Entries...)
		if len(page.Entries) == 0 {
			return entries, nil
		}
		after = page.Entries[len(page.Entries)-1].Revision
	}
}

func historyRow(e historian.Entry) []string {
	names := make([]string, 0, maxShownObjects)
	for _, id := range e.Objects[:min(len(e.Objects), maxShownObjects)] {
		names = append(names, id.String())
	}
	objects := strings.Join(names, ", ")
	if more := e.Changed - len(names); more > 0 {
		objects += fmt.Sprintf(" and %d more", more)
	}
	return []string{
		strconv.FormatUint(uint64(e.Revision), 10),
		e.At.Format(time.RFC3339),
		e.Operator,
		string(e.Submission),
		objects,
	}
}
