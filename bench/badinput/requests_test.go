package badinput

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/bench/deploy"
	"peardrift/bench/harness"
	"peardrift/bench/harness/harnesstest"
	"peardrift/internal/settings"
)

// recordingTarget is the target of the node under test; it counts requests and
// records the headers of the last one.
type recordingTarget struct {
	mu         sync.Mutex
	lastHeader http.Header
	runs       int
}

func (r *recordingTarget) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if strings.HasPrefix(req.URL.Path, "/health") || req.URL.Path == "/load" {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastHeader = req.Header.Clone()
	r.runs++
}

func (r *recordingTarget) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs
}

// startServingNode starts a node for notices.khaosan with a recording target and
// settings modified by tune, applies the configuration set and waits until the node
// is ready.
func startServingNode(t *testing.T, tune ...func(*settings.Settings)) (*harness.Host, *recordingTarget) {
	t.Helper()
	_, bins := harnesstest.Programs(t)
	f, rec := startNode(t, bins, tune...)
	applySet(t, f)
	return f.Hosts[0], rec
}

// applySet applies the configuration set and waits until the node is ready.
func applySet(t *testing.T, f *harness.Fleet) {
	t.Helper()
	root, _ := harnesstest.Programs(t)
	if err := f.Apply(t.Context(), root, deploy.Khaosan().Tenant, 0); err != nil {
		t.Fatal(err)
	}
	if err := f.WaitReady(time.Minute); err != nil {
		t.Fatal(err)
	}
}

// startNode starts the same node from the given binaries, without a configuration
// set.
func startNode(t *testing.T, bins harness.Binaries, tune ...func(*settings.Settings)) (*harness.Fleet, *recordingTarget) {
	t.Helper()
	rec := &recordingTarget{}
	target := httptest.NewServer(rec)
	t.Cleanup(target.Close)
	f, err := harness.New(bins)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	f.TuneNode = func(_ *harness.Host, s *settings.Settings) {
		s.Target.Address = target.Listener.Addr().String()
		for _, change := range tune {
			change(s)
		}
	}
	d := deploy.Khaosan()
	d.Services = []deploy.Service{{Name: "notices", Targets: 1, Slots: 190}}
	if err := f.Add(d); err != nil {
		t.Fatal(err)
	}
	if err := f.Start(); err != nil {
		t.Fatal(err)
	}
	return f, rec
}

const (
	goodRequest = "GET /notices/status HTTP/1.1\r\nHost: notices.khaosan\r\n\r\n"
	// exchangeTimeout bounds an exchange; a node that neither answers nor closes the
	// connection within it is faulty.
	exchangeTimeout = 15 * time.Second
)

// exchange sends raw bytes and returns the response's status, header and body;
// the status is 0 if the connection was closed without a response.
func exchange(t *testing.T, addr, text string) (int, http.Header, string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(exchangeTimeout))
	_, _ = io.WriteString(c, text)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		t.Fatal("the node neither answered nor closed the connection")
	}
	if err != nil {
		return 0, nil, ""
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(b)
}

// nodeRequest returns a call as sent between nodes, with the given headers replacing
// the defaults and without a Traceparent.
func nodeRequest(headers string) string {
	text := "GET /notices/status HTTP/1.1\r\nHost: notices.khaosan\r\n" + headers
	for _, header := range []string{"Tenant: khaosan", "Class: notice-status", "Importance: 20", "Deadline-Ms: 500", "Allowance: 0", "Depth: 0"} {
		name, _, _ := strings.Cut(header, ":")
		if !strings.Contains(headers, "Peardrift-"+name+":") {
			text += "Peardrift-" + header + "\r\n"
		}
	}
	return text + "\r\n"
}

// Guards against a malformed, oversized or hostile request on any listener crashing
// a node or reaching the target because a check is missing or comes too late.
func TestBadRequestsAreRejected(t *testing.T) {
	h, rec := startServingNode(t)
	long := strings.Repeat("x", 300<<10)
	post := func(path, headers, body string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: notices.khaosan\r\n" + headers + "\r\n" + body
	}
	for _, tt := range []struct {
		name, addr, text string
		status           []int // accepted values; 0: connection closed
		code             string
	}{
		{"no HTTP", h.Addr.Callers, "NONSENSE\r\n\r\n", []int{0, 400}, ""},
		{"binary", h.Addr.Callers, "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", []int{0, 400}, ""},
		{"a header too large", h.Addr.Callers, "GET /notices HTTP/1.1\r\nHost: notices.khaosan\r\nX-Long: " + long + "\r\n\r\n", []int{0, 400, 431}, ""},
		{"no host", h.Addr.Callers, "GET /notices HTTP/1.1\r\n\r\n", []int{400, 404}, ""},
		{"an unknown service", h.Addr.Callers, "GET / HTTP/1.1\r\nHost: a/../b\r\n\r\n", []int{400, 404}, ""},
		{"no class", h.Addr.Callers, "DELETE /notices HTTP/1.1\r\nHost: notices.khaosan\r\n\r\n", []int{404}, "unknown-class"},
		{"two lengths", h.Addr.Callers, post("/notices", "Idempotency-Key: a\r\nContent-Length: 3\r\nContent-Length: 5\r\n", "abcde"), []int{400}, "malformed-request"},
		{"a negative length", h.Addr.Callers, post("/notices", "Idempotency-Key: b\r\nContent-Length: -5\r\n", ""), []int{0, 400}, ""},
		{"a length that is no number", h.Addr.Callers, post("/notices", "Idempotency-Key: c\r\nContent-Length: ten\r\n", ""), []int{0, 400}, ""},
		{"a broken chunk", h.Addr.Callers, post("/notices", "Idempotency-Key: d\r\nTransfer-Encoding: chunked\r\n", "zz\r\nabc\r\n"), []int{400}, "malformed-request"},
		{"a length and chunks", h.Addr.Callers, post("/notices", "Idempotency-Key: g\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"), []int{400}, "malformed-request"},
		{"an unknown coding", h.Addr.Callers, post("/notices", "Idempotency-Key: h\r\nTransfer-Encoding: gzip, chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"), []int{400}, "malformed-request"},
		{"no key", h.Addr.Callers, post("/notices", "Content-Length: 1\r\n", "x"), []int{400}, "idempotency-key-missing"},
		{"a key too long", h.Addr.Callers, post("/notices", "Idempotency-Key: "+strings.Repeat("k", 5000)+"\r\nContent-Length: 1\r\n", "x"), []int{400}, "malformed-request"},
		{"a body too large", h.Addr.Callers, post("/notices", fmt.Sprintf("Idempotency-Key: e\r\nContent-Length: %d\r\n", len(long)), long), []int{413}, "request-too-large"},
		{"a chunked body too large", h.Addr.Callers, post("/notices", "Idempotency-Key: f\r\nTransfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(long), long)), []int{0, 400, 413}, ""},
		{"a node's call without its headers", h.Addr.Nodes, goodRequest, []int{400}, "protocol"},
		{"an importance that no class can have", h.Addr.Nodes, nodeRequest("Peardrift-Importance: 101\r\n"), []int{400}, "protocol"},
		{"a deadline in the past", h.Addr.Nodes, nodeRequest("Peardrift-Deadline-Ms: -1\r\n"), []int{400}, "protocol"},
		{"an allowance without end", h.Addr.Nodes, nodeRequest("Peardrift-Allowance: 999999999999999999999\r\n"), []int{400}, "protocol"},
		{"a chain without end", h.Addr.Nodes, nodeRequest("Peardrift-Depth: 33\r\n"), []int{400}, "protocol"},
		{"a node's call without a trace", h.Addr.Nodes, nodeRequest(""), []int{400}, "protocol"},
		{"a target's call of a service that isn't there", h.Addr.Egress, "GET / HTTP/1.1\r\nHost: nowhere.khaosan\r\n\r\n", []int{404}, "unknown-service"},
		{"a target's call with a trace of nobody's", h.Addr.Egress, "GET /nothing HTTP/1.1\r\nHost: notices.khaosan\r\nTraceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01\r\n\r\n", []int{404}, "unknown-class"},
		{"a target's call with a broken trace", h.Addr.Egress, "GET /nothing HTTP/1.1\r\nHost: notices.khaosan\r\nTraceparent: 00-zz\r\n\r\n", []int{404}, "unknown-class"},
		{"no HTTP from the target", h.Addr.Egress, "NONSENSE\r\n\r\n", []int{0, 400}, ""},
		{"no HTTP from a node", h.Addr.Nodes, "\x00\x00\xff\r\n\r\n", []int{0, 400}, ""},
		{"no HTTP from an operator", h.Addr.Ops, "NONSENSE\r\n\r\n", []int{0, 400}, ""},
		{"a drain by a wrong method", h.Addr.Ops, "GET /drain HTTP/1.1\r\nHost: x\r\n\r\n", []int{405}, ""},
		{"lengths without end for the control listener", h.Addr.Control, "\xdd\xff\xff\xff\xff\xdb\xff\xff\xff\xff", []int{0}, ""},
		{"nonsense for the control listener", h.Addr.Control, "GET / HTTP/1.1\r\n\r\n" + long, []int{0}, ""},
		{"an unknown path of the operators' listener", h.Addr.Ops, "GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n", []int{404}, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			before := rec.count()
			code, head, body := exchange(t, tt.addr, tt.text)
			t.Log(code, head.Get("Content-Type"), body)
			is.True(containsCode(code, tt.status))
			if tt.code != "" {
				is.Equal(head.Get("Content-Type"), "application/problem+json")
				is.True(strings.Contains(body, "urn:peardrift:problem:"+tt.code))
			}
			is.Equal(rec.count(), before) // did not reach the target
			good, _, _ := exchange(t, h.Addr.Callers, goodRequest)
			is.Equal(good, 200) // the node still serves
			is.True(!h.Node.Exited())
		})
	}
}

// Guards against a caller raising its importance or joining another request's
// trace: it sends headers reserved for nodes, or its own traceparent, and the
// caller listener passes them on.
func TestInternalHeadersFromCallersAreStripped(t *testing.T) {
	is := is.New(t)
	h, rec := startServingNode(t)
	const callerTraceID = "0af7651916cd43dd8448eb211c80319c"
	code, head, _ := exchange(t, h.Addr.Callers, "GET /notices/status HTTP/1.1\r\nHost: notices.khaosan\r\n"+
		"Peardrift-Importance: 100\r\npeardrift-tenant: kalahari\r\nPEARDRIFT-ALLOWANCE: 1000\r\nPeardrift-Depth: 3\r\n"+
		"Peardrift-Deadline-Ms: 3600000\r\nPeardrift-Class: notice-publish\r\nPeardrift-Anything: 1\r\n"+
		"Traceparent: 00-"+callerTraceID+"-b7ad6b7169203331-01\r\nBaggage: a=b\r\nX-Own: kept\r\n\r\n")
	is.Equal(code, 200)
	is.True(head.Get("Peardrift-Request") != callerTraceID)
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for name := range rec.lastHeader {
		is.True(!strings.HasPrefix(strings.ToLower(name), "peardrift-"))
	}
	is.True(!strings.Contains(rec.lastHeader.Get("Traceparent"), callerTraceID))
	is.Equal(rec.lastHeader.Get("Baggage"), "")
	is.Equal(rec.lastHeader.Get("X-Own"), "kept")
	is.Equal(rec.lastHeader.Get("X-Request-Deadline-Ms") < "500", true) // the class allows 500 ms
}

// Guards against rejecting at-most-once requests with a short chunked body: every
// body without a Content-Length was treated as too long to buffer.
func TestShortChunkedBodyIsBuffered(t *testing.T) {
	is := is.New(t)
	h, rec := startServingNode(t)
	code, _, _ := exchange(t, h.Addr.Callers, "POST /notices HTTP/1.1\r\nHost: notices.khaosan\r\nIdempotency-Key: k\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	is.Equal(code, 200)
	is.Equal(rec.lastHeader.Get("Content-Length"), "5")
}

func containsCode(code int, codes []int) bool {
	for _, c := range codes {
		if c == code {
			return true
		}
	}
	return false
}
