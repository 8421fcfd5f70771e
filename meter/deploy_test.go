package meter_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam/meter"
)

// series finds the names of the project's metrics in a query.
var series = regexp.MustCompile(`waxwingseam_[a-z_]+`)

// TestDeployNamesAreRegistered checks that the dashboard and the alert rules
// name only metrics that a process has.
func TestDeployNamesAreRegistered(t *testing.T) {
	registered := meter.New().Names()
	for _, path := range []string{"../deploy/dashboard.json", "../deploy/alerts.yml"} {
		data, err := os.ReadFile(path)
		qt.Assert(t, err, qt.IsNil)
		found := series.FindAllString(string(data), -1)
		qt.Assert(t, len(found) > 0, qt.IsTrue)
		for _, name := range found {
			name = strings.TrimSuffix(name, "_bucket")
			qt.Check(t, registered, qt.Contains, name, qt.Commentf("%s", path))
		}
	}
}
