package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"peardrift/bench/harness"
)

// cost is what a node has used so far, and its memory now.
type cost struct {
	bytes    int64 // of control, sent and received
	cpu      time.Duration
	resident int64
}

func spent(f *harness.Fleet) ([]cost, error) {
	out := make([]cost, len(f.Hosts))
	for i, h := range f.Hosts {
		s, err := h.Status()
		if err != nil {
			return nil, err
		}
		out[i] = cost{s.Control.Bytes, h.Node.CPU(), h.Node.Resident()}
	}
	return out, nil
}

// rest prints what a node costs while nothing changes and no call comes. The
// processor time is that of the whole process, with its questions to the
// target's health.
func rest(ctx context.Context, f *harness.Fleet, d time.Duration) error {
	before, err := spent(f)
	if err != nil {
		return err
	}
	began := time.Now()
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return ctx.Err()
	}
	after, err := spent(f)
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
	fmt.Printf("A node at rest over %v, least, median, most:\n", d)
	fmt.Printf("  control, sent and received: %s bytes/s\n", spread(rates, 0))
	fmt.Printf("  processor time of the process: %s ms/s\n", spread(cpu, 1))
	fmt.Printf("  resident memory: %s MiB\n", spread(memory, 1))
	return nil
}

// spread formats the least, the median and the most of some values.
func spread(x []float64, digits int) string {
	slices.Sort(x)
	return fmt.Sprintf("%.*f, %.*f, %.*f", digits, x[0], digits, x[len(x)/2], digits, x[len(x)-1])
}
