package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// uptime returns a monotonic clock that, unlike package time's, includes the time for
// which the machine was suspended.
func uptime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart) // the kernel lacks CLOCK_BOOTTIME
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()
