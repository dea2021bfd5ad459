package badinput

import (
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"peardrift/bench/harness"
	"peardrift/bench/harness/harnesstest"
	"peardrift/internal/settings"
)

// openIdleConns opens n connections that send nothing.
func openIdleConns(t *testing.T, addr string, n int) (release func()) {
	t.Helper()
	var conns []net.Conn
	for range n {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	return func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}
}

// limitOpenFiles returns the binaries with a node that may open only this many files.
func limitOpenFiles(t *testing.T, files int) harness.Binaries {
	t.Helper()
	_, bins := harnesstest.Programs(t)
	script := "#!/bin/sh\nulimit -n " + strconv.Itoa(files) + "\nexec " + bins.Node + " \"$@\"\n"
	bins.Node = filepath.Join(t.TempDir(), "node")
	if err := os.WriteFile(bins.Node, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	return bins
}

// Guards against idle caller connections making a node unreachable for other nodes,
// which consider its healthy target gone, and for operators: callers open as many
// connections as allowed, and one limit covers the connections of all listeners.
func TestIdleCallersDoNotBlockOtherListeners(t *testing.T) {
	const maxConns = 16
	h, _ := startServingNode(t, func(s *settings.Settings) { s.Traffic.MaxConnections = maxConns })
	defer openIdleConns(t, h.Addr.Callers, 4*maxConns)()
	for addr, want := range map[string]int{h.Addr.Nodes: http.StatusBadRequest, h.Addr.Egress: http.StatusOK} {
		code, _, _ := exchange(t, addr, goodRequest)
		is.New(t).Equal(code, want)
	}
	code, _, _ := exchange(t, h.Addr.Ops, "GET /ready HTTP/1.1\r\nHost: ops\r\n\r\n")
	is.New(t).Equal(code, http.StatusOK)
}

// Guards against a node that looks ready but never answers again: more connections
// are opened than the process may open files, and the server takes the failed
// accept for a closed listener.
func TestNodeSurvivesFileDescriptorExhaustion(t *testing.T) {
	const files = 128
	for _, listener := range []string{"callers", "control"} {
		t.Run(listener, func(t *testing.T) {
			f, _ := startNode(t, limitOpenFiles(t, files))
			applySet(t, f)
			h := f.Hosts[0]
			addr := map[string]string{"callers": h.Addr.Callers, "control": h.Addr.Control}[listener]
			openIdleConns(t, addr, 2*files)()
			// The node notices the closed connections one by one.
			waitUntil(t, func() bool {
				code, _, _ := exchange(t, h.Addr.Callers, goodRequest)
				return code == http.StatusOK
			})
			waitUntil(t, func() bool {
				_, code, _ := f.RunTool(t.Context(), "status", "--node", h.Addr.Control)
				return code == 0
			})
		})
	}
}
