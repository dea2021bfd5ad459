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

// hold opens connections that say nothing.
func hold(t *testing.T, addr string, n int) (release func()) {
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

// withFiles returns the programs with a node that may open so many files.
func withFiles(t *testing.T, files int) harness.Bins {
	t.Helper()
	_, bins := harnesstest.Programs(t)
	script := "#!/bin/sh\nulimit -n " + strconv.Itoa(files) + "\nexec " + bins.Node + " \"$@\"\n"
	bins.Node = filepath.Join(t.TempDir(), "node")
	if err := os.WriteFile(bins.Node, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	return bins
}

// Symptom: a flood of idle connections cuts a node off: other nodes take its
// healthy target for gone, and operators can't look. Events: callers open as many
// connections as the settings allow, and send nothing. Cause: one bound for the
// connections of all listeners.
func TestIdleCallersKeepNobodyElseAway(t *testing.T) {
	const most = 16
	h, _ := oneNode(t, func(s *settings.Settings) { s.Traffic.MaxConnections = most })
	defer hold(t, h.Addr.Callers, 4*most)()
	for addr, want := range map[string]int{h.Addr.Nodes: http.StatusBadRequest, h.Addr.Egress: http.StatusOK} {
		code, _, _ := raw(t, addr, goodRequest)
		is.New(t).Equal(code, want)
	}
	code, _, _ := raw(t, h.Addr.Ops, "GET /ready HTTP/1.1\r\nHost: ops\r\n\r\n")
	is.New(t).Equal(code, http.StatusOK)
}

// Symptom: a node looks ready, and nobody gets an answer from it ever again.
// Events: more connections are opened than the process may open files, and closed
// again. Cause: the server took the failed accept for its listener's end.
func TestNodeOutlastsAShortageOfFileDescriptors(t *testing.T) {
	const files = 128
	for _, face := range []string{"callers", "control"} {
		t.Run(face, func(t *testing.T) {
			f, _ := emptyNode(t, withFiles(t, files))
			serveSet(t, f)
			h := f.Hosts[0]
			addr := map[string]string{"callers": h.Addr.Callers, "control": h.Addr.Control}[face]
			hold(t, addr, 2*files)()
			// The node sees the connections' ends one after the other.
			await(t, func() bool {
				code, _, _ := raw(t, h.Addr.Callers, goodRequest)
				return code == http.StatusOK
			})
			await(t, func() bool {
				_, code, _ := f.Tool(t.Context(), "status", "--node", h.Addr.Control)
				return code == 0
			})
		})
	}
}
