package overload

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"peardrift/bench/harness"
	"peardrift/bench/standin/target"
	"peardrift/internal/settings"
	"peardrift/internal/status"
)

const (
	startTimeout = 90 * time.Second // exceeds the time a start takes on a busy machine
	workSuffix   = ".work"
	runsSuffix   = ".runs"
)

// Lab holds the running processes of a case: targets with nodes, and as many without.
// Use it from one goroutine; call Close at the end.
type Lab struct {
	Case  *Case
	Fleet *harness.Fleet
	Dump  *Dump  // records the runs through nodes; nil for none
	seed  uint64 // random seed of the last target
}

// Open starts the processes of a case and applies its configuration sets.
func Open(ctx context.Context, bins harness.Binaries, c *Case) (*Lab, error) {
	f, err := harness.New(bins)
	if err != nil {
		return nil, err
	}
	l := &Lab{Case: c, Fleet: f}
	if err := l.start(ctx); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// Close ends all processes.
func (l *Lab) Close() { l.Fleet.Close() }

func (l *Lab) start(ctx context.Context) error {
	f := l.Fleet
	f.TuneTarget = l.tuneTarget
	f.TuneNode = func(_ *harness.Host, s *settings.Settings) {
		for _, other := range f.Hosts { // those added before this host
			s.Peers = append(s.Peers, other.Addr.Control)
		}
	}
	for _, d := range l.Case.deployments() {
		if err := f.Add(d); err != nil {
			return err
		}
		if err := f.AddDirect(d); err != nil {
			return err
		}
	}
	if err := f.Start(); err != nil {
		return err
	}
	for _, tenant := range l.Case.tenants() {
		if err := l.apply(ctx, tenant); err != nil {
			return err
		}
	}
	if err := f.WaitReady(startTimeout); err != nil {
		return err
	}
	return f.WaitConverged(startTimeout)
}

// tuneTarget configures a target like the replay's. A target without a node attempts each
// of its calls as often as the replay's baseline.
func (l *Lab) tuneTarget(h *harness.Host, c *target.Config) {
	l.seed++
	c.Seed, c.Dist, c.Sigma = l.seed, target.DistLognormal, serviceTimeSigma
	c.RunsFile = filepath.Join(l.Fleet.Dir, h.Name+runsSuffix)
	c.WorkFile = filepath.Join(l.Fleet.Dir, h.Name+workSuffix)
	c.CallTimeout = l.Case.Deployment.Timeout
	for _, s := range l.Case.Deployment.Services {
		if l.Case.fullName(s.Name) == h.Service {
			c.Queue = s.Connections - s.Slots
		}
	}
	if c.Direct == nil {
		return
	}
	for i := range c.Routes {
		for k := range c.Routes[i].Calls {
			c.Routes[i].Calls[k].Attempts = directAttempts
		}
	}
}

// directAttempts is the usual default of three attempts at each hop.
const directAttempts = 3

func (l *Lab) apply(ctx context.Context, tenant string) error {
	dir := filepath.Join(l.Fleet.Dir, "set-"+tenant)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return status.Wrap(harness.CodeHarness, err, "create the directory of the set")
	}
	if err := os.WriteFile(filepath.Join(dir, "set.yaml"), []byte(l.Case.configSet(tenant)), 0o600); err != nil {
		return status.Wrap(harness.CodeHarness, err, "write the set")
	}
	_, _, err := l.Fleet.RunTool(ctx, "apply", "--base", strconv.Itoa(0), "--node", l.Fleet.Hosts[0].Addr.Control, dir)
	return err
}

// hosts returns the instances of a service, with nodes or without.
func (l *Lab) hosts(service string, nodes bool) []*harness.Host {
	all := l.Fleet.Direct
	if nodes {
		all = l.Fleet.Hosts
	}
	var out []*harness.Host
	for _, h := range all {
		if h.Service == l.Case.fullName(service) {
			out = append(out, h)
		}
	}
	return out
}
