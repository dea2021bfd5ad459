package overload

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"peardrift/bench/harness"
	"peardrift/bench/replay/workload"
	"peardrift/bench/standin/client"
	"peardrift/bench/standin/target"
	"peardrift/internal/status"
)

// Clients retry aggressively, as in the replay: after 60 ms on average, up to ten
// attempts, through the nodes in turn.
const (
	maxAttempts  = 10
	retryBackoff = 60 * time.Millisecond
	// answerSlack is the time that the harness itself may need for an answer sent at
	// the request's deadline.
	answerSlack = 100 * time.Millisecond
	// stopTimeout exceeds the node's own shutdown timeout.
	stopTimeout = 40 * time.Second
)

// playback records the attempts of a played trace.
type playback struct {
	start              time.Time
	nodes              bool
	mu                 sync.Mutex
	attempts           map[string][]client.Attempt // by mark, in order
	downstreamRequests int64                       // requests sent to the DownstreamService's targets
	dump               *Dump
}

func (p *playback) observe(a client.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts[a.RequestMark] = append(p.attempts[a.RequestMark], a)
	if p.nodes {
		p.dump.recordAttempt(p.start, a)
	}
}

// play sends the case's trace through nodes, or directly to the targets, injects its
// faults, and waits until all processes are idle.
func (l *Lab) play(ctx context.Context, nodes bool) (*playback, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before, err := l.downstreamArrivals(nodes)
	if err != nil {
		return nil, err
	}
	p := &playback{start: time.Now(), nodes: nodes, attempts: make(map[string][]client.Attempt), dump: l.Dump}
	faults := make(chan error, 1)
	go func() { faults <- l.injectFaults(ctx, p) }()
	var wg sync.WaitGroup
	var mu sync.Mutex
	if nodes {
		go l.Dump.recordGates(ctx, p.start, l.Fleet.Hosts)
	}
	for _, s := range l.Case.Deployment.Services {
		cfg := client.Config{URLs: l.urls(s.Name, nodes), Seed: l.Case.Trace.Header.Seed, Observe: p.observe, Classes: l.classes(s.Name)}
		if len(cfg.Classes) == 0 {
			continue
		}
		wg.Go(func() {
			_, runErr := client.Run(ctx, cfg)
			mu.Lock()
			defer mu.Unlock()
			err = errors.Join(err, runErr)
		})
	}
	wg.Wait()
	if err := errors.Join(err, <-faults, l.awaitIdle(ctx, nodes)); err != nil {
		return nil, err
	}
	after, err := l.downstreamArrivals(nodes)
	p.downstreamRequests = after - before
	return p, err
}

// urls returns the URLs for requests to a service: those of all nodes, or of its targets.
func (l *Lab) urls(service string, nodes bool) []string {
	if !nodes {
		return l.Fleet.DirectURLs(l.Case.fullName(service))
	}
	var out []string
	for _, h := range l.Fleet.Hosts {
		out = append(out, "http://"+h.Addr.Callers)
	}
	return out
}

// classes returns the client classes for the trace's requests that enter at a service.
func (l *Lab) classes(service string) []client.Class {
	c := l.Case
	var out []client.Class
	for i := range c.Deployment.Classes {
		class := &c.Deployment.Classes[i]
		if class.Root.Service != service {
			continue
		}
		cl := client.Class{
			Name: class.Name, Method: methodOf(class, true), Host: c.fullName(service), Path: pathOf(class), Key: class.AtMostOnce,
			Timeout: c.Deployment.Timeout + answerSlack, Attempts: maxAttempts, Backoff: retryBackoff, MaxBackoff: 2 * retryBackoff, RetryWindow: c.Deployment.RetryWindow,
		}
		for _, e := range c.Trace.Events {
			if e.Class == class.Name {
				cl.ArrivalTimes = append(cl.ArrivalTimes, e.T)
			}
		}
		if len(cl.ArrivalTimes) > 0 {
			out = append(out, cl)
		}
	}
	return out
}

// injectFaults injects the trace's faults when they are due. Without nodes there is nothing
// to restart or stop, so only slowdowns are injected.
func (l *Lab) injectFaults(ctx context.Context, p *playback) error {
	for _, e := range l.Case.Trace.Events {
		if e.Fault == "" || !p.nodes && e.Fault != workload.Slow {
			continue
		}
		select {
		case <-time.After(time.Until(p.start.Add(e.T))):
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := l.injectFault(ctx, &e, p.nodes); err != nil {
			return err
		}
	}
	return nil
}

func (l *Lab) injectFault(ctx context.Context, e *workload.Event, nodes bool) error {
	hosts := l.hosts(e.Service, nodes)
	h := hosts[e.Target%len(hosts)]
	switch e.Fault {
	case workload.Slow:
		for _, h := range hosts {
			if err := setSlowdown(ctx, h, e.Factor); err != nil {
				return err
			}
		}
	case workload.Restart:
		h.Node.Kill()
		return l.Fleet.StartNode(h)
	case workload.Drain:
		return stopInOrder(h.Node, h.Target)
	case workload.Start:
		return errors.Join(l.Fleet.StartTarget(h), l.Fleet.StartNode(h))
	}
	return nil
}

// stopInOrder stops processes one after the other, as an operator stops a node and
// then its target.
func stopInOrder(ps ...*harness.Process) error {
	for _, p := range ps {
		if !p.Stop(stopTimeout) || p.ExitCode() != 0 {
			return status.New(CodeGuaranteeViolated, "%s did not exit cleanly: code %d, limit %v", p.Name, p.ExitCode(), stopTimeout)
		}
	}
	return nil
}

// controlTimeout is the timeout of a call to a target's control endpoint.
const controlTimeout = 5 * time.Second

func callControl(ctx context.Context, method, url string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return status.Wrap(CodeOverload, err, "call %s", url)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return status.Wrap(CodeOverload, err, "call %s", url)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return status.New(CodeOverload, "%s responded %s", url, resp.Status)
	}
	if answer == nil {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(answer); err != nil {
		return status.Wrap(CodeOverload, err, "decode the response of %s", url)
	}
	return nil
}

func setSlowdown(ctx context.Context, h *harness.Host, factor float64) error {
	b, err := json.Marshal(map[string]float64{"factor": factor})
	if err != nil {
		return status.Wrap(CodeOverload, err, "encode")
	}
	return callControl(ctx, http.MethodPost, "http://"+h.Addr.Target+"/control/slow", b, nil)
}

func fetchCounters(ctx context.Context, h *harness.Host) (c target.Counters, err error) {
	return c, callControl(ctx, http.MethodGet, "http://"+h.Addr.Target+"/control/counters", nil, &c)
}

// downstreamArrivals counts the requests sent to the DownstreamService's targets so far. A
// restarted target counts from its restart.
func (l *Lab) downstreamArrivals(nodes bool) (n int64, err error) {
	for _, h := range l.hosts(l.Case.Deployment.DownstreamService, nodes) {
		c, err := fetchCounters(context.Background(), h)
		if err != nil {
			return 0, err
		}
		n += c.Started + c.Shed + c.Abandoned
	}
	return n, nil
}

// awaitIdle waits until all targets and nodes are idle.
func (l *Lab) awaitIdle(ctx context.Context, nodes bool) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	for _, s := range l.Case.Deployment.Services {
		for _, h := range l.hosts(s.Name, nodes) {
			for !idle(ctx, h) {
				select {
				case <-ctx.Done():
					return status.New(CodeGuaranteeViolated, "%s is still busy %v after the end of the load", h.Name, stopTimeout)
				case <-time.After(20 * time.Millisecond):
				}
			}
		}
	}
	return nil
}

func idle(ctx context.Context, h *harness.Host) bool {
	c, err := fetchCounters(ctx, h)
	if err != nil || c.InFlight+c.Queued > 0 {
		return false
	}
	if h.Node == nil {
		return true
	}
	s, err := h.Status()
	return err == nil && s.InFlight == 0
}
