package badinput

import (
	"bytes"
	"context"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/bench/harness/harnesstest"
	"peardrift/bench/standin/platform"
	"peardrift/internal/daemon"
)

// validSettings are settings that a node starts with. PLATFORM is a placeholder for
// the URL of the platform, and BUSY, in test cases, for an address in use.
const validSettings = `node:
  name: feed-1
  region: bangkok
  zone: bkk-a
target:
  service: feed.khaosan
  address: 127.0.0.1:9
listen:
  callers: 127.0.0.1:0
  nodes: 127.0.0.1:0
  target: 127.0.0.1:0
  control: 127.0.0.1:0
  ops: 127.0.0.1:0
platform:
  table:
    endpoint: PLATFORM
  objects:
    endpoint: PLATFORM
  accessKey: bench
  secretKey: bench
`

// exitTimeout exceeds the time that a process needs to exit by itself, even on a
// busy machine. It is shorter than the longest Announce setting of 1 minute, so that
// a process that exits within it did not wait for the announcement to end.
const exitTimeout = 50 * time.Second

// Guards against other nodes calling a node with invalid settings: it announces
// itself before all listeners are open and all settings are checked, then fails.
func TestInvalidSettingsFailBeforeAnnouncing(t *testing.T) {
	_, bins := harnesstest.Programs(t)
	plat := platform.New()
	if err := plat.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = plat.Close() }()
	busy, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer busy.Close()
	for _, tt := range []struct {
		name, old, new string
		exit           int
		says           string
	}{
		{"broken YAML", "node:", "node: [", daemon.ExitSettings, "settings.yaml:"},
		{"unknown key", "  zone: bkk-a", "  zone: bkk-a\n  colour: red", daemon.ExitSettings, "settings.yaml:5:3: node.colour"},
		{"missing value", "  zone: bkk-a\n", "", daemon.ExitSettings, "node.zone is required"},
		{"a service without a tenant", "feed.khaosan", "feed", daemon.ExitSettings, "target.service"},
		{"a host name as address", "callers: 127.0.0.1:0", "callers: localhost:80", daemon.ExitSettings, "listen.callers"},
		{"an address that isn't one of the machine's", "callers: 127.0.0.1:0", "callers: 192.0.2.1:7400", daemon.ExitListen, "192.0.2.1:7400"},
		{"two listeners on one address", "callers: 127.0.0.1:0\n  nodes: 127.0.0.1:0", "callers: 127.0.0.1:7400\n  nodes: 127.0.0.1:7400", daemon.ExitSettings, "listen.nodes takes the address of listen.callers"},
		{"a busy port for callers", "callers: 127.0.0.1:0", "callers: BUSY", daemon.ExitListen, "cannot-listen"},
		{"a busy port for control", "control: 127.0.0.1:0", "control: BUSY", daemon.ExitListen, "cannot-listen"},
		{"a log that can't be written", "platform:", "logs: {file: /nonexistent/log}\nplatform:", daemon.ExitSettings, "settings.yaml:14:8: logs.file"},
		{"no file", "", "", daemon.ExitSettings, "settings.yaml"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "settings.yaml")
			if tt.old != "" {
				text := strings.Replace(validSettings, tt.old, tt.new, 1)
				is.True(text != validSettings)
				text = strings.NewReplacer("PLATFORM", plat.URL(), "BUSY", busy.Addr().String()).Replace(text)
				is.NoErr(os.WriteFile(file, []byte(text), 0o600))
			}
			code, stderr := runNode(t, bins.Node, file)
			is.Equal(code, tt.exit)
			is.True(strings.Contains(stderr, tt.says))
			c := plat.Counters()
			is.Equal(c.Reads+c.Writes, int64(0)) // nothing was announced
		})
	}
}

// Guards against reporting only the first port in use, without its setting, so that
// an operator with two ports in use needs a failed start for each.
func TestAllBusyPortsAreReported(t *testing.T) {
	is := is.New(t)
	_, bins := harnesstest.Programs(t)
	text := strings.ReplaceAll(validSettings, "PLATFORM", "http://127.0.0.1:9")
	for _, key := range []string{"nodes", "control"} {
		busy, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer busy.Close()
		text = strings.Replace(text, key+": 127.0.0.1:0", key+": "+busy.Addr().String(), 1)
	}
	file := filepath.Join(t.TempDir(), "settings.yaml")
	is.NoErr(os.WriteFile(file, []byte(text), 0o600))
	code, stderr := runNode(t, bins.Node, file)
	is.Equal(code, daemon.ExitListen)
	is.True(strings.Contains(stderr, "cannot-listen: listen.nodes: "))
	is.True(strings.Contains(stderr, "cannot-listen: listen.control: "))
}

func runNode(t *testing.T, bin, file string) (code int, stderr string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), exitTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, bin, "--settings", file)
	var out bytes.Buffer
	cmd.Stderr = &out
	_ = cmd.Run()
	t.Log(strings.TrimSpace(out.String()))
	return cmd.ProcessState.ExitCode(), out.String()
}
