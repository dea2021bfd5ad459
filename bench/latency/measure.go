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

// Config is one measurement with real processes.
type Config struct {
	Bins harness.Bins // with the lean target in the place of the target
	// Rates are in calls a second: a request down the chain is Depth of them.
	Rates []float64
	// Rounds is how often each way is measured, in turn with the other.
	Rounds int
	// Slice is the length of one load.
	Slice time.Duration
	// Warm is the length of the load before a cell, which isn't counted.
	Warm time.Duration
	// Targets of each service.
	Targets int
	// Service is the time that each target takes for a call.
	Service time.Duration
	// Tune, if set, changes the nodes' settings.
	Tune func(*harness.Host, *settings.Settings)
}

// Cell is what was measured of one kind of request at one rate.
type Cell struct {
	Kind   string
	Rate   float64 // calls a second
	Rounds []Round
}

// Round is one slice of either way.
type Round struct {
	Direct, Nodes *Sample
	// NodeCPU is the processor time that all nodes took for each call.
	NodeCPU time.Duration
}

// Result is a whole measurement.
type Result struct {
	Cells []Cell
	// Idle and Loaded are the resident bytes of each node, before and after.
	Idle, Loaded []int64
	// IdleCPU is the share of a core that a node takes without any calls.
	IdleCPU float64
}

const (
	readyTime = 90 * time.Second
	// settle lets a fleet that has just started come to rest.
	settle = 3 * time.Second
)

// Measure starts a fleet, measures all cells and ends it.
func Measure(ctx context.Context, cfg Config, progress func(Cell)) (*Result, error) {
	f, err := harness.New(cfg.Bins)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	defer context.AfterFunc(ctx, f.Close)()
	f.Tune = cfg.Tune
	f.TuneTarget = func(_ *harness.Host, c *target.Config) { c.Dist = target.DistFixed }
	if err := start(ctx, f, cfg); err != nil {
		return nil, err
	}
	time.Sleep(settle)
	before := nodesCPU(f)
	time.Sleep(settle)
	res := &Result{Idle: resident(f), IdleCPU: float64(nodesCPU(f)-before) / float64(settle) / float64(len(f.Hosts))}
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
	res.Loaded = resident(f)
	return res, nil
}

func start(ctx context.Context, f *harness.Fleet, cfg Config) error {
	d := chain(cfg.Targets, cfg.Service)
	if err := f.AddDirect(d); err != nil {
		return err
	}
	return bringUp(ctx, f, d)
}

// bringUp starts the hosts of a deployment, applies the set and waits until
// all nodes know all.
func bringUp(ctx context.Context, f *harness.Fleet, d deploy.Deployment) error {
	if err := f.Add(d); err != nil {
		return err
	}
	if err := f.Start(); err != nil {
		return err
	}
	root, err := os.MkdirTemp("", "peardrift-set-")
	if err != nil {
		return status.Wrap(status.CodeInternal, err, "folder of the set")
	}
	defer os.RemoveAll(root)
	if err := writeSet(root); err != nil {
		return err
	}
	if err := f.Apply(ctx, root, tenant, 0); err != nil {
		return err
	}
	if err := f.Ready(readyTime); err != nil {
		return err
	}
	return f.Converged(readyTime)
}

// measureCell loads both ways in turn. Which goes first changes with each
// round, so that a drift of the machine doesn't count for one of them.
func measureCell(ctx context.Context, f *harness.Fleet, g *generator, cfg Config, path string, rate float64) (Cell, error) {
	c := Cell{Kind: path, Rate: rate}
	calls := 1.0
	if path == PathChain {
		calls = Depth
	}
	requests := rate / calls
	nodes, direct := ways(f, path)
	g.run(ctx, direct, requests, cfg.Warm, 0)
	g.run(ctx, nodes, requests, cfg.Warm, 0)
	for i := range cfg.Rounds {
		var r Round
		through := func() {
			before := nodesCPU(f)
			r.Nodes = g.run(ctx, nodes, requests, cfg.Slice, uint64(i+1))
			r.NodeCPU = (nodesCPU(f) - before) / time.Duration(max(1, int(calls)*r.Nodes.Completed))
		}
		if i%2 == 1 {
			through()
		}
		r.Direct = g.run(ctx, direct, requests, cfg.Slice, uint64(i+1))
		if i%2 == 0 {
			through()
		}
		if ctx.Err() != nil {
			return c, status.Wrap(status.CodeCanceled, ctx.Err(), "the measurement was interrupted")
		}
		c.Rounds = append(c.Rounds, r)
	}
	return c, nil
}
