package mainjob

import (
	"context"
	"errors"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/bench/harness/harnesstest"
	"peardrift/bench/standin/target"
	"peardrift/internal/status"
)

func TestMain(m *testing.M) { harnesstest.Main(m) }

func TestSmallMainJob(t *testing.T) {
	root, bins := harnesstest.Programs(t)
	var out strings.Builder
	err := Run(t.Context(), Config{Root: root, Bins: bins, Small: true, Load: time.Second, Out: &out})
	t.Log(out.String())
	if err != nil {
		t.Fatal(err)
	}
	is := is.New(t)
	for _, want := range []string{"morning-feed", "payout-approval", "media.khaosan/media/thumbs", "evidencebox.kalahari/evidence", "exit code 0"} {
		is.True(strings.Contains(out.String(), want))
	}
}

// Guards against processes or directories left behind by Ctrl-C while hosts start: a
// start continues after the fleet is closed, or a wait ignores the cancellation.
func TestInterruptedRunCleansUp(t *testing.T) {
	is := is.New(t)
	root, bins := harnesstest.Programs(t)
	tmp := t.TempDir()
	t.Setenv("TMPDIR", tmp)
	ctx, cancel := context.WithCancel(t.Context())
	err := Run(ctx, Config{Root: root, Bins: bins, Small: true, Load: time.Second, Out: cancelWriter{"accepted", cancel}})
	is.True(errors.Is(err, &status.Error{Code: status.CodeCanceled}))
	remaining, err := filepath.Glob(filepath.Join(tmp, "*"))
	is.NoErr(err)
	is.Equal(len(remaining), 0) // Close removes the directory after the last process has exited
}

// cancelWriter is a writer that calls cancel when the written text contains word.
type cancelWriter struct {
	word   string
	cancel context.CancelFunc
}

func (c cancelWriter) Write(b []byte) (int, error) {
	if strings.Contains(string(b), c.word) {
		c.cancel()
	}
	return len(b), nil
}

// chainSpans returns the trace of a call to service a, whose target calls service b.
func chainSpans() []*span {
	s := func(id, parent, hop, service string) *span {
		return &span{id: id, parent: parent, hop: hop, service: service, outcome: outcomeCompleted}
	}
	return []*span{
		s("1", "0", hopEntry, "a"), s("2", "1", hopAttempt, "a"), s("3", "2", hopServe, "a"),
		s("4", "3", hopEgress, "b"), s("5", "4", hopAttempt, "b"), s("6", "5", hopServe, "b"),
	}
}

func TestCheckTraceFindsMissingSpan(t *testing.T) {
	is := is.New(t)
	a := target.Answer{Service: "a", Calls: []target.Result{{Service: "b", Answer: &target.Answer{Service: "b"}}}}
	is.NoErr(checkTrace(chainSpans(), a))
	for i := range chainSpans() {
		spans := chainSpans()
		spans = append(spans[:i], spans[i+1:]...)
		is.True(errors.Is(checkTrace(spans, a), &status.Error{Code: CodeTrace})) // span i is missing
	}
	twoCalls := a
	twoCalls.Calls = append(twoCalls.Calls, twoCalls.Calls[0])
	is.True(checkTrace(chainSpans(), twoCalls) != nil) // one span can't account for two calls
}

// Guards against a run that passes although a payout ran twice, or never, when a request
// is retried under its key: the results of callers alone don't show it.
func TestCheckClassRuns(t *testing.T) {
	is := is.New(t)
	is.NoErr(checkClassRuns("payout", map[string]int{"a": 1, "b": 1}, 2))
	is.NoErr(checkClassRuns("payout", map[string]int{"a": 1, "b": 1}, 1)) // one ran with an unknown outcome
	for _, runs := range []map[string]int{{"a": 2, "b": 1}, {"a": 1}, nil} {
		is.True(errors.Is(checkClassRuns("payout", runs, 2), &status.Error{Code: CodeAnswer}))
	}
}
