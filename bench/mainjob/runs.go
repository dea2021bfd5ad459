package mainjob

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"peardrift/bench/harness"
	"peardrift/bench/standin/client"
	"peardrift/bench/standin/target"
	"peardrift/internal/status"
)

const (
	// keyedAttempts and keyedBackoff apply to callers with an idempotency key: they may
	// retry requests with an unknown outcome and then get the outcome.
	keyedAttempts = 4
	keyedBackoff  = 300 * time.Millisecond
	// countersTimeout exceeds the time a target takes to return its counters.
	countersTimeout = 5 * time.Second
)

// retryKeyed makes callers of at-most-once requests retry, under the same key, requests
// that did not complete.
//
// On a fully loaded machine a claim sometimes waits for the platform stand-in beyond the
// node's timeout, and the correct outcome is "unknown". The caller then retries; it
// must learn the outcome in the end, and the request must run once (see checkRuns).
func retryKeyed(c *client.Class) {
	if c.Key {
		c.Attempts, c.Backoff, c.HonourRetryAfter = keyedAttempts, keyedBackoff, true
	}
}

// checkRuns compares the runs at targets with the results that callers of at-most-once
// requests saw.
func (j *job) checkRuns(rows []row) error {
	completed := make(map[string]int64, len(rows))
	for _, r := range rows {
		completed[r.tenant+"/"+r.class] = r.nodes.ByResult[client.Completed]
	}
	var errs []error
	for _, d := range j.deployments {
		for _, c := range d.Load {
			if !c.Key {
				continue
			}
			runs, err := j.countRuns(c)
			if err != nil {
				return err
			}
			errs = append(errs, checkClassRuns(c.Name, runs, completed[d.Tenant+"/"+c.Name]))
		}
	}
	return errors.Join(errs...)
}

// checkClassRuns returns an error if a request of a class ran more than once, or fewer
// requests ran than callers saw completed.
func checkClassRuns(class string, runs map[string]int, completed int64) error {
	for key, n := range runs {
		if n > 1 {
			return status.New(CodeAnswer, "%s: %s ran %d times", class, key, n)
		}
	}
	if int64(len(runs)) < completed {
		return status.New(CodeAnswer, "%s: %d requests were reported as completed, but %d ran", class, completed, len(runs))
	}
	return nil
}

// countRuns counts the runs of a class by idempotency key, over all targets of its service.
func (j *job) countRuns(c client.Class) (map[string]int, error) {
	out := make(map[string]int)
	for _, h := range j.fleet.Hosts {
		if h.Service != c.Host {
			continue
		}
		counters, err := fetchCounters(h)
		if err != nil {
			return nil, err
		}
		for key, n := range counters.Runs[c.Method+" "+c.Path] {
			out[key] += n
		}
	}
	return out, nil
}

func fetchCounters(h *harness.Host) (target.Counters, error) {
	var out target.Counters
	c := http.Client{Timeout: countersTimeout}
	resp, err := c.Get("http://" + h.Addr.Target + "/control/counters")
	if err != nil {
		return out, status.Wrap(harness.CodeHarness, err, "counters of %s", h.Name)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return out, status.Wrap(harness.CodeHarness, err, "counters of %s", h.Name)
	}
	return out, nil
}
