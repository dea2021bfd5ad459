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
	// keyedAttempts and keyedBackoff are those of a caller that has a key: it may
	// send again whatever it was left in doubt of, and is then told the outcome.
	keyedAttempts = 4
	keyedBackoff  = 300 * time.Millisecond
	// countersTime is more than a target takes to tell its counters.
	countersTime = 5 * time.Second
)

// patient makes the callers of at-most-once requests send again, under the same
// key, what did not complete.
//
// On a machine without a free processor a claim now and then waits for the
// platform's stand-in for longer than a node lets it, and the truthful answer is
// "unknown". A caller doesn't stop there; what counts is that it gets to know in
// the end, and that its request ran once, which ranOnce checks.
func patient(c *client.Class) {
	if c.Key {
		c.Attempts, c.Backoff, c.HonourRetryAfter = keyedAttempts, keyedBackoff, true
	}
}

// ranOnce holds what the targets ran against what the callers of at-most-once
// requests were told.
func (j *job) ranOnce(rows []row) error {
	completed := make(map[string]int64, len(rows))
	for _, r := range rows {
		completed[r.tenant+"/"+r.class] = r.nodes.ByResult[client.Completed]
	}
	var faults []error
	for _, d := range j.deps {
		for _, c := range d.Load {
			if !c.Key {
				continue
			}
			runs, err := j.runs(c)
			if err != nil {
				return err
			}
			faults = append(faults, judgeRuns(c.Name, runs, completed[d.Tenant+"/"+c.Name]))
		}
	}
	return errors.Join(faults...)
}

// judgeRuns names a class whose requests ran twice, or did not run though their
// callers were told so.
func judgeRuns(class string, runs map[string]int, completed int64) error {
	for key, n := range runs {
		if n > 1 {
			return status.New(CodeAnswer, "%s: %s ran %d times", class, key, n)
		}
	}
	if int64(len(runs)) < completed {
		return status.New(CodeAnswer, "%s: %d were told to have completed, %d ran", class, completed, len(runs))
	}
	return nil
}

// runs counts the runs of a class by key, over all targets of its service.
func (j *job) runs(c client.Class) (map[string]int, error) {
	out := make(map[string]int)
	for _, h := range j.fleet.Hosts {
		if h.Service != c.Host {
			continue
		}
		counters, err := countersOf(h)
		if err != nil {
			return nil, err
		}
		for key, n := range counters.Runs[c.Method+" "+c.Path] {
			out[key] += n
		}
	}
	return out, nil
}

func countersOf(h *harness.Host) (target.Counters, error) {
	var out target.Counters
	c := http.Client{Timeout: countersTime}
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
