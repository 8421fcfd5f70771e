// Command waxwingseam-host serves one process like "waxwingseam serve", in a program of
// two thirds of the size: it has no other commands and exports no traces.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/starter"
)

const (
	exitFindings = 1
	exitUsage    = 2
)

const usage = "usage: waxwingseam-host serve --settings FILE"

func main() {
	os.Exit(run(os.Args[1:]))
}

// run serves by the arguments and returns the exit code.
func run(arguments []string) int {
	if len(arguments) == 0 || arguments[0] != "serve" {
		fmt.Fprintln(os.Stderr, usage)
		return exitUsage
	}
	flags := flag.NewFlagSet("serve", flag.ContinueOnError)
	settings := flags.String("settings", "", "settings file of the process")
	if err := flags.Parse(arguments[1:]); err != nil || *settings == "" || flags.NArg() > 0 {
		fmt.Fprintln(os.Stderr, usage)
		return exitUsage
	}
	err := starter.Serve(starter.Config{Settings: *settings})
	if err == nil {
		return 0
	}
	var findings waxwingseam.Findings
	if errors.As(err, &findings) {
		for _, f := range findings {
			fmt.Fprintln(os.Stderr, f)
		}
		return exitFindings
	}
	fmt.Fprintln(os.Stderr, "waxwingseam-host:", err)
	return exitFindings
}
