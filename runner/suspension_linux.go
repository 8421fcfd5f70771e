package runner

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the boot of the host, including suspensions; 0 if
// it is unknown.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}
