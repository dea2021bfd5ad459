package harness

import (
	"context"
	"net/http"
	"time"

	"peardrift/internal/status"
)

const (
	pollInterval = 20 * time.Millisecond
	// startTimeout exceeds the time that the platform stand-in or a target needs
	// to answer on a busy machine.
	startTimeout = 20 * time.Second
)

// WaitConverged waits until every node sees all the others as alive.
func (f *Fleet) WaitConverged(within time.Duration) error {
	end := time.Now().Add(within)
	for _, h := range f.Hosts {
		knowsAll := func() bool {
			s, err := h.Status()
			return err == nil && s.Members["alive"] == len(f.Hosts)
		}
		if err := f.WaitUntil(time.Until(end), knowsAll); err != nil {
			return status.Wrap(CodeHarness, err, "%s does not see all hosts as alive", h.Name)
		}
	}
	return nil
}

// WaitReady waits until all nodes accept calls. It fails at once if a node has exited.
func (f *Fleet) WaitReady(within time.Duration) error {
	end := time.Now().Add(within)
	for _, h := range f.Hosts {
		exited := false
		ready := func() bool {
			exited = h.Node.Exited()
			return exited || status2xx("http://"+h.Addr.Ops+"/ready")
		}
		if err := f.WaitUntil(time.Until(end), ready); err != nil {
			return status.Wrap(CodeHarness, err, "%s is not ready, see %s", h.Name, h.Node.Log)
		}
		if exited {
			return status.New(CodeHarness, "%s exited with code %d, see %s", h.Name, h.Node.ExitCode(), h.Node.Log)
		}
	}
	return nil
}

// WaitUntil polls done until it reports true. It fails on timeout and as soon as
// the fleet is closed.
func (f *Fleet) WaitUntil(within time.Duration, done func() bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	for !done() {
		select {
		case <-ctx.Done():
			return status.New(CodeHarness, "condition not met within %v", within.Round(time.Millisecond))
		case <-f.closing:
			return status.New(status.CodeCanceled, "the fleet was closed")
		case <-time.After(pollInterval):
		}
	}
	return nil
}

func status2xx(url string) bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode < 300
}
