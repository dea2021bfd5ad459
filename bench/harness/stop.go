package harness

import (
	"strings"
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
	var failures []string
	for _, group := range [][]*Process{nodes, targets, {f.Platform}} {
		failures = append(failures, stopAll(group, grace)...)
	}
	if len(failures) > 0 {
		return status.New(CodeStop, "%s", strings.Join(failures, "; "))
	}
	return nil
}

// stopAll stops processes concurrently and describes each that did not shut down
// gracefully.
func stopAll(ps []*Process, grace time.Duration) []string {
	failures := make([]string, len(ps))
	var wg sync.WaitGroup
	for i, p := range ps {
		if p == nil {
			continue
		}
		wg.Go(func() { failures[i] = stopOne(p, grace) })
	}
	wg.Wait()
	var out []string
	for _, s := range failures {
		if s != "" {
			out = append(out, s)
		}
	}
	return out
}

func stopOne(p *Process, grace time.Duration) string {
	if p.Exited() {
		return p.Name + " had already exited"
	}
	if !p.Stop(grace) {
		return p.Name + " did not exit within " + grace.String()
	}
	if p.ExitCode() != 0 {
		return p.Name + " exited with " + p.cmd.ProcessState.String()
	}
	return ""
}
