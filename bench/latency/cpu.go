package latency

import (
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// measureCPU starts measuring the CPU use of the machine and the generator. The returned
// function ends the measurement and stores it in s.
func (s *Sample) measureCPU() (end func()) {
	busy, all := machineCPU()
	own := processCPU()
	return func() {
		b, a := machineCPU()
		s.Utilization = (b - busy) / max(1, a-all)
		s.CallerCPU = (processCPU() - own) / time.Duration(max(1, s.Sent))
	}
}

// Positions of the idle times in the first line of /proc/stat.
const (
	fieldIdle   = 4
	fieldIOWait = 5
	// statFields excludes the guest times at the end of the line, which the other
	// fields already include.
	statFields = 9
)

// machineCPU returns the busy and the total time of all processors in ticks, or zeros
// if the system doesn't provide them.
func machineCPU() (busy, all float64) {
	b, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, 0
	}
	line, _, _ := strings.Cut(string(b), "\n")
	for i, f := range strings.Fields(line) {
		if i == 0 || i >= statFields {
			continue
		}
		n, _ := strconv.ParseFloat(f, 64)
		all += n
		if i != fieldIdle && i != fieldIOWait {
			busy += n
		}
	}
	return busy, all
}

// processCPU returns the CPU time of this process.
func processCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
