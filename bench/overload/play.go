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

// Clients retry hard, as the replay's: after 60 ms in the mean, ten times at
// most, through one node after the other.
const (
	hardTries = 10
	hardWait  = 60 * time.Millisecond
	// lateAnswer is what the harness itself may need for an answer that is sent
	// at a request's deadline.
	lateAnswer = 100 * time.Millisecond
	// stopGrace exceeds a node's own bound of its shutdown.
	stopGrace = 40 * time.Second
)

// played is what a trace came to.
type played struct {
	start    time.Time
	nodes    bool
	mu       sync.Mutex
	attempts map[string][]client.Attempt // by mark, in order
	deep     int64                       // requests that the deep service's targets were sent
	dump     *Dump
}

func (p *played) observe(a client.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts[a.Mark] = append(p.attempts[a.Mark], a)
	if p.nodes {
		p.dump.attempt(p.start, a)
	}
}

// play sends the case's trace through nodes, or straight to the targets, plays
// its faults, and waits until nothing runs.
func (l *Lab) play(ctx context.Context, nodes bool) (*played, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before, err := l.arrivals(nodes)
	if err != nil {
		return nil, err
	}
	p := &played{start: time.Now(), nodes: nodes, attempts: make(map[string][]client.Attempt), dump: l.Dump}
	faults := make(chan error, 1)
	go func() { faults <- l.faults(ctx, p) }()
	var wg sync.WaitGroup
	var mu sync.Mutex
	if nodes {
		go l.Dump.gates(ctx, p.start, l.Fleet.Hosts)
	}
	for _, s := range l.Case.Dep.Services {
		cfg := client.Config{URLs: l.urls(s.Name, nodes), Seed: l.Case.Trace.Header.Seed, Observe: p.observe, Classes: l.classes(s.Name)}
		if len(cfg.Classes) == 0 {
			continue
		}
		wg.Go(func() {
			_, failed := client.Run(ctx, cfg)
			mu.Lock()
			defer mu.Unlock()
			err = errors.Join(err, failed)
		})
	}
	wg.Wait()
	if err := errors.Join(err, <-faults, l.quiet(ctx, nodes)); err != nil {
		return nil, err
	}
	after, err := l.arrivals(nodes)
	p.deep = after - before
	return p, err
}

// urls are where the requests to a service go: to any node, or to its targets.
func (l *Lab) urls(service string, nodes bool) []string {
	if !nodes {
		return l.Fleet.DirectURLs(l.Case.full(service))
	}
	var out []string
	for _, h := range l.Fleet.Hosts {
		out = append(out, "http://"+h.Addr.Callers)
	}
	return out
}

// classes are the trace's requests that enter at a service.
func (l *Lab) classes(service string) []client.Class {
	c := l.Case
	var out []client.Class
	for i := range c.Dep.Classes {
		class := &c.Dep.Classes[i]
		if class.Root.Service != service {
			continue
		}
		cl := client.Class{
			Name: class.Name, Method: method(class, true), Host: c.full(service), Path: path(class), Key: class.AtMostOnce,
			Timeout: c.Dep.Timeout + lateAnswer, Attempts: hardTries, Backoff: hardWait, MaxBackoff: 2 * hardWait, Patience: c.Dep.Patience,
		}
		for _, e := range c.Trace.Events {
			if e.Class == class.Name {
				cl.Times = append(cl.Times, e.T)
			}
		}
		if len(cl.Times) > 0 {
			out = append(out, cl)
		}
	}
	return out
}

// faults plays the trace's faults when they are due. Without nodes there is
// nothing to restart or to stop.
func (l *Lab) faults(ctx context.Context, p *played) error {
	for _, e := range l.Case.Trace.Events {
		if e.Fault == "" || !p.nodes && e.Fault != workload.Slow {
			continue
		}
		select {
		case <-time.After(time.Until(p.start.Add(e.T))):
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := l.fault(ctx, &e, p.nodes); err != nil {
			return err
		}
	}
	return nil
}

func (l *Lab) fault(ctx context.Context, e *workload.Event, nodes bool) error {
	hosts := l.hosts(e.Service, nodes)
	h := hosts[e.Target%len(hosts)]
	switch e.Fault {
	case workload.Slow:
		for _, h := range hosts {
			if err := slow(ctx, h, e.Factor); err != nil {
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

// stopInOrder stops a node and then its target as an operator would.
func stopInOrder(ps ...*harness.Process) error {
	for _, p := range ps {
		if !p.Stop(stopGrace) || p.Exited() != 0 {
			return status.New(CodeBroken, "%s ended with code %d within %v", p.Name, p.Exited(), stopGrace)
		}
	}
	return nil
}

// controlTime bounds a call to a target's control.
const controlTime = 5 * time.Second

func control(ctx context.Context, method, url string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTime)
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
		return status.New(CodeOverload, "%s answered %s", url, resp.Status)
	}
	if answer == nil {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(answer); err != nil {
		return status.Wrap(CodeOverload, err, "answer of %s", url)
	}
	return nil
}

func slow(ctx context.Context, h *harness.Host, factor float64) error {
	b, err := json.Marshal(map[string]float64{"factor": factor})
	if err != nil {
		return status.Wrap(CodeOverload, err, "encode")
	}
	return control(ctx, http.MethodPost, "http://"+h.Addr.Target+"/control/slow", b, nil)
}

func counters(ctx context.Context, h *harness.Host) (c target.Counters, err error) {
	return c, control(ctx, http.MethodGet, "http://"+h.Addr.Target+"/control/counters", nil, &c)
}

// arrivals counts what the deep service's targets were sent so far. A target
// that was restarted counts from its start.
func (l *Lab) arrivals(nodes bool) (n int64, err error) {
	for _, h := range l.hosts(l.Case.Dep.Deep, nodes) {
		c, err := counters(context.Background(), h)
		if err != nil {
			return 0, err
		}
		n += c.Started + c.Shed + c.Abandoned
	}
	return n, nil
}

// quiet waits until no target and no node runs anything.
func (l *Lab) quiet(ctx context.Context, nodes bool) error {
	ctx, cancel := context.WithTimeout(ctx, stopGrace)
	defer cancel()
	for _, s := range l.Case.Dep.Services {
		for _, h := range l.hosts(s.Name, nodes) {
			for !idle(ctx, h) {
				select {
				case <-ctx.Done():
					return status.New(CodeBroken, "%s still runs something %v after the load's end", h.Name, stopGrace)
				case <-time.After(20 * time.Millisecond):
				}
			}
		}
	}
	return nil
}

func idle(ctx context.Context, h *harness.Host) bool {
	c, err := counters(ctx, h)
	if err != nil || c.InFlight+c.Queued > 0 {
		return false
	}
	if h.Node == nil {
		return true
	}
	s, err := h.Status()
	return err == nil && s.InFlight == 0
}
