//go:build review3

// Package standins3 plays the platform, the operator, clients and backend servers for the
// scripts of the third review.
package standins3

import (
	"fmt"
	"os"
	"testing"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the name of a case to its play, which reports whether the rule held.
var cases = map[string]func(p *play) (held bool, err error){
	"lost-disks":               lostDisks,
	"replaced-core":            replacedCore,
	"retry-budget":             retryBudget,
	"refused-after-freeze":     refusedAfterFreeze,
	"leave-beside-frozen-node": leaveBesideFrozenNode,
}

// TestMain plays the case that the arguments name.
func TestMain(*testing.M) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins3 CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, program, record string) int {
	p, err := newPlay(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer p.end()
	held, err := cases[name](p)
	switch {
	case err != nil:
		p.note("the case could not run: %v", err)
		return exitNotRun
	case !held:
		p.note("RESULT: the rule was broken")
		return exitBroken
	}
	p.note("RESULT: the rule held")
	return exitHeld
}
