package loader

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestPageNamesEveryKey keeps docs/SETTINGS.md whole.
func TestPageNamesEveryKey(t *testing.T) {
	page, err := os.ReadFile("../docs/SETTINGS.md")
	qt.Assert(t, err, qt.IsNil)
	for _, k := range keys {
		qt.Check(t, string(page), qt.Contains, "## ["+k.section+"]")
		qt.Check(t, string(page), qt.Contains, "| `"+k.name+"` |")
	}
}
