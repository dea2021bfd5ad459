package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// skewedLogs holds lines of two instances whose clocks differ by two seconds.
const skewedLogs = `a-1 {"level":"info","time":"2026-06-22T16:30:25.5Z","message":"call failed","hop":"entry","request":"aa","service":"front.t","outcome":"failed","code":"","took":"909ms","waited":"900ms","wait_result":"started","version":6,"name":"c1","attempts":1,"retry":"allowance"}
a-1 {"level":"info","time":"2026-06-22T16:30:25.6Z","message":"call refused","hop":"entry","request":"bb","service":"front.t","outcome":"refused","code":"overloaded","took":"1ms","name":"c2"}
a-1 {"level":"info","time":"2026-06-22T16:30:25.7Z","message":"ready"}
b-1 {"level":"info","time":"2026-06-22T16:30:27.4Z","message":"call refused","hop":"egress","request":"aa","service":"deep.t","outcome":"refused","code":"draining","took":"2ms","version":6,"name":"c1.x"}
no line of ours
`

// Guards against hiding the cause of a failure: a nested call was refused on an
// instance whose clock is ahead, and lines sorted by time put it last.
func TestExplainPrintsDeepestCallFirst(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "log")
	is.NoErr(os.WriteFile(path, []byte(skewedLogs), 0o600))
	var out, errs bytes.Buffer
	code := Run(context.Background(), []string{"explain", "c1", path}, Env{Stdout: &out, Stderr: &errs})
	is.Equal(code, ExitOK)
	text := out.String()
	is.True(strings.Index(text, "draining") < strings.Index(text, "front.t"))
	is.True(!strings.Contains(text, "overloaded")) // another request's
	is.True(strings.Contains(text, "took 909ms, waited 900ms and was started"))
	out.Reset()
	is.Equal(Run(context.Background(), []string{"explain", "aa", path}, Env{Stdout: &out, Stderr: &errs}), ExitOK)
	is.Equal(out.String(), text) // by either name
	is.Equal(Run(context.Background(), []string{"explain", "nobody", path}, Env{Stdout: &out, Stderr: &errs}), ExitFailure)
}
