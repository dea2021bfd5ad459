package harness

import (
	"cmp"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/goccy/go-yaml"

	"peardrift/bench/deploy"
	"peardrift/bench/standin/target"
	"peardrift/internal/node"
	"peardrift/internal/settings"
	"peardrift/internal/status"
)

// Host is one instance: a target process and its node process.
type Host struct {
	Name, Zone, Service string
	Target, Node        *Process
	Addr                Addrs
	Program             string // target binary; empty: Binaries.Target
	targetFile          string
	nodeFile            string
}

// NodeFile returns the path of the settings file of the host's node.
func (h *Host) NodeFile() string { return h.nodeFile }

// Addrs are a host's addresses (ip:port).
type Addrs struct {
	Target, Callers, Nodes, Egress, Control, Ops string
}

// Fleet is a set of hosts and the platform stand-in that they use.
type Fleet struct {
	Dir      string
	Bins     Binaries
	Platform *Process
	URL      string // of the platform stand-in
	Hosts    []*Host
	// Direct lists the targets without nodes, see AddDirect.
	Direct []*Host

	// KeepFiles makes Close leave the directory Dir in place.
	KeepFiles bool

	// TuneNode, if set, modifies the settings of each node before they are written.
	TuneNode func(*Host, *settings.Settings)
	// TuneTarget, if set, modifies the settings of each target before they are
	// written.
	TuneTarget func(*Host, *target.Config)

	addr    string // of the platform stand-in
	ports   *ports
	mu      sync.Mutex
	procs   []*Process
	closed  bool
	closing chan struct{} // closed by Close
}

// New returns an empty fleet that keeps its files in a temporary directory.
func New(bins Binaries) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "peardrift-fleet-")
	if err != nil {
		return nil, status.Wrap(CodeHarness, err, "create the fleet's directory")
	}
	f := &Fleet{Dir: dir, Bins: bins, ports: newPorts(), closing: make(chan struct{})}
	if f.addr, err = f.ports.reserve(); err != nil {
		return nil, err
	}
	f.URL = "http://" + f.addr
	return f, nil
}

// Add reserves ports and writes settings for the hosts of a deployment; Start
// starts them.
func (f *Fleet) Add(d deploy.Deployment) error {
	for _, s := range d.Services {
		for i := range s.Targets {
			name, zone := d.Instance(s, i)
			h := &Host{Name: name, Zone: zone, Service: d.FullName(s)}
			if err := f.plan(h, d.Region, s); err != nil {
				return err
			}
			f.Hosts = append(f.Hosts, h)
		}
	}
	return nil
}

// plan reserves a host's ports and writes its settings files.
func (f *Fleet) plan(h *Host, region string, s deploy.Service) error {
	for _, a := range []*string{&h.Addr.Target, &h.Addr.Callers, &h.Addr.Nodes, &h.Addr.Egress, &h.Addr.Control, &h.Addr.Ops} {
		var err error
		if *a, err = f.ports.reserve(); err != nil {
			return err
		}
	}
	if err := f.planTarget(h, s, nil); err != nil {
		return err
	}
	h.nodeFile = filepath.Join(f.Dir, h.Name+"-node.yaml")
	return writeYAML(h.nodeFile, f.nodeSettings(h, region))
}

// planTarget writes the settings of a host's target. The target calls other
// services through its node or, if direct is set, by the URLs listed there.
func (f *Fleet) planTarget(h *Host, s deploy.Service, direct map[string][]string) error {
	tc := target.DefaultConfig(h.Service)
	tc.Listen, tc.Slots, tc.Routes, tc.Direct = h.Addr.Target, s.Slots, s.Routes, direct
	if direct == nil {
		tc.Node = "http://" + h.Addr.Egress
	}
	tc.Dist = target.DistExponential
	if f.TuneTarget != nil {
		f.TuneTarget(h, &tc)
	}
	h.targetFile = filepath.Join(f.Dir, h.Name+"-target.yaml")
	return writeYAML(h.targetFile, tc)
}

func (f *Fleet) nodeSettings(h *Host, region string) settings.Settings {
	ns := settings.Default()
	ns.Node = settings.Node{Name: h.Name, Region: region, Zone: h.Zone}
	ns.Target.Service, ns.Target.Address = h.Service, h.Addr.Target
	ns.Listen = settings.Listen{
		Callers: h.Addr.Callers, Nodes: h.Addr.Nodes, Target: h.Addr.Egress,
		Control: h.Addr.Control, Ops: h.Addr.Ops,
	}
	ns.Platform.Table.Endpoint, ns.Platform.Objects.Endpoint = f.URL, f.URL
	ns.Platform.AccessKeyFile = filepath.Join(f.Dir, "key")
	ns.Platform.SecretKeyFile = filepath.Join(f.Dir, "key")
	if f.TuneNode != nil {
		f.TuneNode(h, &ns)
	}
	return ns
}

func writeYAML(file string, v any) error {
	b, err := yaml.Marshal(v)
	if err != nil {
		return status.Wrap(CodeHarness, err, "encode %s", file)
	}
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return status.Wrap(CodeHarness, err, "write %s", file)
	}
	return nil
}

// Start starts the platform stand-in and all hosts added before.
func (f *Fleet) Start() error {
	if err := os.WriteFile(filepath.Join(f.Dir, "key"), []byte("bench"), 0o600); err != nil {
		return status.Wrap(CodeHarness, err, "write the key file")
	}
	f.ports.release(f.addr)
	var err error
	if f.Platform, err = f.run("platform", f.Bins.Platform, "--listen", f.addr); err != nil {
		return err
	}
	if err := f.WaitUntil(startTimeout, func() bool { return status2xx(f.URL + "/control/counters") }); err != nil {
		return status.Wrap(CodeHarness, err, "the platform does not answer, see %s", f.Platform.Log)
	}
	for _, h := range f.Hosts {
		if err := f.StartTarget(h); err != nil {
			return err
		}
		if err := f.StartNode(h); err != nil {
			return err
		}
	}
	return f.startDirect()
}

// StartTarget starts a host's target, or restarts it after it has exited.
func (f *Fleet) StartTarget(h *Host) (err error) {
	f.ports.release(h.Addr.Target)
	h.Target, err = f.run(h.Name+"-target", cmp.Or(h.Program, f.Bins.Target), "--config", h.targetFile)
	return err
}

// StartNode starts a host's node, or restarts it after it has exited.
func (f *Fleet) StartNode(h *Host) (err error) {
	a := h.Addr
	f.ports.release(a.Callers, a.Nodes, a.Egress, a.Control, a.Ops)
	h.Node, err = f.run(h.Name+"-node", f.Bins.Node, "--settings", h.nodeFile)
	return err
}

func (f *Fleet) run(name, bin string, args ...string) (*Process, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil, status.New(CodeHarness, "the fleet is closed")
	}
	p, err := start(f.Dir, name, bin, args...)
	if err == nil {
		f.procs = append(f.procs, p)
	}
	return p, err
}

// Status fetches the status of the host's node from its ops endpoint.
func (h *Host) Status() (node.Status, error) {
	var s node.Status
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + h.Addr.Ops + "/status")
	if err != nil {
		return s, status.Wrap(CodeHarness, err, "status of %s", h.Name)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return s, status.Wrap(CodeHarness, err, "status of %s", h.Name)
	}
	return s, nil
}

// EntryURLs returns the URLs of the caller listeners of all nodes of a deployment.
func (f *Fleet) EntryURLs(d deploy.Deployment) []string {
	var urls []string
	for _, h := range f.Hosts {
		for _, s := range d.Services {
			if d.FullName(s) == h.Service {
				urls = append(urls, "http://"+h.Addr.Callers)
			}
		}
	}
	return urls
}

// Close kills all processes and removes the fleet's files, unless KeepFiles is set.
func (f *Fleet) Close() {
	f.mu.Lock()
	if !f.closed {
		close(f.closing)
	}
	f.closed = true
	procs := f.procs
	f.procs = nil
	f.mu.Unlock()
	for _, p := range procs {
		p.Signal(9)
	}
	for _, p := range procs {
		p.Kill()
	}
	f.ports.releaseAll()
	if !f.KeepFiles {
		_ = os.RemoveAll(f.Dir)
	}
}
