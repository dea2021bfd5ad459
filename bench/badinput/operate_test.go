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

// Symptom: a node ends at once, with calls in the middle. Events: the terminal
// that it was started from is closed, or an operator sends SIGHUP so that it
// reads its settings again. Cause: the signal's default action.
func TestHangupChangesNothing(t *testing.T) {
	is := is.New(t)
	h, _ := oneNode(t)
	h.Node.Signal(syscall.SIGHUP)
	code, _, _ := raw(t, h.Addr.Callers, goodRequest)
	is.Equal(code, 200)
	is.True(h.Node.Stop(endTime))            // the planned stop is graceful
	is.Equal(h.Node.Exited(), daemon.ExitOK) // no signal ended it
}

// Symptom: a node that must go at once is killed by force, since nothing else
// ends its graceful stop. Events: SIGTERM, then, while it still announces that
// its target leaves, a second one. Cause: a second signal that is not heard, or
// a step of the shutdown that doesn't end with it.
func TestSecondSignalEndsAGracefulStop(t *testing.T) {
	is := is.New(t)
	h, _ := oneNode(t, func(s *settings.Settings) {
		s.Shutdown.Announce, s.Shutdown.Grace = time.Minute, 10*time.Minute
	})
	h.Node.Signal(syscall.SIGTERM)
	await(t, func() bool { s, err := h.Status(); return err == nil && s.Leaving })
	is.True(!h.Node.Ended())
	h.Node.Signal(syscall.SIGTERM)
	await(t, h.Node.Ended)
	is.Equal(h.Node.Exited(), daemon.ExitOK)
}

// Symptom: a node stays out of service and gives no reason. Events: it starts,
// and no set declares its service, for example since the name is mistyped.
// Cause: /ready said "not ready" whatever was the matter.
func TestNodeSaysWhyItIsNotReady(t *testing.T) {
	_, bins := harnesstest.Programs(t)
	f, _ := emptyNode(t, bins)
	const why = "no set in force declares the target's service"
	h := f.Hosts[0]
	await(t, func() bool {
		resp, err := http.Get("http://" + h.Addr.Ops + "/ready")
		if err != nil {
			return false // it starts
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		return err == nil && resp.StatusCode == http.StatusServiceUnavailable && string(body) == "not ready: "+why+"\n"
	})
	s, err := h.Status()
	is := is.New(t)
	is.NoErr(err)
	is.Equal(s.NotReady, []string{why})
	is.True(!s.Ready)
}

// await polls until ok, or fails after a time that only a fault needs.
func await(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(endTime); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not in time")
		}
	}
}
