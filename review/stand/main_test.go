//go:build review

// Package stand plays the cases of the review: it starts the system's processes with the
// commands of the deploy file, and stand-ins for clients, backends, operators and the platform.
// It has test files only, as it speaks the platform's protocol.
package stand

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// play plays one case. It returns whether the rule was broken.
type play func(record *recorder, trouble bool) (broken bool, err error)

var plays = map[string]play{}

// TestMain plays the case that the first argument names. The cases need the exit codes above and
// time of their own, so that they aren't tests of this package.
func TestMain(*testing.M) {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		return exitCannot
	}
	p, ok := plays[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return exitCannot
	}
	record, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	broken, err := p(record, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.printf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitCannot
	case broken:
		record.printf("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	record.printf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
