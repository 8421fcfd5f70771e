package experimenter

import (
	"os"
	"runtime/debug"
	"testing"
)

// gcPercent trades memory for fewer collections of short-lived events.
const gcPercent = 400

func TestMain(m *testing.M) {
	debug.SetGCPercent(gcPercent)
	os.Exit(m.Run())
}
