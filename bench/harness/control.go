package harness

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"time"

	"peardrift/bench/standin/target"
	"peardrift/internal/status"
)

// controlTimeout is the timeout of one request to a control endpoint of a stand-in or
// a node.
const controlTimeout = 2 * time.Second

var controlClient = &http.Client{Timeout: controlTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// PostControl sends a JSON command to a control endpoint of a stand-in or a node.
func PostControl(url string, body any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return status.Wrap(CodeHarness, err, "encode")
	}
	resp, err := controlClient.Post(url, "application/json", bytes.NewReader(b))
	if err != nil {
		return status.Wrap(CodeHarness, err, "post %s", url)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return status.New(CodeHarness, "post %s: %s", url, resp.Status)
	}
	return nil
}

// Counters fetches the counters of the host's target.
func (h *Host) Counters() (c target.Counters, err error) {
	resp, err := controlClient.Get("http://" + h.Addr.Target + "/control/counters")
	if err != nil {
		return c, status.Wrap(CodeHarness, err, "counters of %s", h.Name)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&c); err != nil {
		return c, status.Wrap(CodeHarness, err, "counters of %s", h.Name)
	}
	return c, nil
}

// PostToTargets sends a JSON command to the control endpoint of all targets of a service.
func (f *Fleet) PostToTargets(service, command string, body any) (err error) {
	for _, h := range f.Hosts {
		if h.Service == service {
			err = errors.Join(err, PostControl("http://"+h.Addr.Target+"/control/"+command, body))
		}
	}
	return err
}

// WaitIdle waits until no target runs a request or has one waiting.
func (f *Fleet) WaitIdle(within time.Duration) error {
	err := f.WaitUntil(within, func() bool {
		return !slices.ContainsFunc(f.Hosts, func(h *Host) bool {
			c, err := h.Counters()
			return err != nil || c.InFlight+c.Queued > 0
		})
	})
	if err != nil {
		return status.Wrap(CodeHarness, err, "the targets are not idle")
	}
	return nil
}
