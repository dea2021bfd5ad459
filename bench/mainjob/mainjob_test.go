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

// Symptom: after Ctrl-C in the main job, processes or folders stay behind.
// Events: the context ends while the hosts are being started.
// Cause: a start that went on after the fleet was closed, or a wait that did
// not see it.
func TestInterruptedMainJobLeavesNothing(t *testing.T) {
	is := is.New(t)
	root, bins := harnesstest.Programs(t)
	tmp := t.TempDir()
	t.Setenv("TMPDIR", tmp)
	ctx, cancel := context.WithCancel(t.Context())
	err := Run(ctx, Config{Root: root, Bins: bins, Small: true, Load: time.Second, Out: cancelAt{"accepted", cancel}})
	is.True(errors.Is(err, &status.Error{Code: status.CodeCanceled}))
	left, err := filepath.Glob(filepath.Join(tmp, "*"))
	is.NoErr(err)
	is.Equal(len(left), 0) // Close removes the folder after the last process has ended
}

// cancelAt is a writer that cancels when a word is written.
type cancelAt struct {
	word   string
	cancel context.CancelFunc
}

func (c cancelAt) Write(b []byte) (int, error) {
	if strings.Contains(string(b), c.word) {
		c.cancel()
	}
	return len(b), nil
}

// chainSpans is the trace of a call to a whose target calls b.
func chainSpans() []*span {
	s := func(id, parent, hop, service string) *span {
		return &span{id: id, parent: parent, hop: hop, service: service, outcome: outcomeCompleted}
	}
	return []*span{
		s("1", "0", hopEntry, "a"), s("2", "1", hopAttempt, "a"), s("3", "2", hopServe, "a"),
		s("4", "3", hopEgress, "b"), s("5", "4", hopAttempt, "b"), s("6", "5", hopServe, "b"),
	}
}

func TestTraceThatLacksAHopIsFound(t *testing.T) {
	is := is.New(t)
	a := target.Answer{Service: "a", Calls: []target.Result{{Service: "b", Answer: &target.Answer{Service: "b"}}}}
	is.NoErr(lacks(chainSpans(), a))
	for i := range chainSpans() {
		spans := chainSpans()
		spans = append(spans[:i], spans[i+1:]...)
		is.True(errors.Is(lacks(spans, a), &status.Error{Code: CodeTrace})) // any one span missing
	}
	twice := a
	twice.Calls = append(twice.Calls, twice.Calls[0])
	is.True(lacks(chainSpans(), twice) != nil) // one span can't stand for two calls
}

// Symptom: the main job passes though a payout ran twice, or never. Events: a
// request is sent again under its key. Cause: only the callers' word was looked at.
func TestRunsAreHeldAgainstAnswers(t *testing.T) {
	is := is.New(t)
	is.NoErr(judgeRuns("payout", map[string]int{"a": 1, "b": 1}, 2))
	is.NoErr(judgeRuns("payout", map[string]int{"a": 1, "b": 1}, 1)) // one ran and was left in doubt
	for _, runs := range []map[string]int{{"a": 2, "b": 1}, {"a": 1}, nil} {
		is.True(errors.Is(judgeRuns("payout", runs, 2), &status.Error{Code: CodeAnswer}))
	}
}
