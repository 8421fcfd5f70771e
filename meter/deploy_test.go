package meter_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam/meter"
)

// metricName matches the names of the project's metrics.
var metricName = regexp.MustCompile(`waxwingseam_[a-z_]+`)

// TestDeployedMetricNamesAreRegistered checks that the dashboard and the alert
// rules use only registered metrics.
func TestDeployedMetricNamesAreRegistered(t *testing.T) {
	registered := meter.New().Names()
	for _, path := range []string{"../deploy/dashboard.json", "../deploy/alerts.yml"} {
		data, err := os.ReadFile(path)
		qt.Assert(t, err, qt.IsNil)
		found := metricName.FindAllString(string(data), -1)
		qt.Assert(t, len(found) > 0, qt.IsTrue)
		for _, name := range found {
			name = strings.TrimSuffix(name, "_bucket")
			qt.Check(t, registered, qt.Contains, name, qt.Commentf("%s", path))
		}
	}
}
