// Command peardriftd is a node: a sidecar process of each target instance.
package main

import (
	"os"

	"peardrift/internal/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) }
