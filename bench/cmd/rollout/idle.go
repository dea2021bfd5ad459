package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"peardrift/bench/harness"
)

// usage is a node's total usage so far, and its current memory.
type usage struct {
	bytes    int64 // control traffic, sent and received
	cpu      time.Duration
	resident int64
}

func nodeUsage(f *harness.Fleet) ([]usage, error) {
	out := make([]usage, len(f.Hosts))
	for i, h := range f.Hosts {
		s, err := h.Status()
		if err != nil {
			return nil, err
		}
		out[i] = usage{s.Control.Bytes, h.Node.CPUTime(), h.Node.ResidentBytes()}
	}
	return out, nil
}

// measureIdle prints the cost of a node without changes and calls. The CPU time is that of
// the whole process, including health checks of the target.
func measureIdle(ctx context.Context, f *harness.Fleet, d time.Duration) error {
	before, err := nodeUsage(f)
	if err != nil {
		return err
	}
	began := time.Now()
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return ctx.Err()
	}
	after, err := nodeUsage(f)
	if err != nil {
		return err
	}
	took := time.Since(began).Seconds()
	rates, cpu, memory := make([]float64, len(after)), make([]float64, len(after)), make([]float64, len(after))
	for i := range after {
		rates[i] = float64(after[i].bytes-before[i].bytes) / took
		cpu[i] = float64((after[i].cpu - before[i].cpu).Microseconds()) / 1000 / took
		memory[i] = float64(after[i].resident) / (1 << 20)
	}
	fmt.Printf("Idle node over %v, minimum, median, maximum:\n", d)
	fmt.Printf("  control traffic, sent and received: %s bytes/s\n", formatRange(rates, 0))
	fmt.Printf("  CPU time of the process: %s ms/s\n", formatRange(cpu, 1))
	fmt.Printf("  resident memory: %s MiB\n", formatRange(memory, 1))
	return nil
}

// formatRange formats the minimum, median and maximum of values, which it sorts.
func formatRange(x []float64, digits int) string {
	slices.Sort(x)
	return fmt.Sprintf("%.*f, %.*f, %.*f", digits, x[0], digits, x[len(x)/2], digits, x[len(x)-1])
}
