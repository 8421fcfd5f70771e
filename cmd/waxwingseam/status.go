package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/administrator"
	"waxwingseam.example/waxwingseam/operator"
)

type statusCommand struct {
	controlFlags
	Output string `short:"o" enum:"table,json" default:"table" help:"Output format: table or json."`
}

// Run prints the state of the control replicas, nodes and backend servers.
func (c *statusCommand) Run() error {
	return c.withClient(func(ctx context.Context, client operator.Client) error {
		status, err := client.Status(ctx)
		if err != nil {
			return err
		}
		if c.Output == "json" {
			return printJSON(status)
		}
		return printStatus(status)
	})
}

// printLog prints the state of the replicated log and its members, as the answering
// replica reports them.
func printLog(s waxwingseam.ReplicaStatus) error {
	fmt.Printf("cluster %s: %s in term %d, committed %d, applied %d %s\n\n",
		s.Cluster, s.Role, s.Term, s.Commit, s.Applied, s.Refused)
	rows := make([][]string, 0, 1+len(s.Members))
	rows = append(rows, []string{"REPLICA", "ADDRESS", "VOTER", "LEADER", "MATCH", "SILENT TICKS"})
	for _, m := range s.Members {
		rows = append(rows, []string{
			string(m.Replica),
			m.Address.String(),
			strconv.FormatBool(m.Voter),
			strconv.FormatBool(m.Storage == s.Leader),
			strconv.FormatUint(uint64(m.Match), 10),
			strconv.Itoa(m.SilentTicks),
		})
	}
	if err := printTable(os.Stdout, rows); err != nil {
		return err
	}
	fmt.Println()
	return nil
}

func printStatus(s administrator.StatusAnswer) error {
	confirmation := "confirmed by a quorum"
	if !s.Current {
		confirmation = "NOT CONFIRMED: no quorum answers this replica"
	}
	fmt.Printf("replica %s: revision %d, digest %s, %s\n", s.Replica, s.Revision, s.Digest, confirmation)
	if err := printLog(s.Log); err != nil {
		return err
	}
	nodeRows := [][]string{{"WATCHED REPLICA", "REVISION", "NODES", "AT NEWEST", "LOWEST", "LAGGING"}}
	for _, n := range s.Nodes {
		lagging := make([]string, len(n.Lagging))
		for i, v := range n.Lagging {
			lagging[i] = string(v)
		}
		nodeRows = append(nodeRows, []string{
			string(n.Replica),
			strconv.FormatUint(uint64(n.Revision), 10),
			strconv.Itoa(n.Nodes),
			strconv.Itoa(n.Newest),
			strconv.FormatUint(uint64(n.Lowest), 10),
			strings.Join(lagging, " "),
		})
	}
	if err := printTable(os.Stdout, nodeRows); err != nil {
		return err
	}
	fmt.Println()
	serverRows := [][]string{{"BACKEND SERVER", "SERVICE", "DATA CENTRE", "NODE", "STATE", "FINDING"}}
	for _, v := range s.Servers {
		serverRows = append(serverRows, []string{
			string(v.Name), string(v.Service), string(v.DataCentre), v.Node, v.State, v.Finding,
		})
	}
	if err := printTable(os.Stdout, serverRows); err != nil || len(s.Quarantined) == 0 {
		return err
	}
	fmt.Println()
	return printQuarantined(s.Quarantined)
}
