package cli

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/adapter/rpc/adminapi"
	"peardrift/internal/apply"
	"peardrift/internal/port/porttest"
	"peardrift/internal/settings"
	"peardrift/internal/status"
)

// Symptom: a script that reads the status of nodes breaks when one is down.
// Events: one node answers, another doesn't, output is JSON. Cause: the failure
// followed the result as a second JSON value.
func TestStatusWithAFailureIsOneJSONValue(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	is.Equal(b.run("apply", b.set("25", "0.5"), "--base", "0"), ExitOK)
	is.Equal(b.run("--output", "json", "status", "--node", knownNode, "--node", "127.0.0.1:9"), ExitFailure)
	var out statusResult
	is.NoErr(json.Unmarshal(b.out.Bytes(), &out)) // fails if anything follows
	is.Equal(len(out.Accepted), 1)
	is.True(out.Nodes[0].Status != nil)
	is.True(out.Nodes[1].Error != "")
	is.Equal(out.Error.Code, status.CodeConnectionLost)
	is.Equal(out.Error.Exit, ExitFailure)
	is.Equal(b.err.String(), "")
}

// Symptom: a typing mistake reads as an outage: exit code 5, "safe to run
// again", or 4, "apply on the new base". Events: an option has a value that can
// never work. Cause: values went to the platform unchecked.
func TestOptionsThatCannotWorkAreUsageErrors(t *testing.T) {
	b := newBench(t)
	set := b.set("25", "0.5")
	for _, tt := range []struct {
		says string
		args []string
	}{
		{"--base must not be negative", []string{"apply", set, "--base", "-1"}},
		{"--node must be an IP address", []string{"apply", set, "--base", "0", "--node", "node-1:7403"}},
		{"--node must be an IP address", []string{"status", "--node", "127.0.0.1"}},
		{"--timeout must be more than 0", []string{"--timeout", "-1s", "status"}},
		{"--from and --to must not be negative", []string{"diff", "--tenant", "khaosan", "--from", "-1"}},
		{"platform.timeout must be at least 50ms, is \"-1s\" (--call-timeout)", []string{"--call-timeout", "-1s", "status"}},
		{"platform.table.endpoint must be an http or https URL", []string{"--table-endpoint", "127.0.0.1:8000", "status"}},
		{"platform.objects.endpoint must be an http or https URL", []string{"--objects-endpoint", "localhost", "status"}},
	} {
		is := is.New(t)
		is.Equal(b.run(tt.args...), ExitUsage)
		if !strings.Contains(b.err.String(), tt.says) {
			t.Errorf("%v: got %q, want %q in it", tt.args, b.err.String(), tt.says)
		}
	}
	if n := b.table.Count(porttest.OpGet) + b.table.Count(porttest.OpPutAll); n > 0 {
		t.Errorf("the platform was called %d times", n)
	}
}

// Symptom: "no row config/kalahari/head", which tells an operator nothing.
// Events: a tenant's name is mistyped, or a version asked for that is not there
// yet. Cause: the table's own failure was shown as it was.
func TestWhatIsNotThereIsNamedInTheOperatorsWords(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	is.Equal(b.run("apply", b.set("25", "0.5"), "--base", "0"), ExitOK)
	is.Equal(b.run("history", "--tenant", "kalahari"), ExitFailure)
	is.True(strings.Contains(b.err.String(), "tenant kalahari has no accepted version"))
	is.Equal(b.run("diff", "--tenant", "khaosan", "--from", "1", "--to", "9"), ExitFailure)
	is.True(strings.Contains(b.err.String(), "tenant khaosan has no version 9"))
}

// fullDisk takes no output.
type fullDisk struct{}

func (fullDisk) Write([]byte) (int, error) { return 0, os.ErrClosed }

// Symptom: a script keeps an empty or cut history and goes on. Events: standard
// output is a file on a full disk. Cause: text that can't be written was not
// taken for a failure, as it was with JSON.
func TestOutputThatCannotBeWrittenIsAFailure(t *testing.T) {
	for _, form := range []string{"text", "json"} {
		is := is.New(t)
		b := newBench(t)
		is.Equal(Run(context.Background(), []string{"--output", form, "version"},
			Env{Stdout: fullDisk{}, Stderr: &b.err, Nodes: b.nodes}), ExitFailure)
	}
}

// Symptom: the tool calls a platform that the file doesn't name. Events: a key
// of the file's platform section is mistyped. Cause: the file was read
// leniently, and only its first fault was told, in the YAML library's words.
func TestPlatformFileIsCheckedLikeANodes(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	file := filepath.Join(t.TempDir(), "platform.yaml")
	is.NoErr(os.WriteFile(file, []byte(`node: {colour: red}
platform:
  table: {endpoint: "http://127.0.0.1:3", nam: other}
  timeout: 5
`), 0o600))
	is.Equal(b.run("--platform", file, "status"), ExitUsage)
	is.Equal(b.err.String(), file+":3:43: platform.table.nam is not a known key\n"+
		file+":4:12: platform.timeout must be a duration with its unit, such as 250ms or 5s\n")
}

func TestAllThatThePlatformLacksIsToldAtOnce(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	t.Setenv("PEARDRIFT_TABLE_ENDPOINT", "")
	t.Setenv("PEARDRIFT_OBJECTS_ENDPOINT", "")
	t.Setenv("PEARDRIFT_SECRET_KEY", "")
	is.Equal(b.run("status"), ExitUsage)
	for _, flag := range []string{"--table-endpoint", "--objects-endpoint", "--secret-key-file"} {
		is.True(strings.Contains(b.err.String(), flag))
	}
}

// downNodes has one node that answers; all others keep their caller waiting.
type downNodes struct{ fakeNodes }

func (d *downNodes) Status(ctx context.Context, addr string) (adminapi.StatusReply, error) {
	if addr != knownNode {
		time.Sleep(nodeTimeout)
	}
	if ctx.Err() != nil {
		return adminapi.StatusReply{}, status.New(status.CodeDeadlineExceeded, "no time left")
	}
	return d.fakeNodes.Status(ctx, addr)
}

// Symptom: in an outage "status" shows nodes as down that are not. Events: ten
// nodes that don't answer are named before one that does. Cause: they were asked
// one after the other, within the time of the whole command.
func TestNodesThatAreDownDoNotHideOthers(t *testing.T) {
	b := newBench(t)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		args := []string{"status"}
		for i := range 10 {
			args = append(args, "--node", "10.0.0.1:"+strconv.Itoa(7000+i))
		}
		code := Run(context.Background(), append(args, "--node", knownNode), Env{
			Stdout: &b.out, Stderr: &b.err, Nodes: &downNodes{},
			Open: func(settings.Platform) (*apply.Store, func(), error) {
				return apply.New(b.table, b.objects, apply.DefaultConfig()), func() {}, nil
			},
		})
		is.Equal(code, ExitFailure)
		is.True(strings.Contains(b.out.String(), "node "+knownNode+": feed-1"))
	})
}

func TestStatusTellsOfOverloadAndReadiness(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	is.Equal(b.run("status", "--node", knownNode), ExitOK)
	is.True(strings.Contains(b.out.String(), "  not ready: its target is down\n"+
		"  target: 24 of 25 run, 7 wait, demand 60.0; refuses what is less important than 30.2\n"))
}
