// Command days reads entries of the journal and prints each day that broke a rule,
// had a fault or fell short of the gate, which a hunt's own verdict leaves out, and a
// line for each entry.
//
//	days ENTRY.json...
//
// Exit codes: 0 every day is sound, 1 some are not, 2 an entry can't be read.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"

	"peardrift/internal/status"
)

// Exit codes.
const (
	exitUnsound = 1
	exitUsage   = 2
)

const codeDays status.Code = "days"

// entry is what the journal keeps of one command.
type entry struct {
	ID   string `json:"id"`
	Cmd  string `json:"cmd"`
	Site string `json:"site"`
	Head string `json:"head"`
	Days []day  `json:"days"`
}

// day is one day that was played.
type day struct {
	Name  string                     `json:"name"`
	Rules map[string]json.RawMessage `json:"rules"` // that were broken
	Fault *string                    `json:"fault"`
	Short []string                   `json:"short"` // of the gate, and by what
}

func main() {
	args, err := flags.Parse(&struct{}{})
	if err != nil {
		os.Exit(exitUsage)
	}
	unsound := 0
	for _, file := range args {
		e, err := read(file)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitUsage)
		}
		unsound += report(os.Stdout, e)
	}
	if unsound > 0 {
		os.Exit(exitUnsound)
	}
}

func read(file string) (*entry, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, status.Wrap(codeDays, err, "read %s", file)
	}
	e := &entry{}
	if err := json.Unmarshal(b, e); err != nil {
		return nil, status.Wrap(codeDays, err, "%s is no entry of the journal", file)
	}
	return e, nil
}

// report prints an entry and returns how many of its days are not sound.
func report(w io.Writer, e *entry) int {
	unsound := 0
	for i := range e.Days {
		if wrong := e.Days[i].wrong(); wrong != "" {
			unsound++
			fmt.Fprintf(w, "%s %s %s: %s\n", e.ID, e.Site, e.Days[i].Name, wrong)
		}
	}
	fmt.Fprintf(w, "%s %s %s, code %.7s: %d of %d days broke a rule, had a fault or fell short of the gate\n",
		e.ID, e.Cmd, e.Site, e.Head, unsound, len(e.Days))
	return unsound
}

// wrong says what is wrong with a day; empty if nothing is.
func (d *day) wrong() string {
	var out []string
	for _, rule := range slices.Sorted(maps.Keys(d.Rules)) {
		out = append(out, "broke "+rule)
	}
	out = append(out, d.Short...)
	if d.Fault != nil && len(d.Short) == 0 {
		out = append(out, "fault: "+*d.Fault)
	}
	return strings.Join(out, "; ")
}
