package loader

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestSettingsPageListsEveryKey checks that docs/SETTINGS.md lists every key of the
// settings file.
func TestSettingsPageListsEveryKey(t *testing.T) {
	page, err := os.ReadFile("../docs/SETTINGS.md")
	qt.Assert(t, err, qt.IsNil)
	for _, k := range keys {
		qt.Check(t, string(page), qt.Contains, "## ["+k.section+"]")
		qt.Check(t, string(page), qt.Contains, "| `"+k.name+"` |")
	}
}
