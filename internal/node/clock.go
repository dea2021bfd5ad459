package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// uptime returns a steady clock that counts the time for which the machine was
// suspended, unlike the one of package time.
func uptime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart) // a kernel without it
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()
