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

// explainCommand prints the log lines of all nodes about one request.
type explainCommand struct {
	app  *app
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"1" description:"the request's identity, or its caller's name for it"`
		Files []string `positional-arg-name:"FILE" description:"logs; standard input if there are none"`
	} `positional-args:"yes"`
}

// logLine holds the fields of a log line that explain uses.
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
	Waited   string    `json:"waited,omitempty"`
	Wait     string    `json:"wait_result,omitempty"`
	Version  int64     `json:"version,omitempty"`
	Level    float64   `json:"refused_below,omitempty"`
	Source   string    `json:"source,omitempty"` // text before the JSON object, or the file name
}

// callDepth returns the depth in the call chain. The name of a nested call is its
// parent's name with a suffix separated by a dot.
func (l *logLine) callDepth() int { return strings.Count(l.Name, ".") }

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	lines, err := c.readLogs()
	if err != nil {
		return err
	}
	found := linesOfRequest(lines, c.Args.ID)
	if len(found) == 0 {
		return status.New(status.CodeUnknownClass, "no log line mentions %q; the request completed or its line was dropped by sampling: check the metrics of its class", c.Args.ID)
	}
	return c.app.printResult(found, func(w io.Writer) { printHops(w, found) })
}

func (c *explainCommand) readLogs() ([]logLine, error) {
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
		_ = f.Close() // opened read-only
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

// maxLogLine limits one line, in bytes; nodes write lines of at most 16 KiB.
const maxLogLine = 64 << 10

// readLines reads the log lines of calls and skips all others. Text before a
// line's JSON object, such as the name of the instance, becomes its Source.
func readLines(r io.Reader, source string) ([]logLine, error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLogLine)
	var out []logLine
	for sc.Scan() {
		prefix, rest, ok := strings.Cut(sc.Text(), "{")
		if !ok {
			continue
		}
		l := logLine{Source: cmp.Or(strings.TrimSpace(prefix), source)}
		if json.Unmarshal([]byte("{"+rest), &l) == nil && l.Request != "" {
			out = append(out, l)
		}
	}
	if err := sc.Err(); err != nil {
		return nil, status.Wrap(status.CodeProtocol, err, "cannot read a log")
	}
	return out, nil
}

// linesOfRequest returns the lines of a request, found by its identity or name.
// Nested calls come before the call that made them: lines are sorted by call
// depth first, since the clocks of instances may differ by more than a hop takes.
func linesOfRequest(lines []logLine, id string) []logLine {
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
		return cmp.Or(cmp.Compare(b.callDepth(), a.callDepth()), a.Time.Compare(b.Time))
	})
	return out
}

// printHops prints the hops from the deepest, where the cause usually is, up to
// the entry.
func printHops(w io.Writer, lines []logLine) {
	fmt.Fprintf(w, "request %s, the deepest call first\n", lines[0].Request)
	for _, l := range lines {
		reason := cmp.Or(l.Code, "the target's own answer")
		fmt.Fprintf(w, "%s  %-7s %-24s %-9s %-22s took %s", l.Time.Format("15:04:05.000"), l.Hop, l.Service, l.Outcome, reason, l.Took)
		if l.Waited != "" {
			fmt.Fprintf(w, ", waited %s and was %s", l.Waited, l.Wait)
		}
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
