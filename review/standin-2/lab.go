package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Lab is a small deployment: nodes as processes, the rest in this process.
type Lab struct {
	dir      string
	store    *Store
	machines []*Machine
	ports    ports
	mu       sync.Mutex
	runs     []Run
	record   *os.File
	start    time.Time
	trouble  bool
}

type ports struct{ inbound, app, ready, outbound, control, base int }

// Machine is a machine of class sidecar: a node and its backend.
type Machine struct {
	lab                     *Lab
	name, zone, service, ip string
	Backend                 *Backend
	cmd                     *exec.Cmd
	done                    chan struct{}
	bootstrap               bool
}

type place struct{ zone, service string }

// newLab starts the store, the backends and the nodes and waits until all are ready.
func newLab(config any, places ...place) *Lab {
	l := newLabBare(config, places...)
	for _, m := range l.machines {
		if err := m.Backend.listen(); err != nil {
			cannot("backend: %v", err)
		}
		m.Backend.Beat()
	}
	for _, m := range l.machines {
		m.WaitReady(15 * time.Second)
	}
	return l
}

// newLabBare starts the store and the nodes.
func newLabBare(config any, places ...place) *Lab {
	l := &Lab{start: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	var err error
	if l.dir, err = os.MkdirTemp("", "review-"); err != nil {
		cannot("temporary folder: %v", err)
	}
	out := os.Getenv("RECORD")
	if out == "" {
		out = filepath.Join(l.dir, "record.txt")
	}
	if l.record, err = os.Create(out); err != nil {
		cannot("record: %v", err)
	}
	current = l
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-sig
		l.log("interrupted")
		l.exit(2)
	}()
	net3 := fmt.Sprintf("127.%d.%d.", 16+rand.Intn(200), rand.Intn(250))
	l.choosePorts(net3, len(places))
	if l.store, err = newStore(net3 + "250:0"); err != nil {
		cannot("store: %v", err)
	}
	l.store.PutConfig(config)
	for i, p := range places {
		m := &Machine{lab: l, name: fmt.Sprintf("sidecar-%s-%d", p.zone, i+1), zone: p.zone, service: p.service, ip: fmt.Sprintf("%s%d", net3, 10+i), bootstrap: true}
		m.Backend = l.newBackend(m, fmt.Sprintf("i-%08x", rand.Uint32()))
		l.machines = append(l.machines, m)
	}
	for _, m := range l.machines {
		m.Start()
	}
	return l
}

func (l *Lab) newBackend(m *Machine, id string) *Backend {
	return &Backend{ID: id, Service: m.service, Zone: m.zone, lab: l,
		Addr: fmt.Sprintf("%s:%d", m.ip, l.ports.app), Control: fmt.Sprintf("%s:%d", m.ip, l.ports.control)}
}

// choosePorts finds ports that are free on all addresses.
func (l *Lab) choosePorts(net3 string, n int) {
	free := func(port int) bool {
		for i := range n {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", net3, 10+i, port))
			if err != nil {
				return false
			}
			ln.Close()
		}
		return true
	}
	var found []int
	for p := 20000 + rand.Intn(5000); len(found) < 7 && p < 32000; p++ {
		if free(p) {
			found = append(found, p)
		} else {
			found = nil // a row of ports, since the last two are a range
		}
	}
	if len(found) < 7 {
		cannot("no free ports")
	}
	l.ports = ports{found[0], found[1], found[2], found[3], found[4], found[5]}
}

var current *Lab

// tenants adds the terms of deployments that have tenants to the settings.
var tenants bool

// cannot ends the process: the case couldn't run.
func cannot(format string, args ...any) {
	fmt.Printf("could not run: "+format+"\n", args...)
	if current != nil {
		current.log("could not run: "+format, args...)
		current.exit(2)
	}
	os.Exit(2)
}

var ending sync.Mutex

// exit ends all processes that the lab started, and this one.
func (l *Lab) exit(code int) {
	ending.Lock()
	for _, m := range l.machines {
		m.Kill()
	}
	l.record.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(l.dir)
	} else {
		fmt.Println("kept", l.dir)
	}
	os.Exit(code)
}

// verdict ends the case.
func (l *Lab) verdict(broken bool, format string, args ...any) {
	word := "HELD"
	if broken {
		word = "BROKEN"
	}
	text := word + ": " + fmt.Sprintf(format, args...)
	l.log("%s", text)
	fmt.Println(text)
	if broken {
		l.exit(1)
	}
	l.exit(0)
}

func (l *Lab) log(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f "+format+"\n", append([]any{time.Since(l.start).Seconds()}, args...)...)
}

func (l *Lab) addRun(r Run) int {
	l.log("run     at %s id=%s %s %s caller-service=%s timeout=%s", r.Backend, r.ID, r.Method, r.URI, r.Caller, r.Timeout)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
	return len(l.runs) - 1
}

func (l *Lab) setRun(at int, r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[at] = r
}

// Runs returns what the backends have run.
func (l *Lab) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

func (l *Lab) settings(m *Machine) string {
	p := l.ports
	at := func(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }
	zones := map[string]bool{}
	var b strings.Builder
	w := func(k string, v any) { fmt.Fprintf(&b, "%s=%v\n", k, v) }
	w("self.node", m.name)
	w("self.role", "node")
	w("self.machine_class", "sidecar")
	w("self.serves", "sidecar")
	w("self.ip", m.ip)
	w("self.zone", m.zone)
	w("self.region", "bkk")
	w("self.counts_as_loss", false)
	w("self.bootstrap", m.bootstrap)
	w("self.limits.cpu_share", 0.64)
	w("self.limits.cores", 1)
	w("self.limits.memory_mb", 284)
	w("self.limits.max_fds", 4100)
	w("self.limits.link_mbps", 1000.0)
	w("self.limits.disk_mb", 0)
	w("self.app_addr", at(p.app))
	w("self.service", m.service)
	w("network.listen.inbound", at(p.inbound))
	w("network.listen.outbound", at(p.outbound))
	w("network.listen.ready", at(p.ready))
	w("network.listen.control", at(p.control))
	w("network.port_range", fmt.Sprintf("%d,%d", p.base, p.base+1))
	w("network.seeds", "")
	for _, o := range l.machines {
		if !zones[o.zone] {
			zones[o.zone] = true
			w("network.zones."+o.zone, "bkk")
		}
	}
	w("platform.discovery", "static")
	w("platform.entry", "static")
	w("platform.heartbeat_ms", 1500)
	w("platform.platform.address", l.store.Addr)
	w("platform.platform.form", "table")
	w("platform.platform.writes_per_s", 400)
	w("platform.platform.reads_per_s", 2000)
	w("platform.platform.txn_timeout_ms", 4.0)
	w("platform.platform.part_writes_per_s", 250)
	w("platform.platform.row_bytes", 65536)
	w("platform.platform.across", true)
	w("platform.platform.retention_s", 20)
	w("platform.platform.blob_bytes", 8388608)
	contracts := "base,drain,config,cost,retry,recover,pressure,platform"
	if tenants {
		contracts = "base,drain,config,cost,retry,recover,pressure,tenants,quota,platform"
	}
	w("terms.contracts", contracts)
	w("terms.tolerate.machines", 2)
	for _, kv := range []string{"seed_lag_s=3", "addr_reuse_s=2", "contact_ms=3000", "ack_ms=4000", "catch_up_s=4", "drain_ms=2000", "grace_s=6",
		"loss_slack_ms=200", "config_apply_ms=2000", "rollback_slack_ms=250", "max_skew_ms=5000", "budget_ratio=0.2", "budget_window_s=10", "budget_slack=49", "recovery_s=15"} {
		k, v, _ := strings.Cut(kv, "=")
		w("terms.bounds."+k, v)
	}
	if tenants {
		w("terms.bounds.strict_revoke", false)
		w("terms.bounds.revoke_ms", 5000)
		w("terms.bounds.quota_window_s", 5)
		w("terms.bounds.quota_excess", 0.1)
		w("terms.bounds.quota_slack", 20)
	}
	return b.String()
}

// Start starts the machine's node as the deploy file says.
func (m *Machine) Start() {
	path := filepath.Join(m.lab.dir, m.name+".conf")
	if err := os.WriteFile(path, []byte(m.lab.settings(m)), 0o600); err != nil {
		cannot("settings: %v", err)
	}
	out, err := os.OpenFile(filepath.Join(m.lab.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannot("log: %v", err)
	}
	cmd := exec.Command("target/peardriftd", "--platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PEARDRIFT_CONFIG=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		cannot("start of target/peardriftd: %v", err)
	}
	out.Close()
	m.cmd, m.done = cmd, make(chan struct{})
	go func(done chan struct{}) {
		cmd.Wait()
		close(done)
	}(m.done)
	m.lab.log("started %s at %s", m.name, m.ip)
}

// Kill ends the node with SIGKILL, if it runs.
func (m *Machine) Kill() {
	if m.cmd == nil {
		return
	}
	m.cmd.Process.Signal(syscall.SIGCONT)
	m.cmd.Process.Kill()
	<-m.done
	m.cmd = nil
}

// Signal sends a signal to the node.
func (m *Machine) Signal(s syscall.Signal) { m.cmd.Process.Signal(s) }

// Restart starts the node again after a kill.
func (m *Machine) Restart() {
	m.bootstrap = false
	m.Start()
}

// Ready asks the node's ready address.
func (m *Machine) Ready() bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/peardrift/readyz", m.ip, m.lab.ports.ready))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

// WaitReady waits until the node is ready.
func (m *Machine) WaitReady(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if m.Ready() {
			return
		}
	}
	cannot("%s is not ready after %v", m.name, d)
}

// Outbound returns the address to which the machine's clients send their requests.
func (m *Machine) Outbound() string { return fmt.Sprintf("%s:%d", m.ip, m.lab.ports.outbound) }

// Conn is a client's connection.
type Conn struct {
	net.Conn
	br *bufio.Reader
}

func dialNode(m *Machine) (*Conn, error) {
	c, err := net.DialTimeout("tcp", m.Outbound(), time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{c, bufio.NewReader(c)}, nil
}

// Reply is an answer as a client sees it.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error // the answer did not arrive whole
}

// Read reads one answer to a request with the method.
func (c *Conn) Read(method string, wait time.Duration) Reply {
	c.SetReadDeadline(time.Now().Add(wait))
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return Reply{Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return Reply{resp.StatusCode, resp.Header, body, err}
}

// once sends one request on a new connection and returns the answer.
func (m *Machine) once(method, host, uri, id string, timeout time.Duration, header string, body []byte) Reply {
	c, err := dialNode(m)
	if err != nil {
		return Reply{Err: err}
	}
	defer c.Close()
	c.SetWriteDeadline(time.Now().Add(timeout))
	h := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nPeardrift-Request-Id: %s\r\nPeardrift-Timeout-Ms: %d\r\n%s", method, uri, host, id, timeout.Milliseconds(), header)
	if len(body) > 0 || method == "POST" {
		h += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := c.Write(append([]byte(h+"\r\n"), body...)); err != nil {
		return Reply{Err: err}
	}
	return c.Read(method, timeout+time.Second)
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// wholeAnswer reports whether a success is a backend's whole body with its signature.
func (r Reply) wholeAnswer() bool {
	return r.Err == nil && r.Header.Get("Peardrift-Response-Signature") == signature(r.Body)
}

// Warm sends requests from every machine until each URI has been answered with success four
// times in a row.
func (l *Lab) Warm(uris ...string) {
	end := time.Now().Add(20 * time.Second)
	for _, m := range l.machines {
		for _, uri := range uris {
			for good := 0; good < 4; {
				if time.Now().After(end) {
					cannot("%s does not serve %s", m.name, uri)
				}
				if r := m.once("GET", host, uri, newID(), time.Second, "", nil); r.Status == 200 {
					good++
				} else {
					good = 0
					time.Sleep(100 * time.Millisecond)
				}
			}
		}
	}
}
