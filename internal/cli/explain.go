package cli

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"peardrift/internal/status"
)

// explainCommand prints what nodes' logs say of one request.
type explainCommand struct {
	app  *app
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"1" description:"the request's identity, or its caller's name for it"`
		Files []string `positional-arg-name:"FILE" description:"logs; standard input if there are none"`
	} `positional-args:"yes"`
}

// logLine is what explain reads of a line.
type logLine struct {
	Time     time.Time `json:"time"`
	Message  string    `json:"message"`
	Request  string    `json:"request"`
	Name     string    `json:"name,omitempty"`
	Hop      string    `json:"hop"`
	Service  string    `json:"service"`
	Class    string    `json:"class,omitempty"`
	Outcome  string    `json:"outcome"`
	Code     string    `json:"code,omitempty"`
	Retry    string    `json:"retry,omitempty"`
	Attempts int       `json:"attempts,omitempty"`
	Took     string    `json:"took"`
	Queued   string    `json:"queued,omitempty"`
	Version  int64     `json:"version,omitempty"`
	Level    float64   `json:"refused_below,omitempty"`
	Source   string    `json:"source,omitempty"` // what stands before the line, or its file
}

// depth is how far down the chain a line is, by the names of its calls.
func (l *logLine) depth() int { return strings.Count(l.Name, ".") }

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	lines, err := c.read()
	if err != nil {
		return err
	}
	found := about(lines, c.Args.ID)
	if len(found) == 0 {
		return status.New(status.CodeUnknownClass, "no line tells of %q; it completed, or its line was sampled: look for the counted class in the metrics", c.Args.ID)
	}
	return c.app.show(found, func(w io.Writer) { printHops(w, found) })
}

func (c *explainCommand) read() ([]logLine, error) {
	if len(c.Args.Files) == 0 {
		return readLines(os.Stdin, "")
	}
	var all []logLine
	for _, name := range c.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return nil, status.Wrap(status.CodeInvalidSettings, err, "cannot read a log")
		}
		lines, err := readLines(f, name)
		_ = f.Close() // it was only read
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

// maxLogLine bounds one line, in bytes; nodes write none above 16 KiB.
const maxLogLine = 64 << 10

// readLines reads the lines of calls. What stands before a line's object, such as
// the name of its instance, is kept; other lines are passed over.
func readLines(r io.Reader, source string) ([]logLine, error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLogLine)
	var out []logLine
	for sc.Scan() {
		before, rest, ok := strings.Cut(sc.Text(), "{")
		if !ok {
			continue
		}
		l := logLine{Source: cmp.Or(strings.TrimSpace(before), source)}
		if json.Unmarshal([]byte("{"+rest), &l) == nil && l.Request != "" {
			out = append(out, l)
		}
	}
	if err := sc.Err(); err != nil {
		return nil, status.Wrap(status.CodeProtocol, err, "a log can't be read")
	}
	return out, nil
}

// about returns the lines of a request, by any of its names. Those of its calls
// come before the call that they were made for: clocks of instances differ, so
// within one hop's length the chain's order counts, not the time.
func about(lines []logLine, id string) []logLine {
	ids := make(map[string]bool)
	for _, l := range lines {
		if l.Request == id || l.Name == id || strings.HasPrefix(l.Name, id+".") {
			ids[l.Request] = true
		}
	}
	var out []logLine
	for _, l := range lines {
		if ids[l.Request] {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b logLine) int {
		return cmp.Or(cmp.Compare(b.depth(), a.depth()), a.Time.Compare(b.Time))
	})
	return out
}

// printHops prints the hops from the deepest, where causes are, up to the entry.
func printHops(w io.Writer, lines []logLine) {
	fmt.Fprintf(w, "request %s, the deepest call first\n", lines[0].Request)
	for _, l := range lines {
		why := cmp.Or(l.Code, "the target's own answer")
		fmt.Fprintf(w, "%s  %-7s %-24s %-9s %-22s took %s", l.Time.Format("15:04:05.000"), l.Hop, l.Service, l.Outcome, why, l.Took)
		if l.Queued != "" {
			fmt.Fprintf(w, ", queued %s", l.Queued)
		}
		if l.Retry != "" {
			fmt.Fprintf(w, ", %d attempts, no other: %s", l.Attempts, l.Retry)
		}
		if l.Level > 0 {
			fmt.Fprintf(w, ", refuses below %.2f", l.Level)
		}
		fmt.Fprintf(w, ", version %d, name %s, at %s\n", l.Version, l.Name, l.Source)
	}
}
