package mainjob

import (
	"context"
	"fmt"
	"time"

	"peardrift/bench/deploy"
	"peardrift/bench/harness"
	"peardrift/bench/standin/target"
	"peardrift/internal/settings"
	"peardrift/internal/status"
)

const (
	// readyTime is more than a fleet that starts at one moment takes on a busy
	// machine.
	readyTime = 90 * time.Second
	// stopTime exceeds a node's own bound of its shutdown.
	stopTime = 30 * time.Second
)

// job is one run under way.
type job struct {
	cfg   Config
	fleet *harness.Fleet
	deps  []deploy.Deployment
}

// Run does the main job and returns the first thing that it found wrong. The
// processes that it started have ended when it returns, also when ctx ends
// early.
func Run(ctx context.Context, cfg Config) error {
	f, err := harness.New(cfg.Bins)
	if err != nil {
		return err
	}
	f.Keep = cfg.Keep
	defer f.Close()
	defer context.AfterFunc(ctx, f.Close)()
	f.Tune = traceAll
	f.TuneTarget = steady
	j := &job{cfg: cfg, fleet: f, deps: cfg.deployments()}
	if err := j.run(ctx); err != nil {
		if ctx.Err() != nil {
			return status.Wrap(status.CodeCanceled, ctx.Err(), "the main job was interrupted")
		}
		return err
	}
	return nil
}

// traceAll makes a node record all its hops, so that any request can be shown.
func traceAll(h *harness.Host, s *settings.Settings) {
	s.Traces.File, s.Traces.SampleRatio = traceFile(h), 1
}

// steady gives targets fixed service times: what differs between the calls
// through nodes and the direct ones is then the nodes' doing.
func steady(_ *harness.Host, c *target.Config) { c.Dist = target.DistFixed }

func (j *job) run(ctx context.Context) error {
	if err := j.start(ctx); err != nil {
		return err
	}
	for _, d := range j.deps {
		if err := j.show(ctx, d); err != nil {
			return err
		}
	}
	rows, err := j.load(ctx)
	if err != nil {
		return err
	}
	j.printTable(rows)
	if err := judge(rows); err != nil {
		return err
	}
	if err := j.ranOnce(rows); err != nil {
		return err
	}
	began := time.Now()
	if err := j.fleet.Stop(stopTime); err != nil {
		return err
	}
	j.say("\nAll processes ended by themselves within %v of SIGTERM, each with exit code 0.\n", since(began))
	return nil
}

// start brings the fleet up and puts both sets in force.
func (j *job) start(ctx context.Context) error {
	for _, d := range j.deps {
		if err := j.fleet.Add(d); err != nil {
			return err
		}
		if err := j.fleet.AddDirect(d); err != nil {
			return err
		}
	}
	began := time.Now()
	if err := j.fleet.Start(); err != nil {
		return err
	}
	if j.cfg.Keep {
		j.say("Settings, logs and traces are in %s.\n", j.fleet.Dir)
	}
	j.say("%d targets with a node each run beside the platform's stand-in, and as many targets without nodes, for comparison.\n", len(j.fleet.Hosts))
	for _, d := range j.deps {
		if err := j.fleet.Apply(ctx, j.cfg.Root, d.Tenant, 0); err != nil {
			return err
		}
		j.say("peardrift apply examples/%s: accepted as version 1\n", d.Tenant)
	}
	if err := j.fleet.Ready(readyTime); err != nil {
		return err
	}
	j.say("All nodes were ready %v after the first was started", since(began))
	if err := j.fleet.Converged(readyTime); err != nil {
		return err
	}
	j.say(" and knew one another after %v.\n", since(began))
	return nil
}

func (j *job) say(format string, args ...any) { fmt.Fprintf(j.cfg.Out, format, args...) }

func since(t time.Time) time.Duration { return time.Since(t).Round(10 * time.Millisecond) }
