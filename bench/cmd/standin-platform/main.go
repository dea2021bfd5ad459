// Command standin-platform runs the stand-in table service and object store
// until SIGTERM.
package main

import (
	"context"
	"fmt"

	"peardrift/bench/command"
	"peardrift/bench/standin/platform"
)

type options struct {
	Listen string `long:"listen" default:"127.0.0.1:0" description:"listen address; port 0 selects a free port"`
}

func main() { command.Main(run) }

func run(ctx context.Context, o options) error {
	s := platform.New()
	if err := s.Start(o.Listen); err != nil {
		return err
	}
	fmt.Println("listening", s.Addr())
	<-ctx.Done()
	return s.Close()
}
