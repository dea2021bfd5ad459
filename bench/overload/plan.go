package overload

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"peardrift/bench/deploy"
	"peardrift/bench/replay/workload"
	"peardrift/bench/standin/target"
	"peardrift/internal/core/retry"
)

// deployments returns the deployments that the harness starts, one per tenant.
func (c *Case) deployments() []deploy.Deployment {
	var out []deploy.Deployment
	for _, tenant := range c.tenants() {
		d := deploy.Deployment{Tenant: tenant, Region: "bench"}
		for i := range c.Deployment.Zones {
			d.Zones = append(d.Zones, fmt.Sprintf("zone-%d", i+1))
		}
		for _, s := range c.Deployment.Services {
			if c.tenantOf(s.Name) == tenant {
				d.Services = append(d.Services, deploy.Service{Name: s.Name, Targets: s.Targets, Slots: s.Slots, Routes: c.routes(s.Name)})
			}
		}
		out = append(out, d)
	}
	return out
}

// tenants returns the tenants that own services, without duplicates.
func (c *Case) tenants() []string {
	var out []string
	for _, s := range c.Deployment.Services {
		if t := c.tenantOf(s.Name); !slices.Contains(out, t) {
			out = append(out, t)
		}
	}
	return out
}

// visit calls f for each call of a call tree, the root first.
func visit(call *workload.Call, f func(*workload.Call)) {
	f(call)
	for _, step := range call.Steps {
		for i := range step {
			visit(&step[i].Call, f)
		}
	}
}

// callAt returns the call that a class makes at a service, or nil if there is none.
func callAt(class *workload.Class, service string) (found *workload.Call) {
	visit(&class.Root, func(call *workload.Call) {
		if call.Service == service {
			found = call
		}
	})
	return found
}

func pathOf(class *workload.Class) string { return "/" + class.Name }

// methodOf returns the HTTP method of a class's requests, at the entry or below it.
func methodOf(class *workload.Class, entry bool) string {
	switch {
	case class.AtMostOnce && entry:
		return "POST"
	case class.AtMostOnce:
		return "PUT"
	default:
		return "GET"
	}
}

// routes returns the routes of a service's targets, one per class.
func (c *Case) routes(service string) []target.Route {
	var out []target.Route
	for i := range c.Deployment.Classes {
		class := &c.Deployment.Classes[i]
		call := callAt(class, service)
		if call == nil {
			continue
		}
		r := target.Route{Prefix: pathOf(class), ServiceTime: call.Work, Parallel: true}
		for _, step := range call.Steps {
			for _, sub := range step {
				one := target.Call{Service: c.fullName(sub.Service), Method: methodOf(class, false), Path: pathOf(class), Required: true}
				if sub.Probability < 1 {
					one.Probability = sub.Probability
				}
				r.Calls = append(r.Calls, slices.Repeat([]target.Call{one}, sub.Count)...)
			}
		}
		out = append(out, r)
	}
	return out
}

// serviceTimeSigma is the sigma that gives lognormal service times a coefficient of
// variation of one half, as in the replay.
var serviceTimeSigma = math.Sqrt(math.Log(1.25))

// configSet returns a tenant's configuration set as YAML.
func (c *Case) configSet(tenant string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "tenant: %s\nshare: %g\nservices:\n", tenant, 1/float64(len(c.tenants())))
	for _, s := range c.Deployment.Services {
		if c.tenantOf(s.Name) == tenant {
			c.declareService(&b, s)
		}
	}
	return b.String()
}

func (c *Case) declareService(b *strings.Builder, s workload.Service) {
	fmt.Fprintf(b, "  - name: %s\n    slots: %d\n    connections: %d\n", s.Name, s.Slots, s.Connections)
	if calls := c.callees(s.Name); len(calls) > 0 {
		fmt.Fprintf(b, "    calls: [%s]\n", strings.Join(calls, ", "))
	}
	others := slices.DeleteFunc(c.tenants(), func(t string) bool { return t == c.tenantOf(s.Name) })
	if len(others) > 0 {
		fmt.Fprintf(b, "    allow: [%s]\n", strings.Join(others, ", "))
	}
	fmt.Fprintf(b, "    classes:\n")
	for i := range c.Deployment.Classes {
		class := &c.Deployment.Classes[i]
		if callAt(class, s.Name) == nil {
			continue
		}
		entry, once := class.Root.Service == s.Name, ""
		if class.AtMostOnce && entry {
			once = ", atMostOnce: true, remember: 1h"
		}
		fmt.Fprintf(b, "      - {name: %s, method: %s, path: %s, importance: %d, deadline: %v, attempts: %d%s}\n",
			class.Name, methodOf(class, entry), pathOf(class), class.Importance, c.deadline(), retry.DefaultConfig().Attempts, once)
	}
}

// deadline returns the deadline of whole requests: the client timeout less the network
// delay in both directions.
func (c *Case) deadline() time.Duration { return c.Deployment.Timeout - 2*c.Deployment.ClientDelay }

// callees returns the services that a service calls.
func (c *Case) callees(service string) []string {
	var out []string
	for i := range c.Deployment.Classes {
		call := callAt(&c.Deployment.Classes[i], service)
		if call == nil {
			continue
		}
		for _, step := range call.Steps {
			for _, sub := range step {
				if name := c.fullName(sub.Service); !slices.Contains(out, name) {
					out = append(out, name)
				}
			}
		}
	}
	return out
}
