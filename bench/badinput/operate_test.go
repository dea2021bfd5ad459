package badinput

import (
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/bench/harness/harnesstest"
	"peardrift/internal/daemon"
	"peardrift/internal/settings"
)

// Guards against SIGHUP killing a node with calls in flight, its default action:
// the terminal is closed, or an operator expects a reload of the settings.
func TestSIGHUPIsIgnored(t *testing.T) {
	is := is.New(t)
	h, _ := startServingNode(t)
	h.Node.Signal(syscall.SIGHUP)
	code, _, _ := exchange(t, h.Addr.Callers, goodRequest)
	is.Equal(code, 200)
	is.True(h.Node.Stop(exitTimeout))          // graceful shutdown still works
	is.Equal(h.Node.ExitCode(), daemon.ExitOK) // not killed by a signal
}

// Guards against a graceful shutdown that only SIGKILL can cut short: a second
// SIGTERM, sent while the node announces that its target is leaving, is ignored or
// does not interrupt a step of the shutdown.
func TestSecondSignalEndsGracefulShutdown(t *testing.T) {
	is := is.New(t)
	h, _ := startServingNode(t, func(s *settings.Settings) {
		s.Shutdown.Announce, s.Shutdown.Grace = time.Minute, 10*time.Minute
	})
	h.Node.Signal(syscall.SIGTERM)
	waitUntil(t, func() bool { s, err := h.Status(); return err == nil && s.Leaving })
	is.True(!h.Node.Exited())
	h.Node.Signal(syscall.SIGTERM)
	waitUntil(t, h.Node.Exited)
	is.Equal(h.Node.ExitCode(), daemon.ExitOK)
}

// Guards against /ready reporting "not ready" without a reason: a node starts and
// no configuration set declares its service, for example due to a mistyped name.
func TestReadyReportsReason(t *testing.T) {
	_, bins := harnesstest.Programs(t)
	f, _ := startNode(t, bins)
	const notReadyReason = "no set in force declares the target's service"
	h := f.Hosts[0]
	waitUntil(t, func() bool {
		resp, err := http.Get("http://" + h.Addr.Ops + "/ready")
		if err != nil {
			return false // still starting
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		return err == nil && resp.StatusCode == http.StatusServiceUnavailable && string(body) == "not ready: "+notReadyReason+"\n"
	})
	s, err := h.Status()
	is := is.New(t)
	is.NoErr(err)
	is.Equal(s.NotReady, []string{notReadyReason})
	is.True(!s.Ready)
}

// waitUntil polls until ok reports true and fails the test on timeout.
func waitUntil(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(exitTimeout); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for a condition")
		}
	}
}
