// Command standin-target runs one stand-in target instance until SIGTERM, which drains it.
// A second signal stops it immediately.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"peardrift/bench/command"
	"peardrift/bench/standin/target"
)

const (
	exitCrash         = 3
	drainPollInterval = 10 * time.Millisecond
	// idleGrace is longer than the intervals between calls from callers that don't know of
	// the drain yet, under the loads of the benchmarks.
	idleGrace = time.Second
	// maxIdleWait bounds the wait for callers that never learn of the drain.
	maxIdleWait = 15 * time.Second
)

type options struct {
	Config  string `long:"config" required:"true" description:"YAML file with the target's settings"`
	Listen  string `long:"listen" description:"overrides listen"`
	Node    string `long:"node" description:"overrides node, the URL for outgoing calls"`
	Service string `long:"service" description:"overrides service"`
	Slots   int    `long:"slots" description:"overrides slots"`
	Seed    uint64 `long:"seed" description:"overrides seed"`
}

func main() { command.Main(run) }

func run(ctx context.Context, o options) error {
	cfg, err := o.load()
	if err != nil {
		return err
	}
	cfg.OnCrash = func() {
		fmt.Fprintln(os.Stderr, "crashed by a marked request")
		os.Exit(exitCrash)
	}
	s := target.New(cfg)
	if err := s.Start(); err != nil {
		return err
	}
	fmt.Println("listening", s.Addr())
	<-ctx.Done()
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGTERM, os.Interrupt)
	s.Drain()
	awaitIdle(s, again)
	return s.Close()
}

func (o options) load() (target.Config, error) {
	cfg, err := target.Load(o.Config, func(c *target.Config) {
		override(&c.Listen, o.Listen)
		override(&c.Node, o.Node)
		override(&c.Service, o.Service)
		override(&c.Slots, o.Slots)
		override(&c.Seed, o.Seed)
	})
	return cfg, err
}

func override[T comparable](dst *T, v T) {
	var zero T
	if v != zero {
		*dst = v
	}
}

// awaitIdle returns when no work is in flight and none has arrived for idleGrace, when no
// work is in flight after maxIdleWait, or at a second signal.
//
// A target that closes its listener as soon as it is idle resets connections in the accept
// queue, on which request bytes may have been sent. The sender can't distinguish that from
// a crash during execution: some uploads had an unknown outcome after a planned stop. So a
// draining target keeps responding that it drains until callers know of it.
func awaitIdle(s *target.Server, again <-chan os.Signal) {
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	began := time.Now()
	lastActivity, afterDrain := began, int64(0)
	for {
		c := s.Counters()
		if c.InFlight+c.Queued > 0 || c.AfterDrain > afterDrain {
			lastActivity, afterDrain = time.Now(), c.AfterDrain
		}
		if time.Since(lastActivity) > idleGrace || c.InFlight+c.Queued == 0 && time.Since(began) > maxIdleWait {
			return
		}
		select {
		case <-again:
			return
		case <-t.C:
		}
	}
}
