package soaker

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Fault is one kind of trouble.
type Fault string

// The kinds of faults.
const (
	FaultNodeStop              Fault = "node-stop"
	FaultNodeKill              Fault = "node-kill"
	FaultNodePause             Fault = "node-pause"
	FaultControlStop           Fault = "control-stop"
	FaultControlKill           Fault = "control-kill"
	FaultControlPause          Fault = "control-pause"
	FaultPathReset             Fault = "path-reset"
	FaultPathSilent            Fault = "path-silent"
	FaultPathOneWay            Fault = "path-one-way"
	FaultPathSlow              Fault = "path-slow"
	FaultBackendFails          Fault = "backend-fails"
	FaultBackendSlow           Fault = "backend-slow"
	FaultBackendHealthInverted Fault = "backend-lies"
	FaultReload                Fault = "reload"
)

// Faults lists all kinds.
func Faults() []Fault {
	return []Fault{
		FaultNodeStop, FaultNodeKill, FaultNodePause,
		FaultControlStop, FaultControlKill, FaultControlPause,
		FaultPathReset, FaultPathSilent, FaultPathOneWay, FaultPathSlow,
		FaultBackendFails, FaultBackendSlow, FaultBackendHealthInverted, FaultReload,
	}
}

// Step is one fault at one process.
type Step struct {
	// At is the time from the start of the load.
	At    time.Duration
	Fault Fault
	// Target is the number of the node or replica.
	Target int
	// Duration is the time that the fault lasts.
	Duration time.Duration
}

// String describes a step in one line.
func (s Step) String() string {
	return fmt.Sprintf("%8s %s %d for %v", s.At.Round(time.Millisecond), s.Fault, s.Target, s.Duration.Round(time.Millisecond))
}

const (
	// meanGap is the mean time between two faults; less than they last, so that
	// they overlap.
	meanGap = 400 * time.Millisecond
	// shortest and longest bound how long a fault lasts: below and beyond the
	// lease of 3 s.
	shortest = 100 * time.Millisecond
	longest  = 4 * time.Second
	// seriesLength is the most faults of one kind that follow one another.
	seriesLength = 4
)

// Plan draws the faults of a soak. Some come in series: the same kind at one
// process after the other.
func Plan(seed uint64, length time.Duration, nodes, replicas int) []Step {
	random := rand.New(rand.NewPCG(seed, 1))
	kinds := Faults()
	var steps []Step
	at := time.Duration(0)
	for at < length {
		kind := kinds[random.IntN(len(kinds))]
		targets := nodes
		switch kind {
		case FaultControlStop, FaultControlKill, FaultControlPause:
			targets = replicas
		}
		first := random.IntN(targets)
		series := 1
		if random.IntN(3) == 0 {
			series += random.IntN(seriesLength)
		}
		for i := range series {
			at += time.Duration(random.Int64N(int64(2 * meanGap)))
			if at >= length {
				break
			}
			steps = append(steps, Step{
				At:       at,
				Fault:    kind,
				Target:   (first + i) % targets,
				Duration: shortest + time.Duration(random.Int64N(int64(longest-shortest))),
			})
		}
	}
	return steps
}
