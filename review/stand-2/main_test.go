//go:build review2

// Package stand2 plays the scripts of an independent review: it starts a small deployment
// with the programs and templates of the deploy file, plays clients, backends, the platform
// and the operator, and checks one rule. It has test files only, as it speaks the platform's
// protocol.
package stand2

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(s *system, trouble bool) (int, error){
	"leave":  leave,
	"memory": memory,
	"queue":  queue,
	"term":   term,
	"clock":  clock,
}

// TestMain plays the case that the first argument names. The cases need the exit codes above and
// time of their own, so that they aren't tests of this package.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(f func(*system, bool) (int, error), path string) int {
	record, err := newRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	s, err := newSystem(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer s.stop()
	timer := time.AfterFunc(115*time.Second, func() {
		record.add("the case took too long")
		s.stop()
		os.Exit(failed)
	})
	defer timer.Stop()
	code, err := f(s, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	record.add("exit %d", code)
	return code
}

// startAll starts cores and nodes and brings a first manifest into force.
func (s *system) startAll(cores int, services []string, first []byte) error {
	for range cores {
		s.addCore(true)
	}
	for _, v := range services {
		s.addNode(v)
	}
	for _, p := range append(append([]*process{}, s.cores...), s.nodes...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	if status, err := s.order(first, 20*time.Second); err != nil || status != 200 {
		return fmt.Errorf("the first manifest: %d %v", status, err)
	}
	if !s.awaitReady(20 * time.Second) {
		return fmt.Errorf("the nodes did not get ready")
	}
	return nil
}
