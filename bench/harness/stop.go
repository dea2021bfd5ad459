package harness

import (
	"errors"
	"sync"
	"time"

	"peardrift/internal/status"
)

// CodeStop is the error code for a process that did not shut down gracefully.
const CodeStop status.Code = "ungraceful-stop"

// Stop shuts the fleet down gracefully: it sends SIGTERM to all nodes, then to the
// targets, then to the platform. It fails if a process exited before, had to be
// killed after grace or exited with a code other than 0.
func (f *Fleet) Stop(grace time.Duration) error {
	var nodes, targets []*Process
	for _, h := range f.Hosts {
		nodes, targets = append(nodes, h.Node), append(targets, h.Target)
	}
	for _, h := range f.Direct {
		targets = append(targets, h.Target)
	}
	var failures []error
	for _, group := range [][]*Process{nodes, targets, {f.Platform}} {
		failures = append(failures, stopAll(group, grace))
	}
	return errors.Join(failures...)
}

// stopAll stops processes concurrently.
func stopAll(ps []*Process, grace time.Duration) error {
	failures := make([]error, len(ps))
	var wg sync.WaitGroup
	for i, p := range ps {
		if p != nil {
			wg.Go(func() { failures[i] = p.StopCleanly(grace) })
		}
	}
	wg.Wait()
	return errors.Join(failures...)
}

// StopCleanly sends SIGTERM. It fails if the process has already exited, has to be killed
// after grace, or exits with a code other than 0.
func (p *Process) StopCleanly(grace time.Duration) error {
	if p.Exited() {
		return status.New(CodeStop, "%s had already exited", p.Name)
	}
	if !p.Stop(grace) {
		return status.New(CodeStop, "%s did not exit within %v", p.Name, grace)
	}
	if p.ExitCode() != 0 {
		return status.New(CodeStop, "%s exited with %v", p.Name, p.cmd.ProcessState)
	}
	return nil
}
