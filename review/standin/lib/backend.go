package lib

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Run is a request that a backend began to work on.
type Run struct {
	At                      time.Time
	Instance, Service       string
	ID, Method, URI, Caller string
	Body                    int
	Sum                     string
	Tenant, Authorization   string
}

// Backend is a sound application backend of a service.
type Backend struct {
	Service, ID, Zone, Addr string
	Slots                   int
	Work                    time.Duration
	Answer                  func(r Run) []byte                                // body of the answer; nil: a short text
	Before                  func(w http.ResponseWriter, r *http.Request) bool // handles the request in place of running it

	ln    net.Listener
	srv   *http.Server
	seq   int
	mu    sync.Mutex
	runs  []Run
	stop  chan struct{}
	acked atomic.Bool
}

// NewBackend starts a backend at addr; an empty one stands for a free port.
func NewBackend(service, id, zone, addr string) *Backend {
	if addr == "" {
		addr = freeAddr()
	}
	b := &Backend{Service: service, ID: id, Zone: zone, Slots: 50, Work: 5 * time.Millisecond, stop: make(chan struct{})}
	var err error
	for i := 0; i < 50; i++ {
		if b.ln, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		Cannot("backend: %v", err)
	}
	b.Addr = b.ln.Addr().String()
	b.srv = &http.Server{Handler: http.HandlerFunc(b.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = b.srv.Serve(b.ln) }()
	Log("backend %s of %s listens at %s", id, service, b.Addr)
	return b
}

// Crash ends the backend as a crash does.
func (b *Backend) Crash() {
	close(b.stop)
	_ = b.srv.Close()
	Log("backend %s of %s has crashed", b.ID, b.Service)
}

// Report returns the next status report.
func (b *Backend) Report(state string) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	return Report{ID: b.ID, Service: b.Service, Addr: b.Addr, Zone: b.Zone, State: state, Slots: b.Slots, Seq: b.seq}
}

// Beat sends status reports to the node every 1.5 s until the backend ends or stop is
// called. state is asked each time.
func (b *Backend) Beat(n *Node, state func() string) (stop func()) {
	ended, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			r := b.Report(state())
			code := r.Send(n.ControlAddr)
			if code/100 == 2 {
				b.acked.Store(true)
			}
			Log("report of %s: %s, seq %d: answer %d", b.ID, r.State, r.Seq, code)
			select {
			case <-b.stop:
				return
			case <-ended:
				return
			case <-time.After(1500 * time.Millisecond):
			}
		}
	}()
	return func() {
		close(ended)
		<-done
	}
}

// WaitAcked waits until a status report of Beat was acknowledged.
func (b *Backend) WaitAcked(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if b.acked.Load() {
			return true
		}
	}
	return false
}

// Ready is a state for Beat.
func Ready() string { return "ready" }

// Runs returns the requests that ran.
func (b *Backend) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run(nil), b.runs...)
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("Peardrift-Instance-Id", b.ID)
		return
	}
	if want := r.Header.Get("Peardrift-Target-Instance"); want != "" && want != b.ID {
		Log("backend %s gets %s for %s: 421", b.ID, r.Header.Get("Peardrift-Request-Id"), want)
		w.Header().Set("Peardrift-Instance-Id", b.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Peardrift-Request-Id")
	if id == "" {
		w.Header().Set("Peardrift-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if b.Before != nil && b.Before(w, r) {
		return
	}
	at := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		Log("backend %s: the body of %s breaks off after %d bytes", b.ID, id, len(body))
		return
	}
	sum := sha256.Sum256(body)
	run := Run{At: at, Instance: b.ID, Service: b.Service, ID: id, Method: r.Method, URI: r.RequestURI, Caller: r.Header.Get("Peardrift-Caller-Service"), Body: len(body), Sum: hex.EncodeToString(sum[:8]),
		Tenant: r.Header.Get("Peardrift-Tenant"), Authorization: r.Header.Get("Authorization")}
	b.mu.Lock()
	b.runs = append(b.runs, run)
	b.mu.Unlock()
	Log("backend %s of %s runs %s: %s %s, caller %q, body %d bytes, digest %s", b.ID, b.Service, id, r.Method, r.RequestURI, run.Caller, run.Body, run.Sum)
	time.Sleep(b.Work)
	answer := []byte("answer of " + b.ID + " to " + id)
	if b.Answer != nil {
		answer = b.Answer(run)
	}
	w.Header().Set("Peardrift-Request-Id", id)
	w.Header().Set("Peardrift-Response-Signature", "sig-"+b.ID+"-"+id)
	w.Header().Set("Peardrift-Server-Load", fmt.Sprintf("1,0,%d", b.Slots))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	_, _ = w.Write(answer)
}
