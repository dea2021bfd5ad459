package e2e_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// innerCall is a call to media by feed's target, which waits for the answer even
// after its own request has ended.
type innerCall struct {
	client     net.Conn      // of the request to feed
	mediaConns func() int64  // open connections to media's target
	parent     chan net.Conn // of the parent request, at feed's target
	parentGone chan struct{} // feed's node has closed that connection
	status     chan int      // of media's answer; 0 if none arrived
	body       chan readBody
}

type readBody struct {
	text string
	err  error
}

// startInnerCall sends a request to feed, whose target then makes the call.
func startInnerCall(t *testing.T, media script) *innerCall {
	ic := &innerCall{parent: make(chan net.Conn, 1), parentGone: make(chan struct{}, 1), status: make(chan int, 1), body: make(chan readBody, 1)}
	c := newCluster(t, threeServicesWithin(noDeadline))
	var relay relayHandler
	egress := c.listen(relay.serve, false)
	feed, _ := c.addScriptedHost("feed-1", "feed.khaosan", func(conn net.Conn, r *http.Request, _ int64) {
		go ic.run(t, egress.Addr(), r.Header.Get("traceparent"))
		ic.parent <- conn
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

// Guards against a target that still waits getting a success cut short: its own request
// ends while the answer to its call is being passed on, and the node cancels the call.
func TestAnswerUnderWayOutlastsItsParentRequest(t *testing.T) {
	// cancelTime is ample for a cancellation to reach the call, so that it can't lose
	// the race against the last chunk.
	const cancelTime = 500 * time.Millisecond
	answerParent := func(status string) func(*testing.T, *innerCall) {
		return func(t *testing.T, ic *innerCall) {
			is := is.New(t)
			_, err := io.WriteString(<-ic.parent, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\nok")
			is.NoErr(err)
			_, err = http.ReadResponse(bufio.NewReader(ic.client), nil)
			is.NoErr(err)
		}
	}
	for name, endParent := range map[string]func(*testing.T, *innerCall){
		"the client leaves": func(t *testing.T, ic *innerCall) {
			is.New(t).NoErr(ic.client.Close())
			receive(t, "the parent request ends", ic.parentGone)
		},
		"the target answers": answerParent("200 OK"),
		"the target fails":   answerParent("500 Internal Server Error"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
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
			endParent(t, ic)
			time.Sleep(cancelTime)
			close(lastChunk)
			answer := receive(t, "the answer's end", ic.body)
			is.NoErr(answer.err)
			is.Equal(answer.text, "first, last")
		})
	}
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
