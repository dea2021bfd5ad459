// Command standin-platform runs the stand-in table service and object store
// until SIGTERM.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"peardrift/bench/standin/platform"
)

const exitUsage = 2

type options struct {
	Listen string `long:"listen" default:"127.0.0.1:0" description:"address; port 0 picks a free one"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(exitUsage)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o options) error {
	s := platform.New()
	if err := s.Start(o.Listen); err != nil {
		return err
	}
	fmt.Println("listening", s.Addr())
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	<-stop
	return s.Close()
}
