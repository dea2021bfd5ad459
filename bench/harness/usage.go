package harness

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of CPU time in /proc: USER_HZ is 100 on Linux.
const clockTick = 10 * time.Millisecond

// Field indices of user and system time in /proc/PID/stat, counted after the
// program name in parentheses.
const (
	fieldUser   = 11
	fieldSystem = 12
)

// CPUTime returns the CPU time that the process has used; 0 if it has exited.
func (p *Process) CPUTime() (used time.Duration) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(b), ") ")
	fields := strings.Fields(rest)
	for _, i := range []int{fieldUser, fieldSystem} {
		if n, err := strconv.ParseInt(fields[i], 10, 64); err == nil {
			used += time.Duration(n) * clockTick
		}
	}
	return used
}

// ResidentBytes returns the process's resident set size in bytes; 0 if it has exited.
func (p *Process) ResidentBytes() int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.Pid()))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(b))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}
