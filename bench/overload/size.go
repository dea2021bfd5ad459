package overload

import (
	"fmt"
	"slices"
	"time"

	"peardrift/bench/replay/workload"
	"peardrift/internal/status"
)

// CodeOverload is the code of errors of this package itself.
const CodeOverload status.Code = "overload-bench"

// Size scales a deployment of the replay down to fit one machine.
type Size struct {
	Targets int // divisor of a service's number of targets; rounded up, at least two
	Slots   int // divisor of a target's slots and connections
	Stretch int // factor of service times, timeouts and client retry windows
}

// minTargets leaves a retry another target.
const minTargets = 2

// Scale returns the deployment scaled to this size.
func (z Size) Scale(d *workload.Deployment) *workload.Deployment {
	out := d.Scaled(max(1, z.Slots))
	stretch := time.Duration(max(1, z.Stretch))
	out.Timeout, out.RetryWindow = d.Timeout*stretch, d.RetryWindow*stretch
	for i, s := range out.Services {
		out.Services[i].Targets = max(minTargets, (s.Targets+z.Targets-1)/max(1, z.Targets))
	}
	out.Classes = slices.Clone(d.Classes)
	for i := range out.Classes {
		out.Classes[i].Root = stretchCall(out.Classes[i].Root, stretch)
	}
	return out
}

func stretchCall(c workload.Call, by time.Duration) workload.Call {
	c.Work *= by
	steps := make([][]workload.Sub, len(c.Steps))
	for i, step := range c.Steps {
		for _, sub := range step {
			sub.Call = stretchCall(sub.Call, by)
			steps[i] = append(steps[i], sub)
		}
	}
	c.Steps = steps
	return c
}

// Case is a deployment with a scenario.
type Case struct {
	Deployment *workload.Deployment
	Trace      *workload.Trace
	// Owner maps a service to its tenant if that isn't Deployment.Name.
	Owner map[string]string
}

// Stop is a scenario of this package: during the worst case, a node of the deep service
// and then its target stop, and both restart. Flood is the scenario of the replay, run
// on services of two tenants.
const (
	Stop  = "stop"
	Flood = "flood"
)

// NewCase returns the case of a scenario of the replay, or of Stop. It fails for an
// unknown deployment or scenario.
func NewCase(deployment, scenario string, z Size, l workload.PhaseDurations, seed uint64) (*Case, error) {
	base, c := workload.Deployments()[deployment], &Case{}
	if scenario == Flood {
		base, c.Owner = floodDeployment()
	}
	if base == nil {
		return nil, status.New(CodeOverload, "there is no deployment %q", deployment)
	}
	c.Deployment = z.Scale(base)
	var sc *workload.Scenario
	if scenario == Stop {
		sc = workload.ScenarioFor("worst", c.Deployment, l)
		sc.Name = Stop
		sc.Faults = append(sc.Faults,
			workload.Event{T: l.During / 4, Fault: workload.Drain, Service: c.Deployment.DownstreamService},
			workload.Event{T: l.During * 3 / 4, Fault: workload.Start, Service: c.Deployment.DownstreamService})
	} else if sc = workload.ScenarioFor(scenario, c.Deployment, l); sc == nil {
		return nil, status.New(CodeOverload, "there is no scenario %q", scenario)
	}
	c.Trace = workload.Generate(c.Deployment, sc, seed)
	return c, c.checkFaults()
}

// checkFaults returns an error if the trace has a fault that is not supported on processes.
func (c *Case) checkFaults() error {
	for _, e := range c.Trace.Events {
		switch e.Fault {
		case "", workload.Slow, workload.Restart, workload.Drain, workload.Start:
		default:
			return status.New(CodeOverload, "the fault %q is not supported on processes", e.Fault)
		}
	}
	return nil
}

// floodDeployment returns a deployment in which two tenants have an entry service each,
// above a shared service, and the owners of the services. A request's tenant is that of
// the service at which it enters.
func floodDeployment() (*workload.Deployment, map[string]string) {
	d := workload.Shared()
	entry := d.Services[1]
	d.Services = d.Services[:1]
	owner := map[string]string{d.Services[0].Name: "khaosan"}
	for i := range d.Classes {
		c := &d.Classes[i]
		s := entry
		s.Name = fmt.Sprintf("%s-%s", c.Tenant, entry.Name)
		// Large enough for the flood: the shared service must be the bottleneck.
		s.Slots, s.Connections = floodFactor*s.Slots, floodFactor*s.Connections
		d.Services = append(d.Services, s)
		owner[s.Name], c.Root.Service = c.Tenant, s.Name
	}
	return d, owner
}

const floodFactor = 10

// tenantOf returns the owner of a service.
func (c *Case) tenantOf(service string) string {
	if t, ok := c.Owner[service]; ok {
		return t
	}
	return c.Deployment.Name
}

// fullName returns the full name of a service, as callers address it.
func (c *Case) fullName(service string) string { return service + "." + c.tenantOf(service) }
