package faults

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"peardrift/bench/harness"
	"peardrift/bench/standin/platform"
	"peardrift/bench/standin/target"
	"peardrift/internal/status"
)

// controlTimeout is the timeout of one request to a control endpoint of a stand-in or
// a node.
const controlTimeout = 2 * time.Second

var controlClient = &http.Client{Timeout: controlTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// postControl sends a JSON command to a control endpoint of a stand-in or a node.
func postControl(url string, body any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return status.Wrap(harness.CodeHarness, err, "encode")
	}
	resp, err := controlClient.Post(url, "application/json", bytes.NewReader(b))
	if err != nil {
		return status.Wrap(harness.CodeHarness, err, "post %s", url)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return status.New(harness.CodeHarness, "post %s: %s", url, resp.Status)
	}
	return nil
}

// fetchCounters fetches the counters of a host's target.
func fetchCounters(h *harness.Host) (c target.Counters, err error) {
	resp, err := controlClient.Get("http://" + h.Addr.Target + "/control/counters")
	if err != nil {
		return c, status.Wrap(harness.CodeHarness, err, "counters of %s", h.Name)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&c); err != nil {
		return c, status.Wrap(harness.CodeHarness, err, "counters of %s", h.Name)
	}
	return c, nil
}

// setPlatformFaults sets the faults that the platform stand-in injects.
func (l *Lab) setPlatformFaults(f platform.Faults) error {
	return postControl(l.Fleet.URL+"/control/faults", f)
}

// applySet submits the lab's configuration set on a base version and returns the
// error of the command-line tool.
func (l *Lab) applySet(ctx context.Context, base int64) error {
	return l.submitSet(ctx, l.set, base)
}

func (l *Lab) submitSet(ctx context.Context, dir string, base int64) error {
	_, _, err := l.Fleet.RunTool(ctx, "apply", "--base", strconv.FormatInt(base, 10),
		"--node", l.Fleet.Hosts[0].Addr.Control, dir)
	if err == nil {
		l.version = base + 1
	}
	return err
}
