package faults

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"peardrift/bench/deploy"
	"peardrift/bench/harness"
	"peardrift/bench/standin/target"
	"peardrift/internal/faultproxy"
	"peardrift/internal/settings"
	"peardrift/internal/status"
)

// Lab is a running fleet. Use it from one goroutine; call Close at the end.
type Lab struct {
	Fleet *harness.Fleet
	// Proxies holds, by host name, the proxy through which other nodes reach its node.
	Proxies map[string]*faultproxy.Proxy

	set     string // directory of the configuration set
	version int64  // version of the last accepted set
	seed    uint64 // seed of the last load
	shared  bool   // whether claims share rows
}

// labKey is the API key of the lab's organisation; its set holds the digest.
const labKey = "lab-key"

// configSet declares the lab's services. The organisation's limit exceeds what any
// scenario sends.
const configSet = `tenant: lab
share: 1
organisations:
  - {name: acme, keys: [sha256-c86bec5c22f475aa5a3b9220c8d0bc2b7d91ca9b1ff0272d75953f6643596bd4], rate: 120, burst: 60}
services:
  - name: feed
    slots: 50
    connections: 500
    calls: [archive.lab]
    classes:
      - {name: read, method: GET, path: /feed, anonymous: true, importance: 20, deadline: 2s, attempts: 2}
  - name: notices
    slots: 50
    connections: 500
    calls: [archive.lab]
    classes:
      - {name: publish, method: POST, path: /notices, anonymous: true, importance: 90, deadline: 3s, attempts: 2, atMostOnce: true, remember: 24h}
  - name: archive
    slots: 50
    connections: 500
    classes:
      - {name: article, method: GET, path: /articles, anonymous: true, importance: 20, deadline: 2s, attempts: 2}
      - {name: store, method: PUT, path: /articles, anonymous: true, importance: 50, deadline: 2s, attempts: 2}
      - {name: write, method: POST, path: /writes, anonymous: true, importance: 50, deadline: 2s, attempts: 2}
      - {name: upload, method: POST, path: /uploads, anonymous: true, importance: 80, deadline: 1m, attempts: 0, maxBody: 64MiB}
`

// deployment returns the deployment that the lab runs.
func deployment() deploy.Deployment {
	call := func(method string) []target.Call {
		return []target.Call{{Service: "archive.lab", Method: method, Path: "/articles/a", Required: true}}
	}
	return deploy.Deployment{
		Tenant: "lab", Region: "bangkok", Zones: []string{"bkk-a", "bkk-b"},
		Services: []deploy.Service{
			{Name: "feed", Targets: 2, Slots: 50, Routes: []target.Route{
				{Method: "GET", Prefix: "/feed", Size: 300, Calls: call("GET"), CrashMark: crashMark},
			}},
			{Name: "notices", Targets: 2, Slots: 50, Routes: []target.Route{
				{Method: "POST", Prefix: "/notices", Size: 100, ServiceTime: 5 * time.Millisecond, Calls: call("PUT")},
			}},
			{Name: "archive", Targets: 2, Slots: 50, Routes: []target.Route{
				{Prefix: "/articles", Size: 500},
				{Method: "POST", Prefix: "/writes", Size: 100},
				{Method: "POST", Prefix: "/uploads", ServiceTime: 200 * time.Millisecond},
			}},
		},
	}
}

// crashMark in a request's mark makes the target that runs the request crash.
const crashMark = "crash"

const (
	startTimeout    = 60 * time.Second // far longer than a start takes
	recoveryTimeout = 60 * time.Second // far longer than any recovery takes
	pollInterval    = 20 * time.Millisecond
)

// Open starts a lab from built programs.
func Open(ctx context.Context, bins harness.Binaries) (*Lab, error) { return open(ctx, bins, false) }

// OpenWithSharedClaims starts a lab whose publishes use dated keys with claims in shared rows.
func OpenWithSharedClaims(ctx context.Context, bins harness.Binaries) (*Lab, error) {
	return open(ctx, bins, true)
}

func open(ctx context.Context, bins harness.Binaries, shared bool) (*Lab, error) {
	f, err := harness.New(bins)
	if err != nil {
		return nil, err
	}
	l := &Lab{Fleet: f, Proxies: make(map[string]*faultproxy.Proxy), set: filepath.Join(f.Dir, "set"), shared: shared}
	if err := l.start(ctx); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

func (l *Lab) start(ctx context.Context) error {
	if err := l.writeSet(l.set, configSet); err != nil {
		return err
	}
	var proxyErr error
	l.Fleet.TuneNode = func(h *harness.Host, s *settings.Settings) {
		proxy, err := faultproxy.Listen(h.Addr.Nodes)
		if err != nil {
			proxyErr = err
			return
		}
		l.Proxies[h.Name] = proxy
		s.Advertise.Data = proxy.Addr()
		for _, other := range l.Fleet.Hosts { // those added before h
			s.Peers = append(s.Peers, other.Addr.Control)
		}
	}
	l.Fleet.TuneTarget = func(h *harness.Host, c *target.Config) {
		c.Dist, c.RunsFile = target.DistFixed, l.Fleet.RunsFile(h)
		c.AlwaysHealthy = h.Name == drainHost // a drain must be noticed without the health endpoint
	}
	if err := l.Fleet.Add(deployment()); err != nil || proxyErr != nil {
		return firstError(err, proxyErr)
	}
	if err := l.Fleet.Start(); err != nil {
		return err
	}
	if l.shared {
		if err := l.writeClaimLayout(ctx); err != nil {
			return err
		}
	}
	if err := l.applySet(ctx, 0); err != nil {
		return err
	}
	if err := l.Fleet.WaitReady(startTimeout); err != nil {
		return err
	}
	return l.Fleet.WaitConverged(startTimeout)
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (l *Lab) writeSet(dir, set string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return status.Wrap(harness.CodeHarness, err, "create the directory of the set")
	}
	if err := os.WriteFile(filepath.Join(dir, "lab.yaml"), []byte(set), 0o600); err != nil {
		return status.Wrap(harness.CodeHarness, err, "write the set")
	}
	return nil
}

// Close ends all processes and proxies.
func (l *Lab) Close() {
	l.Fleet.Close()
	for _, proxy := range l.Proxies {
		proxy.Close()
	}
}

// drainHost is the name of the host that the drain scenarios drain.
const drainHost = "lab-archive-1"

// host returns the n-th host of a service, counted from 1. It panics if there is none.
func (l *Lab) host(service string, n int) *harness.Host {
	for _, h := range l.Fleet.Hosts {
		if h.Service == service+".lab" {
			if n--; n == 0 {
				return h
			}
		}
	}
	panic("no such host: " + service) // a bug in a scenario
}

// callerURLs returns the URLs at which a service's nodes accept callers.
func (l *Lab) callerURLs(service string) (urls []string) {
	for _, h := range l.Fleet.Hosts {
		if h.Service == service+".lab" {
			urls = append(urls, "http://"+h.Addr.Callers)
		}
	}
	return urls
}

// await polls until ok returns true or the recovery timeout passes; what names the
// condition in the error.
func await(ctx context.Context, what string, ok func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	for !ok() {
		select {
		case <-ctx.Done():
			return status.New(CodeNotRecovered, "timed out; expected: %s", what)
		case <-time.After(pollInterval):
		}
	}
	return nil
}
