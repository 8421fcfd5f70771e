package soaker

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestUntrustedClientsTakeMemoryOfNode guards against a mix of untrusted clients that makes a
// node use more than its memory or end, or keeps ordinary callers from being served.
func TestUntrustedClientsTakeMemoryOfNode(t *testing.T) {
	program := filepath.Join(t.TempDir(), "waxwingseam")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, "waxwingseam.example/waxwingseam/cmd/waxwingseam").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	results, err := RunClients(t.Context(), ClientTrial{
		Program: program, Folder: t.TempDir(), Seed: 1, Kinds: []string{"mix"},
		Connections: 100, ReopenDelay: time.Second, Length: 4 * time.Second,
	})
	qt.Assert(t, err, qt.IsNil)
	for _, r := range results {
		qt.Assert(t, r.Ended, qt.HasLen, 0)
		qt.Assert(t, max(r.First, r.Receiving) < memoryMB, qt.IsTrue, qt.Commentf("%v", r))
		// The number of requests depends on the speed of the machine, their share does not.
		qt.Assert(t, float64(r.Served) >= 0.95*float64(r.Sent), qt.IsTrue, qt.Commentf("%v", r))
	}
}

// TestClientPlanDiffers guards against soaks of one seed with different untrusted clients.
func TestClientPlanDiffers(t *testing.T) {
	steps := PlanClients(1, 15*time.Second, 3)
	qt.Assert(t, len(steps) > 0, qt.IsTrue)
	qt.Assert(t, steps, qt.DeepEquals, PlanClients(1, 15*time.Second, 3))
	for _, s := range steps {
		qt.Assert(t, s.Target < 3 && s.Duration <= maxFaultDuration, qt.IsTrue)
	}
}
