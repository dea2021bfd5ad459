package soak

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"peardrift/bench/deploy"
	"peardrift/bench/harness"
	"peardrift/bench/standin/client"
	"peardrift/bench/standin/target"
	"peardrift/internal/faultproxy"
	"peardrift/internal/settings"
	"peardrift/internal/status"
)

// configSet declares the services. Chains of one read or note take one slot of deep.
const configSet = `tenant: soak
share: 1
services:
  - name: front
    slots: 40
    connections: 500
    calls: [mid.soak]
    classes:
      - {name: read, method: GET, path: /read, importance: 20, deadline: 2s, objective: 1s, attempts: 2}
      - {name: note, method: POST, path: /note, importance: 40, deadline: 2s, objective: 1s, attempts: 2}
  - name: mid
    slots: 40
    connections: 500
    calls: [deep.soak]
    classes:
      - {name: read, method: GET, path: /read, importance: 20, deadline: 2s, attempts: 2}
      - {name: note, method: POST, path: /note, importance: 40, deadline: 2s, attempts: 2}
      - {name: pay, method: POST, path: /pay, importance: 90, deadline: 2s, objective: 1s, attempts: 2, atMostOnce: true, remember: 24h}
  - name: deep
    slots: 4
    connections: 500
    classes:
      - {name: read, method: GET, path: /read, importance: 20, deadline: 2s, objective: 500ms, attempts: 2}
      - {name: note, method: POST, path: /note, importance: 40, deadline: 2s, attempts: 2}
      - {name: pay, method: POST, path: /pay, importance: 90, deadline: 2s, attempts: 2}
`

const (
	deadline   = 2 * time.Second // of all classes
	deepSlots  = 4               // of each of the two targets of deep
	deepTime   = 20 * time.Millisecond
	surge      = 4.0 // factor of the demand, which is usually half of the capacity of deep
	slowFactor = 4   // of the time that slow targets take
	// resendWindow is short, as a node sends nothing again for one window after its start.
	resendWindow = time.Second
	grace        = 6 * time.Second // of a node's shutdown
	// stopTimeout bounds a shutdown as its process's end is seen: the grace, and the time to
	// schedule both processes on a busy machine.
	stopTimeout  = grace + 4*time.Second
	startTimeout = 60 * time.Second
	leaveAfter   = 60 * time.Millisecond // how long callers that leave early wait
)

var (
	services = []string{"front.soak", "mid.soak", "deep.soak"} // in the order of the chain
	zones    = []string{"bkk-a", "bkk-b"}
)

func deployment() deploy.Deployment {
	route := func(method, path, next string, work time.Duration) target.Route {
		r := target.Route{Method: method, Prefix: path, Size: 300, ServiceTime: work}
		if next != "" {
			r.Calls = []target.Call{{Service: next, Method: method, Path: path, Required: true}}
		}
		return r
	}
	const ms = time.Millisecond
	return deploy.Deployment{
		Tenant: "soak", Region: "bangkok", Zones: zones,
		Services: []deploy.Service{
			{Name: "front", Targets: 3, Slots: 40, Routes: []target.Route{
				route("GET", "/read", "mid.soak", ms), route("POST", "/note", "mid.soak", ms),
			}},
			{Name: "mid", Targets: 2, Slots: 40, Routes: []target.Route{
				route("GET", "/read", "deep.soak", ms), route("POST", "/note", "deep.soak", ms), route("POST", "/pay", "deep.soak", ms),
			}},
			{Name: "deep", Targets: 2, Slots: deepSlots, Routes: []target.Route{route("", "/", "", deepTime)}},
		},
	}
}

// fleet is a running fleet.
type fleet struct {
	*harness.Fleet
	data, callers map[string]*faultproxy.Proxy // by host name: for calls of nodes and of callers
	applying      sync.Mutex                   // serializes configurations
}

// openFleet starts a fleet. If that fails, its files are kept.
func openFleet(ctx context.Context, bins harness.Binaries) (f *fleet, err error) {
	f = &fleet{data: map[string]*faultproxy.Proxy{}, callers: map[string]*faultproxy.Proxy{}}
	if f.Fleet, err = harness.New(bins); err != nil {
		return nil, err
	}
	if err = f.start(ctx); err != nil {
		f.KeepFiles = true
		f.close()
	}
	return f, err
}

func (f *fleet) start(ctx context.Context) error {
	var failed error
	listen := func(proxies map[string]*faultproxy.Proxy, name, addr string) string {
		p, err := faultproxy.Listen(addr)
		if failed = errors.Join(failed, err); err != nil {
			return ""
		}
		proxies[name] = p
		return p.Addr()
	}
	f.TuneNode = func(h *harness.Host, s *settings.Settings) {
		s.Advertise.Data = listen(f.data, h.Name, h.Addr.Nodes)
		listen(f.callers, h.Name, h.Addr.Callers)
		for _, other := range f.Hosts {
			s.Peers = append(s.Peers, other.Addr.Control)
		}
		s.Limits.MemoryBytes, s.Traffic.Waiting = 128<<20, true
		s.Traffic.ResendRatio, s.Traffic.ResendWindow = 0.2, resendWindow
		s.Target.NotExecutedHeader = target.HeaderNotExecuted
		s.Shutdown = settings.Shutdown{Announce: time.Second / 2, Grace: grace}
		// The log of a process's output begins anew with each start.
		s.Logs.File, s.Logs.Level, s.Logs.PerSecond = filepath.Join(f.Dir, h.Name+".log.json"), "debug", 5000
	}
	f.TuneTarget = func(h *harness.Host, c *target.Config) { c.RunsFile = f.RunsFile(h) }
	if err := errors.Join(f.Add(deployment()), failed); err != nil {
		return err
	}
	if err := f.Start(); err != nil {
		return err
	}
	return errors.Join(f.apply(ctx, true), f.WaitReady(startTimeout), f.WaitConverged(startTimeout))
}

func (f *fleet) close() {
	f.Close()
	for name := range f.data {
		f.data[name].Close()
		f.callers[name].Close()
	}
}

// apply applies the set with or without objectives.
func (f *fleet) apply(ctx context.Context, objectives bool) error {
	f.applying.Lock()
	defer f.applying.Unlock()
	set := configSet
	if !objectives {
		set = strings.NewReplacer(", objective: 1s", "", ", objective: 500ms", "").Replace(set)
	}
	file := filepath.Join(f.Dir, "set.yaml")
	if err := os.WriteFile(file, []byte(set), 0o600); err != nil {
		return status.Wrap(harness.CodeHarness, err, "write the set")
	}
	return f.ApplyLatest(ctx, "soak", file)
}

// urls returns where the nodes of a zone accept callers.
func (f *fleet) urls(zone int) (urls []string) {
	for _, h := range f.Hosts {
		if h.Zone == zones[zone] {
			urls = append(urls, "http://"+f.callers[h.Name].Addr())
		}
	}
	return urls
}

// classes returns the load of one zone's callers: usually half of the capacity of deep.
func classes(p Plan, zone int) []client.Class {
	usual := deepSlots / deepTime.Seconds() / 2 // requests/s in a zone
	return []client.Class{
		{Name: "read", Host: "front.soak", Path: "/read", Phases: p.phases(0.3*usual, zone, false)},
		{Name: "note", Method: "POST", Host: "front.soak", Path: "/note", Body: 200, Phases: p.phases(0.2*usual, zone, false)},
		{Name: "pay", Method: "POST", Host: "mid.soak", Path: "/pay", Key: true, Body: 100, Attempts: 4,
			Backoff: 50 * time.Millisecond, Phases: p.phases(0.2*usual, zone, false)},
		{Name: "look", Host: "deep.soak", Path: "/read", Phases: p.phases(0.3*usual, zone, false)},
		{Name: "leave", Host: "front.soak", Path: "/read", Timeout: leaveAfter, Phases: p.phases(0.2*usual, zone, true)},
	}
}
