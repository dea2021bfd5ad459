package settings

import "time"

// Settings are the settings of one node. A key that is absent or has no value keeps its
// default.
type Settings struct {
	Node      Node      `yaml:"node"`
	Target    Target    `yaml:"target"`
	Listen    Listen    `yaml:"listen"`
	Advertise Advertise `yaml:"advertise"`
	Platform  Platform  `yaml:"platform"`

	// Peers are the control addresses (ip:port) of nodes to join through. Default:
	// none; the platform's table then names the first peers. Peers let a node join
	// while the platform is down; each stale one costs a failed connection at the
	// start.
	Peers []string `yaml:"peers" validate:"max=64,unique,dive,ipport"`

	Logs     Logs     `yaml:"logs"`
	Metrics  Metrics  `yaml:"metrics"`
	Traces   Traces   `yaml:"traces"`
	Traffic  Traffic  `yaml:"traffic"`
	Shutdown Shutdown `yaml:"shutdown"`
	Limits   Limits   `yaml:"limits"`
}

// Node identifies the node and its location.
type Node struct {
	// Name is the announced name, unique among all nodes; required. A replacement with
	// the same name is a new incarnation of the same target.
	Name string `yaml:"name" validate:"required,max=128,printascii,excludesall= "`

	// Region is the region's name; required. Nodes of other regions are called only
	// for services without a remaining target in the own region.
	Region string `yaml:"region" validate:"required,max=64,printascii,excludesall= "`

	// Zone is the availability zone's name; required. Targets in the own zone are
	// preferred.
	Zone string `yaml:"zone" validate:"required,max=64,printascii,excludesall= "`

	// Instance is the name, in traces, of the instance that the node runs on.
	// Default: Name.
	Instance string `yaml:"instance" validate:"max=128,printascii,excludesall= "`
}

// Target describes the target that the node serves as a sidecar.
type Target struct {
	// Service is the target's service in the form "service.tenant"; required.
	Service string `yaml:"service" validate:"required,service"`

	// Address is where the target serves plain HTTP (ip:port); required.
	Address string `yaml:"address" validate:"required,ipport"`

	// Slots is the number of requests that the target runs concurrently. Default 0:
	// the configuration set's value for the service. Too high queues work inside the
	// target, where it can't be refused; too low wastes capacity.
	Slots int `yaml:"slots" validate:"min=0,max=100000"`

	// HealthPath is the path of the target's health endpoint. Default "/health".
	// Empty: a target that accepts connections counts as healthy.
	HealthPath string `yaml:"healthPath" validate:"omitempty,startswith=/"`

	// HealthPeriod is the time between two health checks. Default 1s. Lower detects a
	// dead idle target sooner and costs the target more calls; higher does the
	// reverse.
	HealthPeriod time.Duration `yaml:"healthPeriod" validate:"min=100ms,max=1m"`

	// NotExecutedHeader names the header with which the target marks answers to requests
	// that it has not run. Default: none; no answer of the target is taken for a refusal.
	// A marked request may be sent again, so it runs twice if the target marks one that has
	// run.
	NotExecutedHeader string `yaml:"notExecutedHeader" validate:"max=64,printascii,excludesall= :"`
}

// Listen holds the addresses (ip:port) of the node's listeners. Port 0 selects a free
// port, which the node logs and announces.
type Listen struct {
	// Callers serves HTTP/1.1 to untrusted callers. Default 127.0.0.1:7400.
	Callers string `yaml:"callers" validate:"required,ipport0"`

	// Nodes serves calls forwarded by other nodes. Default 127.0.0.1:7401. Must not be
	// reachable by callers.
	Nodes string `yaml:"nodes" validate:"required,ipport0"`

	// Target serves the own target's outgoing calls to other services. Default
	// 127.0.0.1:7402. Should be a loopback address. If it equals Callers, one listener
	// serves both, and targets mark their calls with the request that they run.
	Target string `yaml:"target" validate:"required,ipport0"`

	// Control serves the protocol between nodes: membership, configuration, claims.
	// Default 127.0.0.1:7403. Must not be reachable by callers.
	Control string `yaml:"control" validate:"required,ipport0"`

	// Ops serves health, readiness, metrics and status to operators. Default
	// 127.0.0.1:7404.
	Ops string `yaml:"ops" validate:"required,ipport0"`

	// Reports receives the own target's reports, where targets announce themselves.
	// Default: none; the target's health endpoint is polled.
	Reports string `yaml:"reports" validate:"omitempty,ipport0"`

	// Ready serves only readiness, on any path. Default: none; Ops also serves it.
	Ready string `yaml:"ready" validate:"omitempty,ipport0"`
}

// Advertise holds the addresses (ip:port) announced to other nodes, if they differ from
// the listeners' own.
type Advertise struct {
	// Data is the address at which other nodes reach Listen.Nodes. Default: the
	// listener's address; required if that is unspecified (0.0.0.0 or ::).
	Data string `yaml:"data" validate:"omitempty,ipport"`

	// Control is the address at which other nodes reach Listen.Control. Default: the
	// listener's address; required if that is unspecified.
	Control string `yaml:"control" validate:"omitempty,ipport"`
}

// Limits holds the resource limits of the process.
type Limits struct {
	// MemoryBytes is the memory limit above which the process is killed. Default 0:
	// unknown. If set, the garbage collector runs more often above a fraction of it,
	// so that a surge costs processor time instead of the process.
	MemoryBytes int64 `yaml:"memoryBytes" validate:"min=0"`
}

// Shutdown bounds the graceful shutdown that SIGTERM starts.
type Shutdown struct {
	// Announce is how long the node keeps accepting calls after it has announced that
	// its target is leaving. Default 3s. Lower refuses calls of nodes that haven't
	// received the announcement; higher delays each planned stop.
	Announce time.Duration `yaml:"announce" validate:"min=0s,max=1m"`

	// Grace bounds the whole shutdown, including Announce. Calls still running at its
	// end are aborted with an unknown outcome. Default 25s. Lower aborts more calls; it
	// must stay below the time after which the instance is removed.
	Grace time.Duration `yaml:"grace" validate:"min=1s,max=10m,gtfield=Announce"`
}
