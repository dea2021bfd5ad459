// Command slopes measures the cost of membership and how fast it spreads updates, at
// several fleet sizes, and prints the tables that docs/CAPACITY.md quotes.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"slices"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Quick bool     `long:"quick" description:"small sizes and short runs, for CI"`
	Sizes []int    `long:"size" description:"numbers of members; may be repeated (default 100, 1000, 4000, 14000)"`
	Only  []string `long:"only" description:"a section to run; may be repeated (default all)" choice:"memory" choice:"cost" choice:"spread" choice:"busy" choice:"zone" choice:"reads" choice:"region" choice:"join" choice:"freeze" choice:"rings"`
	Seed  uint64   `long:"seed" default:"1" description:"random seed"`
}

// memoryLimit keeps the largest fleet within its share of the machine's memory, at the
// cost of more garbage collection.
const memoryLimit = 9 << 30

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var f *flags.Error
		if errors.As(err, &f) && f.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	debug.SetGCPercent(50)
	debug.SetMemoryLimit(memoryLimit)
	if len(o.Sizes) == 0 {
		o.Sizes = []int{100, 1000, 4000, 14000}
		if o.Quick {
			o.Sizes = []int{100, 300}
		}
	}
	for _, p := range sections {
		if len(o.Only) > 0 && !slices.Contains(o.Only, p.name) {
			continue
		}
		fmt.Printf("\n## %s\n\n", p.title)
		p.run(&o)
	}
}
