package e2e_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// innerCall is a call to media by feed's target, which waits for the answer even
// after the connection of its own request has been closed.
type innerCall struct {
	client     net.Conn      // of the request to feed
	mediaConns func() int64  // open connections to media's target
	parentGone chan struct{} // feed's node has closed the connection of the parent request
	status     chan int      // of media's answer; 0 if none arrived
	body       chan readBody
}

type readBody struct {
	text string
	err  error
}

// startInnerCall sends a request to feed, whose target then makes the call.
func startInnerCall(t *testing.T, media script) *innerCall {
	ic := &innerCall{parentGone: make(chan struct{}, 1), status: make(chan int, 1), body: make(chan readBody, 1)}
	c := newCluster(t, threeServicesWithin(noDeadline))
	var relay relayHandler
	egress := c.listen(relay.serve, false)
	feed, _ := c.addScriptedHost("feed-1", "feed.khaosan", func(conn net.Conn, r *http.Request, _ int64) {
		go ic.run(t, egress.Addr(), r.Header.Get("traceparent"))
		_, _ = io.Copy(io.Discard, conn)
		ic.parentGone <- struct{}{}
	})
	relay.h = feed.engine.ServeTarget
	_, open := c.addScriptedHost("media-1", "media.khaosan", media)
	ic.mediaConns = open.Load
	c.publish()
	var err error
	if ic.client, err = net.Dial("tcp", feed.entry.Addr()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ic.client.Close() })
	_, _ = io.WriteString(ic.client, "GET /x HTTP/1.1\r\nHost: feed.khaosan\r\n\r\n")
	return ic
}

func (ic *innerCall) run(t *testing.T, node, traceparent string) {
	req, _ := http.NewRequestWithContext(t.Context(), "GET", "http://"+node+"/m", nil)
	req.Host = "media.khaosan"
	req.Header.Set("traceparent", traceparent)
	resp, err := noRetryClient.Do(req)
	if err != nil {
		ic.status <- 0
		return
	}
	defer resp.Body.Close()
	ic.status <- resp.StatusCode
	b, err := io.ReadAll(resp.Body)
	ic.body <- readBody{string(b), err}
}

// receive receives from a channel and fails the test on timeout.
func receive[T any](t *testing.T, what string, ch <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-ch:
	case <-time.After(awaitTimeout):
		t.Fatalf("timed out waiting: %s", what)
	}
	return v
}

// Guards against a target that still waits getting a success cut short: the client
// disconnects while the answer to a call of the target is being passed on, and the
// node cancels that call together with its parent request.
func TestAnswerUnderWayOutlastsItsParentRequest(t *testing.T) {
	is := is.New(t)
	// cancelTime is ample for a cancellation to reach the call, so that it can't lose
	// the race against the last chunk.
	const cancelTime = 500 * time.Millisecond
	lastChunk := make(chan struct{})
	ic := startInnerCall(t, func(c net.Conn, _ *http.Request, _ int64) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len("first, "), "first, ")
		select {
		case <-lastChunk:
		case <-t.Context().Done():
		}
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len("last"), "last")
	})
	is.Equal(receive(t, "the answer's head", ic.status), http.StatusOK)
	is.NoErr(ic.client.Close())
	receive(t, "the parent request ends", ic.parentGone)
	time.Sleep(cancelTime)
	close(lastChunk)
	answer := receive(t, "the answer's end", ic.body)
	is.NoErr(answer.err)
	is.Equal(answer.text, "first, last")
}

// Guards against useless work: the client disconnects before the answer to a call of
// the target begins, and the call continues although its parent request has ended.
func TestUnansweredCallEndsWithItsParentRequest(t *testing.T) {
	is := is.New(t)
	called := make(chan struct{}, 1)
	ic := startInnerCall(t, func(c net.Conn, _ *http.Request, _ int64) {
		called <- struct{}{}
		_, _ = io.Copy(io.Discard, c)
	})
	receive(t, "media is called", called)
	is.NoErr(ic.client.Close())
	receive(t, "the parent request ends", ic.parentGone)
	is.True(receive(t, "the call ends", ic.status) != http.StatusOK)
	await(t, "media's connection closes", func() bool { return ic.mediaConns() == 0 })
}
