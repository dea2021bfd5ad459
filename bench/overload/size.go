package overload

import (
	"fmt"
	"slices"
	"time"

	"peardrift/bench/replay/workload"
	"peardrift/internal/status"
)

// CodeOverload is the code of failures of this package's own.
const CodeOverload status.Code = "overload-bench"

// Size makes a deployment of the replay small enough for one machine.
type Size struct {
	Targets int // a service has 1/Targets of its targets, rounded up, at least two
	Slots   int // a target has 1/Slots of its slots and connections
	Stretch int // service times, time-outs and patience are this many times as long
}

// leastTargets leaves a call somewhere else to go.
const leastTargets = 2

// Of returns the deployment in this size.
func (z Size) Of(d *workload.Deployment) *workload.Deployment {
	out := d.Scaled(max(1, z.Slots))
	stretch := time.Duration(max(1, z.Stretch))
	out.Timeout, out.Patience = d.Timeout*stretch, d.Patience*stretch
	for i, s := range out.Services {
		out.Services[i].Targets = max(leastTargets, (s.Targets+z.Targets-1)/max(1, z.Targets))
	}
	out.Classes = slices.Clone(d.Classes)
	for i := range out.Classes {
		out.Classes[i].Root = stretched(out.Classes[i].Root, stretch)
	}
	return out
}

func stretched(c workload.Call, by time.Duration) workload.Call {
	c.Work *= by
	steps := make([][]workload.Sub, len(c.Steps))
	for i, step := range c.Steps {
		for _, sub := range step {
			sub.Call = stretched(sub.Call, by)
			steps[i] = append(steps[i], sub)
		}
	}
	c.Steps = steps
	return c
}

// Case is one deployment with one scenario.
type Case struct {
	Dep   *workload.Deployment
	Trace *workload.Trace
	// Owner names the tenant of each service that isn't Dep.Name's.
	Owner map[string]string
}

// Stop is a scenario of this package: a node of the deep service is told to stop
// in the worst case, then its target, and both come back. Flood is the replay's,
// on services of two tenants.
const (
	Stop  = "stop"
	Flood = "flood"
)

// NewCase makes the case of a scenario of the replay, or of Stop.
func NewCase(deployment, scenario string, z Size, l workload.Lengths, seed uint64) (*Case, error) {
	base, c := workload.Deployments()[deployment], &Case{}
	if scenario == Flood {
		base, c.Owner = flooded()
	}
	if base == nil {
		return nil, status.New(CodeOverload, "there is no deployment %q", deployment)
	}
	c.Dep = z.Of(base)
	var sc *workload.Scenario
	if scenario == Stop {
		sc = workload.ScenarioFor("worst", c.Dep, l)
		sc.Name = Stop
		sc.Faults = append(sc.Faults,
			workload.Event{T: l.During / 4, Fault: workload.Drain, Service: c.Dep.Deep},
			workload.Event{T: l.During * 3 / 4, Fault: workload.Start, Service: c.Dep.Deep})
	} else if sc = workload.ScenarioFor(scenario, c.Dep, l); sc == nil {
		return nil, status.New(CodeOverload, "there is no scenario %q", scenario)
	}
	c.Trace = workload.Generate(c.Dep, sc, seed)
	return c, c.check()
}

// check refuses faults that are not played on processes.
func (c *Case) check() error {
	for _, e := range c.Trace.Events {
		switch e.Fault {
		case "", workload.Slow, workload.Restart, workload.Drain, workload.Start:
		default:
			return status.New(CodeOverload, "the fault %q is not played on processes", e.Fault)
		}
	}
	return nil
}

// flooded is both tenants with a service each, above one that they share. A
// request's tenant is that of the service at which it enters.
func flooded() (*workload.Deployment, map[string]string) {
	d := workload.Shared()
	desk := d.Services[1]
	d.Services = d.Services[:1]
	owner := map[string]string{d.Services[0].Name: "khaosan"}
	for i := range d.Classes {
		c := &d.Classes[i]
		s := desk
		s.Name = fmt.Sprintf("%s-%s", c.Tenant, desk.Name)
		// Wide enough for a flood: the shared service is to be the narrow place.
		s.Slots, s.Connections = floodSlots*s.Slots, floodSlots*s.Connections
		d.Services = append(d.Services, s)
		owner[s.Name], c.Root.Service = c.Tenant, s.Name
	}
	return d, owner
}

const floodSlots = 10

// tenant returns the owner of a service.
func (c *Case) tenant(service string) string {
	if t, ok := c.Owner[service]; ok {
		return t
	}
	return c.Dep.Name
}

// full returns a service's name as callers address it.
func (c *Case) full(service string) string { return service + "." + c.tenant(service) }
