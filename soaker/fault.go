package soaker

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Fault identifies a kind of fault that a soak injects.
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

// Faults returns all kinds of faults.
func Faults() []Fault {
	return []Fault{
		FaultNodeStop, FaultNodeKill, FaultNodePause,
		FaultControlStop, FaultControlKill, FaultControlPause,
		FaultPathReset, FaultPathSilent, FaultPathOneWay, FaultPathSlow,
		FaultBackendFails, FaultBackendSlow, FaultBackendHealthInverted, FaultReload,
	}
}

// Step is one fault of one host or control replica.
type Step struct {
	// At is the start of the fault, relative to the start of the load.
	At    time.Duration
	Fault Fault
	// Target is the index of the host or replica.
	Target int
	// Duration is the time that a pause or a fault of a path or backend server lasts.
	// After a kill, the process is restarted after half of it. A stop, a reset and a
	// reload ignore it.
	Duration time.Duration
	// Rate is the rate limit that a backend server names.
	Rate float64
}

// String describes the step in one line.
func (s Step) String() string {
	return fmt.Sprintf("%8s %s %d for %v", s.At.Round(time.Millisecond), s.Fault, s.Target, s.Duration.Round(time.Millisecond))
}

const (
	// meanFaultGap is the mean time between the starts of two faults. It is shorter
	// than the mean duration of a fault, so that faults overlap.
	meanFaultGap = 400 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound the duration of a fault. One is
	// shorter and one longer than the lease of 3 s.
	minFaultDuration = 100 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// maxSeriesLength is the most faults in a series.
	maxSeriesLength = 4
)

// Plan returns the faults of a soak that start within the duration, in the order of
// their starts. The same arguments give the same faults. Some faults form a series:
// the same kind of fault on consecutive targets. nodes and replicas are the numbers
// of possible targets.
func Plan(seed uint64, duration time.Duration, nodes, replicas int) []Step {
	random := rand.New(rand.NewPCG(seed, 1))
	kinds := Faults()
	var steps []Step
	at := time.Duration(0)
	for at < duration {
		kind := kinds[random.IntN(len(kinds))]
		targets := nodes
		switch kind {
		case FaultControlStop, FaultControlKill, FaultControlPause:
			targets = replicas
		}
		firstTarget := random.IntN(targets)
		series := 1
		if random.IntN(3) == 0 {
			series += random.IntN(maxSeriesLength)
		}
		for i := range series {
			at += time.Duration(random.Int64N(int64(2 * meanFaultGap)))
			if at >= duration {
				break
			}
			steps = append(steps, Step{
				At:       at,
				Fault:    kind,
				Target:   (firstTarget + i) % targets,
				Duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))),
			})
		}
	}
	return steps
}

// planApart returns faults of one kind, of random targets, that start a random time apart and last
// between minFaultDuration and maxFaultDuration.
func planApart(random *rand.Rand, fault Fault, meanGap, duration time.Duration, targets int) []Step {
	var steps []Step
	for at := time.Duration(random.Int64N(int64(meanGap))); at < duration; at += time.Duration(random.Int64N(int64(2 * meanGap))) {
		steps = append(steps, Step{
			At:       at,
			Fault:    fault,
			Target:   random.IntN(targets),
			Duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))),
		})
	}
	return steps
}
