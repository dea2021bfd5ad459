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
	// maxIdleConns bounds the idle connections kept per host.
	maxIdleConns = 256
	// maxErrorBody bounds how much of a failed answer is included in the error, in
	// bytes: enough for the problem document of a refusal three calls deeper.
	maxErrorBody = 1024
)

// caller makes a target's outgoing calls. It uses net/http because the client of
// hertz does not abort a call when its context is cancelled.
type caller struct {
	cfg        Config
	client     *http.Client
	nextDirect atomic.Uint64
	count      *counters

	mu  sync.Mutex
	rng *rand.Rand // decides whether calls with a Probability are made
}

func newCaller(cfg Config, count *counters) *caller {
	tr := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}
	return &caller{cfg: cfg, client: &http.Client{Transport: tr, Timeout: cfg.CallTimeout}, count: count, rng: rand.New(rand.NewPCG(cfg.Seed, 2))}
}

func (c *caller) close() { c.client.CloseIdleConnections() }

// propagated holds the values that a run passes from its request to its calls.
type propagated struct{ traceparent, mark, key string }

// callAll makes a route's calls and returns their results in the route's order. It
// returns the error of the first required call that failed.
func (c *caller) callAll(ctx context.Context, r Route, o propagated) ([]Result, error) {
	calls := c.drawCalls(r.Calls)
	results := make([]Result, len(calls))
	errs := make([]error, len(calls))
	var wg sync.WaitGroup
	for i, call := range calls {
		if r.Parallel {
			wg.Go(func() { results[i], errs[i] = c.callWithRetries(ctx, call, o) })
			continue
		}
		results[i], errs[i] = c.callWithRetries(ctx, call, o)
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

// drawCalls randomly selects the calls that a run makes, by their Probability.
func (c *caller) drawCalls(calls []Call) []Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	made := make([]Call, 0, len(calls))
	for _, call := range calls {
		if call.Probability == 0 || c.rng.Float64() < call.Probability {
			made = append(made, call)
		}
	}
	return made
}

func (c *caller) callWithRetries(ctx context.Context, call Call, o propagated) (Result, error) {
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

func (c *caller) attempt(ctx context.Context, call Call, o propagated) (int, *Answer, error) {
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
			call.Service, call.Path, resp.StatusCode, body[:min(len(body), maxErrorBody)])
	}
	a, err := Verify(body, o.mark)
	if err != nil {
		return resp.StatusCode, nil, err
	}
	return resp.StatusCode, &a, nil
}

func (c *caller) request(ctx context.Context, call Call, o propagated) (*http.Request, error) {
	base := c.cfg.Node
	if direct := c.cfg.Direct[call.Service]; len(direct) > 0 {
		base = direct[c.nextDirect.Add(1)%uint64(len(direct))]
	}
	method := call.Method
	if method == "" {
		method = http.MethodGet
	}
	// The mark goes into the query: a target propagates no header but traceparent.
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
		// In lower case: with the canonical name net/http treats the call as
		// replayable and would add retries that are not counted.
		req.Header[strings.ToLower(headerKey)] = []string{o.key + "/" + call.Service + call.Path}
	}
	return req, nil
}
