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

// Guards against a failure printed as a second JSON value after the result when
// one node is down, which breaks scripts that parse the output.
func TestStatusWithFailureIsOneJSONValue(t *testing.T) {
	is := is.New(t)
	b := newTestTool(t)
	is.Equal(b.run("apply", b.writeSet("25", "0.5"), "--base", "0"), ExitOK)
	is.Equal(b.run("--output", "json", "status", "--node", liveNode, "--node", "127.0.0.1:9"), ExitFailure)
	var out statusResult
	is.NoErr(json.Unmarshal(b.out.Bytes(), &out)) // fails if anything follows
	is.Equal(len(out.Accepted), 1)
	is.True(out.Nodes[0].Status != nil)
	is.True(out.Nodes[1].Error != "")
	is.Equal(out.Error.Code, status.CodeConnectionLost)
	is.Equal(out.Error.Exit, ExitFailure)
	is.Equal(b.err.String(), "")
}

// Guards against invalid option values that reach the platform unchecked: a typing
// mistake then exits with 5 (unavailable, safe to retry) or 4 (conflict).
func TestInvalidOptionsAreUsageErrors(t *testing.T) {
	b := newTestTool(t)
	set := b.writeSet("25", "0.5")
	for _, tt := range []struct {
		want string
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
		if !strings.Contains(b.err.String(), tt.want) {
			t.Errorf("%v: got %q, want %q in it", tt.args, b.err.String(), tt.want)
		}
	}
	if n := b.table.Count(porttest.OpGet) + b.table.Count(porttest.OpPutAll); n > 0 {
		t.Errorf("the platform was called %d times", n)
	}
}

// Guards against exposing the table's error, such as "no row config/kalahari/head",
// when a tenant's name is mistyped or a version does not exist.
func TestMissingTenantAndVersionErrors(t *testing.T) {
	is := is.New(t)
	b := newTestTool(t)
	is.Equal(b.run("apply", b.writeSet("25", "0.5"), "--base", "0"), ExitOK)
	is.Equal(b.run("history", "--tenant", "kalahari"), ExitFailure)
	is.True(strings.Contains(b.err.String(), "tenant kalahari has no accepted version"))
	is.Equal(b.run("diff", "--tenant", "khaosan", "--from", "1", "--to", "9"), ExitFailure)
	is.True(strings.Contains(b.err.String(), "tenant khaosan has no version 9"))
}

// failingWriter fails every write.
type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, os.ErrClosed }

// Guards against exit code 0 with truncated text output, for example when standard
// output is a file on a full disk.
func TestOutputWriteErrorIsFailure(t *testing.T) {
	for _, form := range []string{"text", "json"} {
		is := is.New(t)
		b := newTestTool(t)
		is.Equal(Run(context.Background(), []string{"--output", form, "version"},
			Env{Stdout: failingWriter{}, Stderr: &b.err, Nodes: b.nodes}), ExitFailure)
	}
}

// Guards against lenient parsing of the platform file: a mistyped key was ignored,
// so the tool called another platform. All problems must be reported, not only the
// YAML library's first error.
func TestPlatformFileIsValidatedStrictly(t *testing.T) {
	is := is.New(t)
	b := newTestTool(t)
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

func TestAllMissingPlatformSettingsAreReported(t *testing.T) {
	is := is.New(t)
	b := newTestTool(t)
	t.Setenv("PEARDRIFT_TABLE_ENDPOINT", "")
	t.Setenv("PEARDRIFT_OBJECTS_ENDPOINT", "")
	t.Setenv("PEARDRIFT_SECRET_KEY", "")
	is.Equal(b.run("status"), ExitUsage)
	for _, flag := range []string{"--table-endpoint", "--objects-endpoint", "--secret-key-file"} {
		is.True(strings.Contains(b.err.String(), flag))
	}
}

// unresponsiveNodes answers for liveNode; calls to all others time out.
type unresponsiveNodes struct{ fakeNodes }

func (d *unresponsiveNodes) Status(ctx context.Context, addr string) (adminapi.StatusReply, error) {
	if addr != liveNode {
		time.Sleep(nodeTimeout)
	}
	if ctx.Err() != nil {
		return adminapi.StatusReply{}, status.New(status.CodeDeadlineExceeded, "no time left")
	}
	return d.fakeNodes.Status(ctx, addr)
}

// Guards against showing live nodes as down in an outage: ten unresponsive nodes
// are listed first and, queried sequentially, use up the command's timeout.
func TestUnresponsiveNodesDoNotBlockOthers(t *testing.T) {
	b := newTestTool(t)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		args := []string{"status"}
		for i := range 10 {
			args = append(args, "--node", "10.0.0.1:"+strconv.Itoa(7000+i))
		}
		code := Run(context.Background(), append(args, "--node", liveNode), Env{
			Stdout: &b.out, Stderr: &b.err, Nodes: &unresponsiveNodes{},
			Open: func(settings.Platform) (*apply.Store, func(), error) {
				return apply.New(b.table, b.objects, apply.DefaultConfig()), func() {}, nil
			},
		})
		is.Equal(code, ExitFailure)
		is.True(strings.Contains(b.out.String(), "node "+liveNode+": feed-1"))
	})
}

func TestStatusShowsOverloadAndReadiness(t *testing.T) {
	is := is.New(t)
	b := newTestTool(t)
	is.Equal(b.run("status", "--node", liveNode), ExitOK)
	is.True(strings.Contains(b.out.String(), "  not ready: its target is down\n"+
		"  target: 24 of 25 run, 7 wait, demand 60.0; refuses what is less important than 30.2\n"))
}
