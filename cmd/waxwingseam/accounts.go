package main

import (
	"context"
	"fmt"
	"os"
	"strconv"

	"waxwingseam.example/waxwingseam/administrator"
	"waxwingseam.example/waxwingseam/operator"
)

type accountsCommand struct {
	controlFlags
	Output string `short:"o" enum:"table,json" default:"table" help:"Output format: table or json."`
}

// Run prints the use of client accounts against their limits, over all nodes.
func (c *accountsCommand) Run() error {
	return c.withClient(func(ctx context.Context, client operator.Client) error {
		answer, err := client.Accounts(ctx)
		if err != nil {
			return err
		}
		if c.Output == "json" {
			return printJSON(answer)
		}
		return printAccounts(answer)
	})
}

func printAccounts(a administrator.AccountsAnswer) error {
	fmt.Printf("revision %d: %d nodes in use, seen by %d of %d control replicas\n", a.Revision, a.Nodes, a.Replicas, a.Members)
	rows := make([][]string, 0, 1+len(a.Accounts))
	rows = append(rows, []string{"ACCOUNT", "RAN/S", "LIMIT/S", "OF LIMIT", "BURST", "REFUSED/S", "NOT RUN/S", "NODES"})
	for _, v := range a.Accounts {
		rows = append(rows, accountRow(v))
	}
	return printTable(os.Stdout, rows)
}

// accountRow returns the cells of one account. A limit that is not set is shown as -.
func accountRow(v administrator.AccountStatus) []string {
	name, limit, share, burst := string(v.Account), "-", "-", "-"
	switch {
	case name == "":
		name = "(others)"
	case !v.Known:
		name += " (removed)"
	}
	if v.Rate > 0 {
		limit = strconv.FormatFloat(v.Rate, 'f', -1, 64)
		share = fmt.Sprintf("%.0f %%", 100*v.Ran/v.Rate)
		burst = strconv.FormatFloat(v.Burst, 'f', -1, 64)
	}
	return []string{name, perSecond(v.Ran), limit, share, burst, perSecond(v.Refused), perSecond(v.NotRun), strconv.Itoa(v.Nodes)}
}

func perSecond(v float64) string {
	return strconv.FormatFloat(v, 'f', 1, 64)
}
