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
	// readyTimeout exceeds the time that a fleet started all at once needs on a busy
	// machine.
	readyTimeout = 90 * time.Second
	// stopTimeout exceeds the node's own shutdown timeout.
	stopTimeout = 30 * time.Second
)

// job is a run in progress.
type job struct {
	cfg         Config
	fleet       *harness.Fleet
	deployments []deploy.Deployment
}

// Run runs the main job and returns the first failure. All processes that it started
// have exited when it returns, also if ctx ends early; the error then has the code
// status.CodeCanceled.
func Run(ctx context.Context, cfg Config) error {
	f, err := harness.New(cfg.Bins)
	if err != nil {
		return err
	}
	f.KeepFiles = cfg.Keep
	defer f.Close()
	defer context.AfterFunc(ctx, f.Close)()
	f.TuneNode = traceAllRequests
	f.TuneTarget = fixServiceTimes
	j := &job{cfg: cfg, fleet: f, deployments: cfg.deployments()}
	if err := j.run(ctx); err != nil {
		if ctx.Err() != nil {
			return status.Wrap(status.CodeCanceled, ctx.Err(), "the main job was interrupted")
		}
		return err
	}
	return nil
}

// traceAllRequests makes a node record the spans of all requests, so that any can be printed.
func traceAllRequests(h *harness.Host, s *settings.Settings) {
	s.Traces.File, s.Traces.SampleRatio = traceFile(h), 1
}

// fixServiceTimes gives targets fixed service times, so that nodes cause the difference
// between calls through nodes and direct calls.
func fixServiceTimes(_ *harness.Host, c *target.Config) { c.Dist = target.DistFixed }

func (j *job) run(ctx context.Context) error {
	if err := j.start(ctx); err != nil {
		return err
	}
	for _, d := range j.deployments {
		if err := j.show(ctx, d); err != nil {
			return err
		}
	}
	rows, err := j.runLoad(ctx)
	if err != nil {
		return err
	}
	j.printTable(rows)
	if err := checkResults(rows); err != nil {
		return err
	}
	if err := j.checkRuns(rows); err != nil {
		return err
	}
	began := time.Now()
	if err := j.fleet.Stop(stopTimeout); err != nil {
		return err
	}
	j.printf("\nAll processes ended by themselves within %v of SIGTERM, each with exit code 0.\n", elapsed(began))
	return nil
}

// start starts the fleet, applies both sets and waits until all nodes are ready.
func (j *job) start(ctx context.Context) error {
	for _, d := range j.deployments {
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
		j.printf("Settings, logs and traces are in %s.\n", j.fleet.Dir)
	}
	j.printf("%d targets with a node each run beside the platform's stand-in, and as many targets without nodes, for comparison.\n", len(j.fleet.Hosts))
	for _, d := range j.deployments {
		if err := j.fleet.Apply(ctx, j.cfg.Root, d.Tenant, 0); err != nil {
			return err
		}
		j.printf("peardrift apply examples/%s: accepted as version 1\n", d.Tenant)
	}
	if err := j.fleet.WaitReady(readyTimeout); err != nil {
		return err
	}
	j.printf("All nodes were ready %v after the first was started", elapsed(began))
	if err := j.fleet.WaitConverged(readyTimeout); err != nil {
		return err
	}
	j.printf(" and knew one another after %v.\n", elapsed(began))
	return nil
}

func (j *job) printf(format string, args ...any) { fmt.Fprintf(j.cfg.Out, format, args...) }

func elapsed(t time.Time) time.Duration { return time.Since(t).Round(10 * time.Millisecond) }
