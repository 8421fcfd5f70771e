package soaker

import (
	"math/rand/v2"
	"time"
)

// FaultBackendBreaks is a backend server whose answers break the protocol or break off.
const FaultBackendBreaks Fault = "backend-breaks-answers"

// meanBreakGap is the mean time between the starts of two of these faults.
const meanBreakGap = 3 * time.Second

// PlanBrokenAnswers returns the times in which the answers of backend servers are broken. The same
// arguments give the same times.
func PlanBrokenAnswers(seed uint64, duration time.Duration, targets int) []Step {
	const stream = 4
	random := rand.New(rand.NewPCG(seed, stream))
	var steps []Step
	for at := time.Duration(random.Int64N(int64(meanBreakGap))); at < duration; at += time.Duration(random.Int64N(int64(2 * meanBreakGap))) {
		steps = append(steps, Step{
			At:       at,
			Fault:    FaultBackendBreaks,
			Target:   random.IntN(targets),
			Duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))),
		})
	}
	return steps
}
