// Package timeralign aligns periodic work of different parts of a process to common
// instants. Waking an idle process costs more than most of the work it wakes for, so
// work that can wait a few milliseconds shares a wake-up.
package timeralign

import "time"

// processStart is the origin of the common instants.
var processStart = time.Now()

// Until returns the time from now to the next multiple of step since the process
// started that is at least d away.
func Until(now time.Time, d, step time.Duration) time.Duration {
	return untilNext(now.Sub(processStart), d, step)
}

func untilNext(now, d, step time.Duration) time.Duration {
	next := now + max(d, 0)
	if remainder := next % step; remainder > 0 {
		next += step - remainder
	}
	return next - now
}
