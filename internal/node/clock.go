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

// sinceNow returns a clock that starts at 0 and includes the time for which the machine
// is suspended.
func sinceNow() func() time.Duration {
	start := uptime()
	return func() time.Duration { return uptime() - start }
}

var processStart = time.Now()
