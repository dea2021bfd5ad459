// Command demo runs the main job on real processes: both deployments of the
// brief on stand-ins, a morning feed and a payout approval shown in full, and a
// short mixed load. It prints what happened and stops by itself.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"peardrift/bench/deploy"
	"peardrift/bench/harness"
	"peardrift/bench/standin/client"
)

type options struct {
	Seconds float64 `long:"seconds" default:"5" description:"length of the mixed load"`
	Keep    bool    `long:"keep" description:"keep the fleet's files (settings, logs)"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	root, err := harness.Root()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "peardrift-bin-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	bins, err := harness.Build(root, dir)
	if err != nil {
		return err
	}
	f, err := harness.New(bins)
	if err != nil {
		return err
	}
	if !o.Keep {
		defer f.Close()
	}
	for _, d := range deploy.All() {
		if err := f.Add(d); err != nil {
			return err
		}
	}
	began := time.Now()
	if err := f.Start(); err != nil {
		return err
	}
	for _, d := range deploy.All() {
		if err := f.Apply(ctx, root, d.Tenant, 0); err != nil {
			return err
		}
	}
	if err := f.Ready(30 * time.Second); err != nil {
		return err
	}
	fmt.Printf("%d hosts ready after %v\n", len(f.Hosts), time.Since(began).Round(time.Millisecond))
	if err := f.Converged(30 * time.Second); err != nil {
		return err
	}
	fmt.Printf("all know all after %v\n", time.Since(began).Round(time.Millisecond))
	for _, d := range deploy.All() {
		cfg := client.Config{URLs: f.Entries(d), Seed: 1, Observe: func(a client.Attempt) {
			if a.Result != client.Completed {
				fmt.Println(a.Class, a.Result, a.Code, a.Status, a.Err)
			}
		}}
		for _, c := range d.Load {
			for i := range c.Phases {
				c.Phases[i].For = time.Duration(o.Seconds * float64(time.Second))
			}
			cfg.Classes = append(cfg.Classes, c)
		}
		rep, err := client.Run(ctx, cfg)
		if err != nil {
			return err
		}
		for name, s := range rep {
			fmt.Printf("%-20s %+v\n", name, *s)
		}
	}
	return nil
}
