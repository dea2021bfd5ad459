// Command peardrift is the operators' tool; see docs/operators/commands.md.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"peardrift/internal/cli"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// The first signal cancels the command gracefully; a second one kills it, even
	// in a wait that no context can cancel, such as opening a pipe.
	context.AfterFunc(ctx, stop)
	nodes := cli.NewRPCNodes()
	defer nodes.Close()
	return cli.Run(ctx, os.Args[1:], cli.Env{
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		Open:   cli.OpenPlatform,
		Nodes:  nodes,
	})
}
