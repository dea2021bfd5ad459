// Command days reads journal entries. It prints each simulated day that broke a rule, had
// a fault or fell short of the gate, and a summary line for each entry. The verdict of a
// hunt command doesn't include days that fell short of the gate.
//
//	days ENTRY.json...
//
// Exit codes: 0 no day has problems, 1 some days have problems, 2 an entry can't be read.
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
	exitProblems = 1
	exitUsage    = 2
)

const codeDays status.Code = "days"

// entry is the journal's record of one command.
type entry struct {
	ID   string `json:"id"`
	Cmd  string `json:"cmd"`
	Site string `json:"site"`
	Head string `json:"head"`
	Days []day  `json:"days"`
}

// day is the result of one simulated day.
type day struct {
	Name  string                     `json:"name"`
	Rules map[string]json.RawMessage `json:"rules"` // broken rules
	Fault *string                    `json:"fault"`
	Short []string                   `json:"short"` // how the day fell short of the gate
}

func main() {
	args, err := flags.Parse(&struct{}{})
	if err != nil {
		os.Exit(exitUsage)
	}
	failing := 0
	for _, file := range args {
		e, err := readEntry(file)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitUsage)
		}
		failing += report(os.Stdout, e)
	}
	if failing > 0 {
		os.Exit(exitProblems)
	}
}

func readEntry(file string) (*entry, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, status.Wrap(codeDays, err, "read %s", file)
	}
	e := &entry{}
	if err := json.Unmarshal(b, e); err != nil {
		return nil, status.Wrap(codeDays, err, "%s is not a journal entry", file)
	}
	return e, nil
}

// report prints an entry and returns how many of its days have problems.
func report(w io.Writer, e *entry) int {
	failing := 0
	for i := range e.Days {
		if problems := e.Days[i].problems(); problems != "" {
			failing++
			fmt.Fprintf(w, "%s %s %s: %s\n", e.ID, e.Site, e.Days[i].Name, problems)
		}
	}
	fmt.Fprintf(w, "%s %s %s, code %.7s: %d of %d days broke a rule, had a fault or fell short of the gate\n",
		e.ID, e.Cmd, e.Site, e.Head, failing, len(e.Days))
	return failing
}

// problems describes the problems of a day. It is empty if there are none.
func (d *day) problems() string {
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
