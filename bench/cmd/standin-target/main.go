// Command standin-target runs one stand-in target instance until SIGTERM, which
// drains it; a second signal ends it at once.
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
	exitCrash = 3
	drainPoll = 10 * time.Millisecond
	// quiet is longer than the pauses of callers that haven't heard of a drain,
	// under the loads of the benches.
	quiet = time.Second
	// linger bounds the wait for callers that never hear of it.
	linger = 15 * time.Second
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

// awaitIdle returns when no work is in flight and none has come for quiet, after
// linger at the latest, or at a second signal.
//
// A target that closes its listener as soon as it is idle resets the connections
// in the listener's queue, on which bytes of requests have been sent already. The
// sender can't tell that from a crash in the middle of a run: now and then an
// upload was in doubt after a planned stop. Until callers have heard of the drain,
// a target that drains answers them that it does.
func awaitIdle(s *target.Server, again <-chan os.Signal) {
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	began := time.Now()
	last, asked := began, int64(0)
	for {
		c := s.Counters()
		if c.InFlight+c.Queued > 0 || c.AfterDrain > asked {
			last, asked = time.Now(), c.AfterDrain
		}
		if time.Since(last) > quiet || c.InFlight+c.Queued == 0 && time.Since(began) > linger {
			return
		}
		select {
		case <-again:
			return
		case <-t.C:
		}
	}
}
