package latency

import (
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// usage takes the machine's and the generator's use of the processors from now
// until the function that it returns is called.
func (s *Sample) usage() (end func()) {
	busy, all := machineTime()
	own := ownTime()
	return func() {
		b, a := machineTime()
		s.Busy = (b - busy) / max(1, a-all)
		s.Caller = (ownTime() - own) / time.Duration(max(1, s.Sent))
	}
}

// Positions in the first line of /proc/stat of the time without work.
const (
	fieldIdle = 4
	fieldWait = 5
	// fieldsOfStat are all of the line's but the guests' time, which is part of
	// the others.
	fieldsOfStat = 9
)

// machineTime returns the time that all processors worked, and their whole time,
// in ticks; nothing where the system doesn't tell.
func machineTime() (busy, all float64) {
	b, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, 0
	}
	line, _, _ := strings.Cut(string(b), "\n")
	for i, f := range strings.Fields(line) {
		if i == 0 || i >= fieldsOfStat {
			continue
		}
		n, _ := strconv.ParseFloat(f, 64)
		all += n
		if i != fieldIdle && i != fieldWait {
			busy += n
		}
	}
	return busy, all
}

// ownTime returns the processor time of this process.
func ownTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
