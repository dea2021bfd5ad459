package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Run is one request that a backend began to work on.
type Run struct {
	At                       time.Time
	Backend, ID, Method, URI string
	Caller, Tenant, Timeout  string
	Body                     string // digest of the body; "cut" if it ended early
	Length                   int
}

// Backend is a stand-in for an application backend.
type Backend struct {
	ID, Service, Zone, Addr, Control string
	lab                              *Lab
	srv                              *http.Server
	mu                               sync.Mutex
	seq                              int
	beating                          chan struct{}
	// Handle answers a request after it was recorded as run; nil: 200, signed, with a short
	// body.
	Handle func(b *Backend, w http.ResponseWriter, r *http.Request, body []byte)
	// Early is asked before the body is read; true: it has answered, and the request has
	// not run.
	Early func(b *Backend, w http.ResponseWriter, r *http.Request) bool
}

func (b *Backend) listen() error {
	ln, err := net.Listen("tcp", b.Addr)
	if err != nil {
		return err
	}
	b.srv = &http.Server{Handler: b, IdleTimeout: 10 * time.Second}
	go b.srv.Serve(ln)
	return nil
}

func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Peardrift-Request-Id")
	w.Header().Set("Peardrift-Request-Id", id)
	if want := r.Header.Get("Peardrift-Target-Instance"); want != "" && want != b.ID {
		w.Header().Set("Peardrift-Instance-Id", b.ID)
		w.Header().Del("Peardrift-Request-Id")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("Peardrift-Instance-Id", b.ID)
		return
	}
	if id == "" {
		w.Header().Set("Peardrift-Not-Executed", "1")
		w.WriteHeader(400)
		return
	}
	if b.Early != nil && b.Early(b, w, r) {
		return
	}
	run := Run{At: time.Now(), Backend: b.ID, ID: id, Method: r.Method, URI: r.RequestURI,
		Caller: r.Header.Get("Peardrift-Caller-Service"), Tenant: r.Header.Get("Peardrift-Tenant"), Timeout: r.Header.Get("Peardrift-Timeout-Ms")}
	at := b.lab.addRun(run)
	body, err := io.ReadAll(r.Body)
	run.Length, run.Body = len(body), digest(body)
	if err != nil {
		run.Body = "cut"
	}
	b.lab.setRun(at, run)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if b.Handle != nil {
		b.Handle(b, w, r, body)
		return
	}
	answer(w, 200, []byte("answer to "+id+"\n"))
}

// answer writes a signed answer with a length.
func answer(w http.ResponseWriter, code int, body []byte) {
	w.Header().Set("Peardrift-Response-Signature", signature(body))
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	w.WriteHeader(code)
	w.Write(body)
}

func digest(b []byte) string {
	d := sha256.Sum256(b)
	return hex.EncodeToString(d[:8])
}

func signature(body []byte) string { return fmt.Sprintf("%d.%s", len(body), digest(body)) }

// Report sends a heartbeat with a state and a sequence number, and returns the status of the
// answer; 0 if there was none within a second.
func (b *Backend) Report(state string, seq int) int {
	body, _ := json.Marshal(map[string]any{
		"address": b.Addr,
		"info":    map[string]any{"service": b.Service, "version": "v1", "zone": b.Zone, "slots": 64},
		"status":  map[string]any{"state": state, "seq": seq, "cold_remaining_ms": 0},
	})
	return b.post("heartbeat", body)
}

// Deregister says that the backend leaves.
func (b *Backend) Deregister() int { return b.post("deregister", nil) }

func (b *Backend) post(call string, body []byte) int {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, _ := http.NewRequest("POST", "http://"+b.Control+"/peardrift/instances/"+b.ID+"/"+call, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.Do(req)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode
}

// Beat sends heartbeats until StopBeat.
func (b *Backend) Beat() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.beating != nil {
		return
	}
	stop := make(chan struct{})
	b.beating = stop
	go func() {
		for {
			seq := b.nextSeq()
			select {
			case <-stop:
				return
			default:
			}
			ok := b.Report("ready", seq) == 200
			wait := 1500 * time.Millisecond
			if !ok {
				wait = 200 * time.Millisecond
			}
			select {
			case <-stop:
				return
			case <-time.After(wait):
			}
		}
	}()
}

func (b *Backend) nextSeq() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	return b.seq
}

// StopBeat ends Beat.
func (b *Backend) StopBeat() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.beating != nil {
		close(b.beating)
		b.beating = nil
	}
}
