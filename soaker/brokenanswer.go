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
	return planApart(rand.New(rand.NewPCG(seed, 4)), FaultBackendBreaks, meanBreakGap, duration, targets)
}
