package latency

import (
	"context"
	"os"
	"time"

	"peardrift/bench/deploy"
	"peardrift/bench/harness"
	"peardrift/bench/standin/target"
	"peardrift/internal/settings"
	"peardrift/internal/status"
)

// Config configures a measurement with real processes.
type Config struct {
	Bins harness.Binaries // with the lean target in place of the stand-in target
	// Rates are in calls/s. A request through the chain makes Depth calls.
	Rates []float64
	// Rounds is the number of direct loads and of loads through nodes, alternating.
	Rounds int
	// LoadDuration is the duration of one load.
	LoadDuration time.Duration
	// WarmUp is the duration of the warm-up load before a cell, which isn't measured.
	WarmUp time.Duration
	// Targets is the number of targets per service.
	Targets int
	// ServiceTime is the service time of a target per call.
	ServiceTime time.Duration
	// Tune, if set, changes the nodes' settings.
	Tune func(*harness.Host, *settings.Settings)
}

// Cell holds the measurements of one kind of request at one rate.
type Cell struct {
	Kind   string
	Rate   float64 // calls/s
	Rounds []Round
}

// Round holds one direct load and one load through nodes.
type Round struct {
	Direct, Nodes *Sample
	// NodeCPU is the CPU time of all nodes per call.
	NodeCPU time.Duration
}

// Result holds the results of a measurement.
type Result struct {
	Cells []Cell
	// Idle and Loaded are the resident memory of each node in bytes, before and after
	// the load.
	Idle, Loaded []int64
	// IdleCPU is the mean CPU use of a node without calls, as a fraction of a core.
	IdleCPU float64
}

const (
	readyTimeout = 90 * time.Second
	// settleTime lets a fleet that has just started become idle.
	settleTime = 3 * time.Second
)

// Measure starts a fleet, measures all cells and stops the fleet. It calls progress
// after each cell.
func Measure(ctx context.Context, cfg Config, progress func(Cell)) (*Result, error) {
	f, err := harness.New(cfg.Bins)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	defer context.AfterFunc(ctx, f.Close)()
	f.TuneNode = cfg.Tune
	f.TuneTarget = func(_ *harness.Host, c *target.Config) { c.Dist = target.DistFixed }
	if err := startFleet(ctx, f, cfg); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	before := nodesCPU(f)
	time.Sleep(settleTime)
	res := &Result{Idle: residentMemory(f), IdleCPU: float64(nodesCPU(f)-before) / float64(settleTime) / float64(len(f.Hosts))}
	g := newGenerator()
	defer g.client.Close()
	for _, path := range []string{PathHop, PathChain} {
		for _, rate := range cfg.Rates {
			c, err := measureCell(ctx, f, g, cfg, path, rate)
			if err != nil {
				return nil, err
			}
			progress(c)
			res.Cells = append(res.Cells, c)
		}
	}
	res.Loaded = residentMemory(f)
	return res, nil
}

func startFleet(ctx context.Context, f *harness.Fleet, cfg Config) error {
	d := chain(cfg.Targets, cfg.ServiceTime)
	if err := f.AddDirect(d); err != nil {
		return err
	}
	return startHosts(ctx, f, d)
}

// startHosts starts the hosts of a deployment, applies the set and waits until all nodes
// are ready and know each other.
func startHosts(ctx context.Context, f *harness.Fleet, d deploy.Deployment) error {
	if err := f.Add(d); err != nil {
		return err
	}
	if err := f.Start(); err != nil {
		return err
	}
	root, err := os.MkdirTemp("", "peardrift-set-")
	if err != nil {
		return status.Wrap(status.CodeInternal, err, "create the directory of the set")
	}
	defer os.RemoveAll(root)
	if err := writeSet(root); err != nil {
		return err
	}
	if err := f.Apply(ctx, root, tenant, 0); err != nil {
		return err
	}
	if err := f.WaitReady(readyTimeout); err != nil {
		return err
	}
	return f.WaitConverged(readyTimeout)
}

// measureCell alternates direct load and load through nodes. The order changes with each
// round, so that drift of the machine doesn't favor one of them.
func measureCell(ctx context.Context, f *harness.Fleet, g *generator, cfg Config, path string, rate float64) (Cell, error) {
	c := Cell{Kind: path, Rate: rate}
	calls := 1.0
	if path == PathChain {
		calls = ChainDepth
	}
	requests := rate / calls
	nodes, direct := routesFor(f, path)
	g.run(ctx, direct, requests, cfg.WarmUp, 0)
	g.run(ctx, nodes, requests, cfg.WarmUp, 0)
	for i := range cfg.Rounds {
		var r Round
		loadNodes := func() {
			before := nodesCPU(f)
			r.Nodes = g.run(ctx, nodes, requests, cfg.LoadDuration, uint64(i+1))
			r.NodeCPU = (nodesCPU(f) - before) / time.Duration(max(1, int(calls)*r.Nodes.Completed))
		}
		if i%2 == 1 {
			loadNodes()
		}
		r.Direct = g.run(ctx, direct, requests, cfg.LoadDuration, uint64(i+1))
		if i%2 == 0 {
			loadNodes()
		}
		if ctx.Err() != nil {
			return c, status.Wrap(status.CodeCanceled, ctx.Err(), "the measurement was interrupted")
		}
		c.Rounds = append(c.Rounds, r)
	}
	return c, nil
}
