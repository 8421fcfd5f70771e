// Command waxwingseam runs one process of the overload control layer, or one of
// the operators' commands.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
)

// Exit codes. exitFailed is returned for findings, refusals and all other errors
// that are neither wrong usage nor an unreachable replica or unknown outcome.
const (
	exitDone        = 0
	exitFailed      = 1
	exitUsage       = 2
	exitUnreachable = 3
)

type commands struct {
	Serve      serveCommand      `cmd:"" help:"Run one process: a node, a control replica, or both."`
	Check      checkCommand      `cmd:"" help:"Check a set of objects offline and list all findings."`
	Apply      applyCommand      `cmd:"" help:"Submit a set of objects."`
	Get        getCommand        `cmd:"" help:"Show a revision's set of objects."`
	History    historyCommand    `cmd:"" help:"Show who changed what and when."`
	Diff       diffCommand       `cmd:"" help:"Compare files with the set in force."`
	Status     statusCommand     `cmd:"" help:"Show replicas, nodes and backend servers."`
	Drain      drainCommand      `cmd:"" help:"Drain a backend server, or undo its drain."`
	Quarantine quarantineCommand `cmd:"" help:"List the requests that are refused as they end backend servers, or lift or set a quarantine."`
	Accounts   accountsCommand   `cmd:"" help:"Show the use of client accounts against their limits, over all nodes."`
	Initialize initializeCommand `cmd:"" help:"Create the identity of a new cluster; run it only once."`
	Explain    explainCommand    `cmd:"" help:"Show the timeline of one request from the logs of several processes."`
	Demo       demoCommand       `cmd:"" help:"Show a deployment under a surge, without the layer and with it."`
	Completion completionCommand `cmd:"" help:"Print a completion script for bash."`
	Version    versionCommand    `cmd:"" help:"Print the version."`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run parses and runs one command and returns its exit code.
func run(arguments []string) int {
	var c commands
	exit := exitDone
	exited := false
	parser, err := kong.New(&c,
		kong.Name("waxwingseam"),
		kong.Description("Overload control for service call graphs. Exit codes: 0 done, 1 findings, refused or failed, 2 usage, 3 unreachable or outcome unknown."),
		kong.UsageOnError(),
		kong.Exit(func(code int) { exit, exited = code, true }),
	)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	parsed, err := parser.Parse(arguments)
	if exited {
		return exit
	}
	if err != nil {
		parser.Errorf("%s", err)
		return exitUsage
	}
	return exitCode(parsed.Run())
}

// exitCode prints an error, if there is one, and returns the matching exit code.
func exitCode(err error) int {
	if err == nil {
		return exitDone
	}
	var findings waxwingseam.Findings
	if errors.As(err, &findings) {
		fmt.Fprintln(os.Stderr, findings.Error())
		return exitFailed
	}
	fmt.Fprintln(os.Stderr, "waxwingseam:", trace.UserMessage(err))
	if trace.IsConnectionProblem(err) {
		return exitUnreachable
	}
	return exitFailed
}
