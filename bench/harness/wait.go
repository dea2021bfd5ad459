package harness

import (
	"context"
	"net/http"
	"time"

	"peardrift/internal/status"
)

const (
	awaitStep = 20 * time.Millisecond
	// startTime is more than the platform's stand-in or a target takes to
	// answer on a busy machine.
	startTime = 20 * time.Second
)

// Converged waits until each node knows all others as alive.
func (f *Fleet) Converged(within time.Duration) error {
	end := time.Now().Add(within)
	for _, h := range f.Hosts {
		know := func() bool {
			s, err := h.Status()
			return err == nil && s.Members["alive"] == len(f.Hosts)
		}
		if err := f.await(time.Until(end), know); err != nil {
			return status.Wrap(CodeHarness, err, "%s does not know all hosts", h.Name)
		}
	}
	return nil
}

// Ready waits until all nodes take calls. It fails at once if one has ended.
func (f *Fleet) Ready(within time.Duration) error {
	end := time.Now().Add(within)
	for _, h := range f.Hosts {
		ended := false
		ready := func() bool {
			ended = h.Node.Ended()
			return ended || status2xx("http://"+h.Addr.Ops+"/ready")
		}
		if err := f.await(time.Until(end), ready); err != nil {
			return status.Wrap(CodeHarness, err, "%s is not ready, see %s", h.Name, h.Node.Log)
		}
		if ended {
			return status.New(CodeHarness, "%s ended with code %d, see %s", h.Name, h.Node.Exited(), h.Node.Log)
		}
	}
	return nil
}

// await polls until ok, or fails after a time that only a broken fleet needs,
// and as soon as the fleet is closed.
func (f *Fleet) await(within time.Duration, ok func() bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	for !ok() {
		select {
		case <-ctx.Done():
			return status.New(CodeHarness, "not within %v", within.Round(time.Millisecond))
		case <-f.gone:
			return status.New(status.CodeCanceled, "the fleet was closed")
		case <-time.After(awaitStep):
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
