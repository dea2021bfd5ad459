package target

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"

	"peardrift/internal/status"
)

const (
	// maxIdle is the number of idle connections kept to the node.
	maxIdle = 256
	// maxReason is how much of a failed answer is told to the caller, in bytes:
	// enough for the problem document of a refusal three calls below.
	maxReason = 1024
)

// caller makes a target's outgoing calls. It uses net/http and not hertz,
// whose client doesn't end a call when its context is cancelled.
type caller struct {
	cfg    Config
	client *http.Client
	next   atomic.Uint64
	count  *counters

	mu  sync.Mutex
	rng *rand.Rand // draws whether calls with a chance are made
}

func newCaller(cfg Config, count *counters) *caller {
	tr := &http.Transport{MaxIdleConnsPerHost: maxIdle, DisableCompression: true}
	return &caller{cfg: cfg, client: &http.Client{Transport: tr, Timeout: cfg.CallTimeout}, count: count, rng: rand.New(rand.NewPCG(cfg.Seed, 2))}
}

func (c *caller) close() { c.client.CloseIdleConnections() }

// origin is what a run's calls take from the request that it serves.
type origin struct{ traceparent, mark, key string }

// all makes a route's calls and returns their results in the route's order.
// The error is the first required call's that failed.
func (c *caller) all(ctx context.Context, r Route, o origin) ([]Result, error) {
	calls := c.draw(r.Calls)
	results := make([]Result, len(calls))
	errs := make([]error, len(calls))
	var wg sync.WaitGroup
	for i, call := range calls {
		if r.Parallel {
			wg.Go(func() { results[i], errs[i] = c.one(ctx, call, o) })
			continue
		}
		results[i], errs[i] = c.one(ctx, call, o)
		if errs[i] != nil && call.Required {
			return results, errs[i]
		}
	}
	wg.Wait()
	for i, err := range errs {
		if err != nil && calls[i].Required {
			return results, err
		}
	}
	return results, nil
}

// draw returns the calls that this run makes.
func (c *caller) draw(calls []Call) []Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	made := make([]Call, 0, len(calls))
	for _, call := range calls {
		if call.Chance == 0 || c.rng.Float64() < call.Chance {
			made = append(made, call)
		}
	}
	return made
}

func (c *caller) one(ctx context.Context, call Call, o origin) (Result, error) {
	res := Result{Service: call.Service, Path: call.Path}
	var err error
	for range max(1, call.Attempts) {
		if ctx.Err() != nil {
			return res, context.Cause(ctx)
		}
		c.count.update(func(c *Counters) { c.Calls++ })
		if res.Status, res.Answer, err = c.attempt(ctx, call, o); err == nil {
			return res, nil
		}
	}
	return res, err
}

func (c *caller) attempt(ctx context.Context, call Call, o origin) (int, *Answer, error) {
	req, err := c.request(ctx, call, o)
	if err != nil {
		return 0, nil, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, nil, status.Wrap(status.CodeConnectionLost, err, "call %s%s", call.Service, call.Path)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, status.Wrap(status.CodeConnectionLost, err, "read %s%s", call.Service, call.Path)
	}
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, nil, status.New(status.CodeTargetFailed, "%s%s answered %d: %s",
			call.Service, call.Path, resp.StatusCode, body[:min(len(body), maxReason)])
	}
	a, err := Verify(body, o.mark)
	if err != nil {
		return resp.StatusCode, nil, err
	}
	return resp.StatusCode, &a, nil
}

func (c *caller) request(ctx context.Context, call Call, o origin) (*http.Request, error) {
	base := c.cfg.Node
	if direct := c.cfg.Direct[call.Service]; len(direct) > 0 {
		base = direct[c.next.Add(1)%uint64(len(direct))]
	}
	method := call.Method
	if method == "" {
		method = http.MethodGet
	}
	// The mark goes in the query: a target passes on no header but traceparent.
	target := base + call.Path + "?mark=" + url.QueryEscape(o.mark)
	req, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return nil, status.Wrap(status.CodeInvalidSettings, err, "call to %s", call.Service)
	}
	req.Host = call.Service
	if o.traceparent != "" {
		req.Header.Set("traceparent", o.traceparent)
	}
	if call.Key {
		// In lower case: by the usual spelling net/http takes the call as safe
		// to repeat, and would make calls that nobody counts.
		req.Header[strings.ToLower(headerKey)] = []string{o.key + "/" + call.Service + call.Path}
	}
	return req, nil
}
