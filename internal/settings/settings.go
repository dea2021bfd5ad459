package settings

import "time"

// Settings are the settings of one node. A key that the file leaves out, or
// leaves without a value, keeps its default.
type Settings struct {
	Node      Node      `yaml:"node"`
	Target    Target    `yaml:"target"`
	Listen    Listen    `yaml:"listen"`
	Advertise Advertise `yaml:"advertise"`
	Platform  Platform  `yaml:"platform"`

	// Peers are the control addresses (ip:port) of nodes to contact first.
	// Default: none; the platform's table then names the first peers. More
	// peers let a node join while the platform is down; stale ones only cost a
	// failed connection each at the start.
	Peers []string `yaml:"peers" validate:"max=64,unique,dive,ipport"`

	Logs     Logs     `yaml:"logs"`
	Metrics  Metrics  `yaml:"metrics"`
	Traces   Traces   `yaml:"traces"`
	Traffic  Traffic  `yaml:"traffic"`
	Shutdown Shutdown `yaml:"shutdown"`
	Limits   Limits   `yaml:"limits"`
}

// Node says who the node is and where it stands.
type Node struct {
	// Name is the announced name, unique among all nodes; required. A
	// replacement under the same name is a new incarnation of the same target.
	Name string `yaml:"name" validate:"required,max=128,printascii,excludesall= "`

	// Region is the region's name; required. Nodes of other regions are called
	// only for services of which the own region has no target left.
	Region string `yaml:"region" validate:"required,max=64,printascii,excludesall= "`

	// Zone is the availability zone's name; required. Targets of the own zone
	// are preferred.
	Zone string `yaml:"zone" validate:"required,max=64,printascii,excludesall= "`

	// Instance names the instance that the node runs on, for traces.
	// Default: Name.
	Instance string `yaml:"instance" validate:"max=128,printascii,excludesall= "`
}

// Target describes the target that the node stands beside.
type Target struct {
	// Service is the target's service as "service.tenant"; required.
	Service string `yaml:"service" validate:"required,service"`

	// Address is where the target serves plain HTTP (ip:port); required.
	Address string `yaml:"address" validate:"required,ipport"`

	// Slots is how many requests the target runs at once. Default 0: as the
	// configuration set says for the service. Too high a number queues work
	// inside the target, where nothing can refuse it; too low wastes slots.
	Slots int `yaml:"slots" validate:"min=0,max=100000"`

	// HealthPath is the path of the target's health endpoint. Default
	// "/health". Empty: a target that takes connections counts as healthy.
	HealthPath string `yaml:"healthPath" validate:"omitempty,startswith=/"`

	// HealthPeriod is the time between two questions to the health endpoint.
	// Default 1s. Lower notices a dead idle target sooner and costs the target
	// more calls; higher does the reverse.
	HealthPeriod time.Duration `yaml:"healthPeriod" validate:"min=100ms,max=1m"`
}

// Listen holds the addresses (ip:port) of the node's listeners. Port 0 lets
// the system choose a free one, which the node logs and announces.
type Listen struct {
	// Callers serves HTTP/1.1 to callers, which are trusted with nothing.
	// Default 127.0.0.1:7400.
	Callers string `yaml:"callers" validate:"required,ipport0"`

	// Nodes serves calls that other nodes pass on. Default 127.0.0.1:7401.
	// Must not be reachable for callers.
	Nodes string `yaml:"nodes" validate:"required,ipport0"`

	// Target serves the own target's calls to further services. Default
	// 127.0.0.1:7402. Should be a loopback address. The address of Callers lets
	// both come to one listener, where targets name their calls after the request
	// that they run.
	Target string `yaml:"target" validate:"required,ipport0"`

	// Control serves the protocol between the nodes: membership, configuration,
	// claims. Default 127.0.0.1:7403. Must not be reachable for callers.
	Control string `yaml:"control" validate:"required,ipport0"`

	// Ops serves health, readiness, metrics and status to operators. Default
	// 127.0.0.1:7404.
	Ops string `yaml:"ops" validate:"required,ipport0"`

	// Reports serves the own target, where targets announce themselves. Default:
	// none; the target's health endpoint is asked.
	Reports string `yaml:"reports" validate:"omitempty,ipport0"`

	// Ready serves nothing but readiness, on any path. Default: none; Ops has it.
	Ready string `yaml:"ready" validate:"omitempty,ipport0"`
}

// Advertise holds the addresses (ip:port) that other nodes are told, where
// they differ from the listeners' own.
type Advertise struct {
	// Data is where other nodes reach Listen.Nodes. Default: the listener's
	// address; required where that is unspecified (0.0.0.0 or ::).
	Data string `yaml:"data" validate:"omitempty,ipport"`

	// Control is where other nodes reach Listen.Control. Default: the
	// listener's address; required where that is unspecified.
	Control string `yaml:"control" validate:"omitempty,ipport"`
}

// Limits are what the process may use.
type Limits struct {
	// MemoryBytes is the memory after which the process is ended. Default 0: not
	// known. The collector then works harder from a part of it on, so that a
	// flood costs processor time and not the process.
	MemoryBytes int64 `yaml:"memoryBytes" validate:"min=0"`
}

// Shutdown bounds the graceful shutdown that SIGTERM starts.
type Shutdown struct {
	// Announce is how long the node goes on taking calls after it has told the
	// other nodes that its target is leaving. Default 3s. Lower refuses calls
	// of nodes that haven't heard yet; higher delays each planned stop.
	Announce time.Duration `yaml:"announce" validate:"min=0s,max=1m"`

	// Grace bounds the whole shutdown, Announce included. Calls still running
	// at its end are broken off and have an unknown outcome. Default 25s.
	// Lower breaks off more calls; higher must stay under the time after which
	// the instance is taken away.
	Grace time.Duration `yaml:"grace" validate:"min=1s,max=10m,gtfield=Announce"`
}
