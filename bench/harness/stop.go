package harness

import (
	"strings"
	"sync"
	"time"

	"peardrift/internal/status"
)

// CodeStop is the code of a process that did not end as it should.
const CodeStop status.Code = "ungraceful-stop"

// Stop ends the fleet as an operator would: SIGTERM to all nodes, then to the
// targets, then to the platform. It fails if one had to be killed after grace,
// or ended with a code other than 0.
func (f *Fleet) Stop(grace time.Duration) error {
	var nodes, targets []*Process
	for _, h := range f.Hosts {
		nodes, targets = append(nodes, h.Node), append(targets, h.Target)
	}
	for _, h := range f.Direct {
		targets = append(targets, h.Target)
	}
	var faults []string
	for _, group := range [][]*Process{nodes, targets, {f.Platform}} {
		faults = append(faults, stopAll(group, grace)...)
	}
	if len(faults) > 0 {
		return status.New(CodeStop, "%s", strings.Join(faults, "; "))
	}
	return nil
}

// stopAll stops processes at the same time and tells which did not end well.
func stopAll(ps []*Process, grace time.Duration) []string {
	faults := make([]string, len(ps))
	var wg sync.WaitGroup
	for i, p := range ps {
		if p == nil {
			continue
		}
		wg.Go(func() { faults[i] = stopOne(p, grace) })
	}
	wg.Wait()
	var out []string
	for _, s := range faults {
		if s != "" {
			out = append(out, s)
		}
	}
	return out
}

func stopOne(p *Process, grace time.Duration) string {
	if p.Ended() {
		return p.Name + " had ended before"
	}
	if !p.Stop(grace) {
		return p.Name + " did not end within " + grace.String()
	}
	if p.Exited() != 0 {
		return p.Name + " ended with " + p.cmd.ProcessState.String()
	}
	return ""
}
