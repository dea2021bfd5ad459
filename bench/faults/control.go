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

// controlTime bounds one call to a stand-in's or a node's control.
const controlTime = 2 * time.Second

var controls = &http.Client{Timeout: controlTime, Transport: &http.Transport{DisableKeepAlives: true}}

// post tells a stand-in or a node to do something.
func post(url string, body any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return status.Wrap(harness.CodeHarness, err, "encode")
	}
	resp, err := controls.Post(url, "application/json", bytes.NewReader(b))
	if err != nil {
		return status.Wrap(harness.CodeHarness, err, "post %s", url)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return status.New(harness.CodeHarness, "post %s: %s", url, resp.Status)
	}
	return nil
}

// counters asks a host's target.
func counters(h *harness.Host) (c target.Counters, err error) {
	resp, err := controls.Get("http://" + h.Addr.Target + "/control/counters")
	if err != nil {
		return c, status.Wrap(harness.CodeHarness, err, "counters of %s", h.Name)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&c); err != nil {
		return c, status.Wrap(harness.CodeHarness, err, "counters of %s", h.Name)
	}
	return c, nil
}

// faults sets what is wrong with the platform.
func (l *Lab) faults(f platform.Faults) error { return post(l.Fleet.URL+"/control/faults", f) }

// apply submits the lab's set on top of a version and returns what the tool
// made of it.
func (l *Lab) apply(ctx context.Context, base int64) error {
	return l.submit(ctx, l.set, base)
}

func (l *Lab) submit(ctx context.Context, dir string, base int64) error {
	_, _, err := l.Fleet.Tool(ctx, "apply", "--base", strconv.FormatInt(base, 10),
		"--node", l.Fleet.Hosts[0].Addr.Control, dir)
	if err == nil {
		l.version = base + 1
	}
	return err
}
