//go:build !linux

package runner

import "time"

// sinceBoot returns 0, as the time since the boot of the host is unknown.
func sinceBoot() time.Duration {
	return 0
}
