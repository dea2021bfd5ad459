package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/adapter/rpc/adminapi"
	"peardrift/internal/apply"
	"peardrift/internal/core/claim/batch"
	"peardrift/internal/port/porttest"
	"peardrift/internal/settings"
	"peardrift/internal/status"
)

// fakeNodes answers for liveNode; all other nodes are unreachable.
type fakeNodes struct {
	mu    sync.Mutex
	heads []adminapi.HeadArgs
}

const liveNode = "127.0.0.1:1"

func (f *fakeNodes) NotifyHead(_ context.Context, addr string, args adminapi.HeadArgs) (adminapi.HeadReply, error) {
	if addr != liveNode {
		return adminapi.HeadReply{}, status.New(status.CodeConnectionLost, "no node at %s", addr)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heads = append(f.heads, args)
	return adminapi.HeadReply{InForce: args.Version - 1}, nil
}

func (f *fakeNodes) Status(_ context.Context, addr string) (adminapi.StatusReply, error) {
	if addr != liveNode {
		return adminapi.StatusReply{}, status.New(status.CodeConnectionLost, "no node at %s", addr)
	}
	return adminapi.StatusReply{Node: "feed-1", Members: 3, NotReady: []string{"its target is down"},
		Gate:    adminapi.GateStatus{Limit: 25, Running: 24, Queued: 7, Demand: 60, Level: 30.25},
		Tenants: []adminapi.TenantStatus{{Tenant: "khaosan", InForce: 1, Known: 2}}}, nil
}

// testTool runs the tool with fake dependencies.
type testTool struct {
	t       *testing.T
	table   *porttest.Table
	objects *porttest.Objects
	nodes   *fakeNodes
	out     bytes.Buffer
	err     bytes.Buffer
}

func newTestTool(t *testing.T) *testTool {
	t.Setenv("PEARDRIFT_TABLE_ENDPOINT", "http://127.0.0.1:1")
	t.Setenv("PEARDRIFT_OBJECTS_ENDPOINT", "http://127.0.0.1:2")
	t.Setenv("PEARDRIFT_ACCESS_KEY", "access")
	t.Setenv("PEARDRIFT_SECRET_KEY", "secret")
	return &testTool{t: t, table: porttest.NewTable(), objects: porttest.NewObjects(), nodes: &fakeNodes{}}
}

// run runs a command line and returns the exit code.
func (b *testTool) run(args ...string) int {
	b.out.Reset()
	b.err.Reset()
	return Run(context.Background(), args, Env{
		Stdout: &b.out, Stderr: &b.err, Nodes: b.nodes,
		Open: func(settings.Platform) (*apply.Store, func(), error) {
			cfg := apply.Config{Attempts: 2, InitialDelay: time.Nanosecond, MaxDelay: time.Nanosecond}
			return apply.New(b.table, b.objects, cfg), func() {}, nil
		},
	})
}

// writeSet writes a set with the given slots and share and returns its directory.
func (b *testTool) writeSet(slots, share string) string {
	dir := b.t.TempDir()
	body := "tenant: khaosan\nshare: " + share + "\nservices:\n  - name: feed\n    slots: " + slots + `
    connections: 250
    classes:
      - {name: read, path: /feed, importance: 30}
`
	if err := os.WriteFile(filepath.Join(dir, "set.yaml"), []byte(body), 0o600); err != nil {
		b.t.Fatal(err)
	}
	return dir
}

func TestExitCodes(t *testing.T) {
	b := newTestTool(t)
	first, second, third := b.writeSet("25", "0.5"), b.writeSet("26", "0.5"), b.writeSet("27", "0.5")
	is := is.New(t)
	is.Equal(b.run("validate", first), ExitOK)
	is.Equal(b.run("validate", b.writeSet("x", "0.5")), ExitInvalidSet)
	is.True(strings.Contains(b.err.String(), "set.yaml:5:12: services[0].slots: must be a whole number"))
	is.Equal(b.run("validate", filepath.Join(first, "absent")), ExitUsage)
	is.Equal(b.run("apply", first), ExitUsage) // no base
	is.Equal(b.run("apply", first, "--base", "0", "--colour"), ExitUsage)
	is.Equal(b.run(), ExitUsage)
	is.Equal(b.run("--help"), ExitOK)
	is.Equal(b.run("version"), ExitOK)
	is.Equal(b.run("history", "--tenant", "khaosan"), ExitFailure) // nothing accepted yet

	is.Equal(b.run("apply", first, "--base", "0", "--by", "ada"), ExitOK)
	is.Equal(b.run("apply", second, "--base", "1", "--by", "ada"), ExitOK)
	is.Equal(b.run("apply", third, "--base", "1"), ExitConflict)
	is.True(strings.Contains(b.err.String(), "version 2 was applied by ada"))
	is.Equal(b.run("apply", second, "--base", "1"), ExitOK) // retry of an accepted apply
	is.True(strings.Contains(b.out.String(), "had been accepted before"))
	is.Equal(b.run("apply", b.writeSet("27", "1.5"), "--base", "2"), ExitInvalidSet)

	b.table.SetScript(func(porttest.Op, string) porttest.Fault { return porttest.Unavailable })
	is.Equal(b.run("apply", third, "--base", "2"), ExitUnavailable)
	is.Equal(b.run("status"), ExitUnavailable)
	is.Equal(b.run("status", "--node", liveNode), ExitUnavailable)
	is.True(strings.Contains(b.out.String(), "feed-1")) // nodes are queried even if the platform is down
	b.table.SetScript(func(op porttest.Op, _ string) porttest.Fault {
		if op == porttest.OpPutAll {
			return porttest.LostRequest
		}
		return porttest.None
	})
	is.Equal(b.run("apply", third, "--base", "2"), ExitUnknown)
	b.table.SetScript(nil)
	is.Equal(b.run("apply", third, "--base", "2"), ExitOK)
}

func TestApplyNotifiesNodes(t *testing.T) {
	is := is.New(t)
	b := newTestTool(t)
	is.Equal(b.run("--output", "json", "apply", b.writeSet("25", "0.5"), "--base", "0",
		"--node", liveNode, "--node", "127.0.0.1:9"), ExitOK) // a failed notification doesn't fail the apply
	var out applyResult
	is.NoErr(json.Unmarshal(b.out.Bytes(), &out))
	is.Equal(out.Version, int64(1))
	is.Equal(b.nodes.heads, []adminapi.HeadArgs{{Tenant: "khaosan", Version: 1}})
	is.True(out.Nodes[0].Error == "" && out.Nodes[1].Error != "")
}

func TestShow(t *testing.T) {
	is := is.New(t)
	b := newTestTool(t)
	is.Equal(b.run("diff", b.writeSet("25", "0.5")), ExitOK)
	is.True(strings.Contains(b.out.String(), "+ services[feed].slots: 25")) // compared with an empty set
	is.Equal(b.run("apply", b.writeSet("25", "0.5"), "--base", "0", "--by", "ada"), ExitOK)
	is.Equal(b.run("apply", b.writeSet("26", "0.5"), "--base", "1", "--by", "grace"), ExitOK)
	is.Equal(b.run("diff", "--tenant", "khaosan"), ExitOK)
	is.Equal(b.out.String(), "~ services[feed].slots: 25 -> 26\n")
	is.Equal(b.run("diff", b.writeSet("26", "0.5")), ExitOK)
	is.Equal(b.out.String(), "no difference to version 2\n")
	is.Equal(b.run("diff"), ExitUsage)

	is.Equal(b.run("--output", "json", "history", "--tenant", "khaosan", "--limit", "1"), ExitOK)
	var records []record
	is.NoErr(json.Unmarshal(b.out.Bytes(), &records))
	is.Equal(len(records), 1)
	is.Equal(records[0].By, "grace")

	is.Equal(b.run("--output", "json", "status", "--node", liveNode), ExitOK)
	var st statusResult
	is.NoErr(json.Unmarshal(b.out.Bytes(), &st))
	is.Equal(st.Accepted[0].Version, int64(2))
	is.Equal(st.Nodes[0].Status.Tenants[0].InForce, int64(1))
}

func TestShareClaims(t *testing.T) {
	is := is.New(t)
	b := newTestTool(t)
	b.table.SetScript(func(op porttest.Op, _ string) porttest.Fault {
		if op == porttest.OpPut {
			return porttest.LostResponse
		}
		return porttest.None
	})
	is.Equal(b.run("share-claims"), ExitUnknown)
	is.Equal(b.run("--output", "json", "share-claims"), ExitOK) // the lost answer's announcement was stored
	var first, again claimLayout
	is.NoErr(json.Unmarshal(b.out.Bytes(), &first))
	ahead := time.Until(first.From)
	is.True(ahead > batch.AnnounceLead-time.Minute && ahead <= batch.AnnounceLead)
	is.Equal(b.run("--output", "json", "share-claims"), ExitOK)
	is.NoErr(json.Unmarshal(b.out.Bytes(), &again))
	is.Equal(again, first) // repeating doesn't change the date
	b.table.SetScript(func(porttest.Op, string) porttest.Fault { return porttest.Unavailable })
	is.Equal(b.run("share-claims"), ExitUnavailable)
}

// Guards against failures printed as text under --output json, which breaks
// scripts that parse the output.
func TestFailuresAreJSON(t *testing.T) {
	is := is.New(t)
	b := newTestTool(t)
	is.Equal(b.run("--output", "json", "apply", b.writeSet("x", "2"), "--base", "0"), ExitInvalidSet)
	var out struct{ Error failure }
	is.NoErr(json.Unmarshal(b.out.Bytes(), &out))
	is.Equal(out.Error.Code, status.CodeInvalidSet)
	is.Equal(len(out.Error.Problems), 2)
	is.Equal(b.run("--output", "json", "apply", b.writeSet("25", "0.5"), "--base", "3"), ExitConflict)
	is.NoErr(json.Unmarshal(b.out.Bytes(), &out))
	is.Equal(out.Error.Conflict.Base, int64(3))
	is.Equal(b.err.String(), "")
}

func TestPlatformFlags(t *testing.T) {
	is := is.New(t)
	newTestTool(t)
	dir := t.TempDir()
	file := filepath.Join(dir, "platform.yaml")
	is.NoErr(os.WriteFile(file, []byte(`node: {name: feed-1}
platform:
  table: {endpoint: "http://127.0.0.1:3", name: other}
  timeout: 5s
`), 0o600))
	key := filepath.Join(dir, "key")
	is.NoErr(os.WriteFile(key, []byte("from-file\n"), 0o600))
	f := platformFlags{File: file, Region: "bangkok", SecretKeyFile: key, AccessKey: "access", ObjectsEndpoint: "http://127.0.0.1:4"}
	p, err := f.resolve()
	is.NoErr(err)
	is.Equal(p.Table, settings.Table{Endpoint: "http://127.0.0.1:3", Region: "bangkok", Name: "other"})
	is.Equal(p.Objects.Bucket, settings.Default().Platform.Objects.Bucket)
	is.Equal(p.Timeout, 5*time.Second)
	is.Equal(p.SecretKey.Reveal(), "from-file")
	f.ObjectsEndpoint = ""
	_, err = f.resolve()
	is.Equal(status.CodeOf(err), status.CodeInvalidSettings)
}
