// Command replaced shows what happens at the final fault after the machines of a site have
// been replaced, one after the other, by others at new addresses.
package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	. "review/standin/lib"
)

const (
	host        = "hulo84.example"
	recovery    = 15 * time.Second // recovery_s
	drain       = 2 * time.Second  // drain_ms
	measured    = 8 * time.Second
	generations = 2               // how often each machine is replaced
	replaced    = 4 * time.Second // after which the next machines are replaced in any case
	machines    = 10              // half of them beside backends of web, half beside those of feed
)

// machine is a backend with the node beside it.
type machine struct {
	service, zone string
	n             *Node
	b             *Backend
	stop          func()
}

var made int

func newMachine(st *Store, service, zone string) *machine {
	made++
	m := &machine{service: service, zone: zone}
	m.b = NewBackend(service, fmt.Sprintf("i-%s-%d", service, made), zone, "")
	m.n = NewNode(st, fmt.Sprintf("sidecar-%s-%d", zone, made), zone, service, m.b.Addr)
	if made > machines {
		m.n.Set("self.bootstrap", "false")
	}
	m.n.Start()
	m.stop = m.b.Beat(m.n, Ready)
	return m
}

// leave is the planned end of a machine: its backend drains and exits, and the node gets
// SIGTERM afterwards.
func (m *machine) leave() {
	m.stop()
	r := m.b.Report("draining")
	Log("report of %s: draining, seq %d: answer %d", r.ID, r.Seq, r.Send(m.n.ControlAddr))
	time.Sleep(drain + 300*time.Millisecond)
	Log("%s deregisters: answer %d", m.b.ID, Deregister(m.n.ControlAddr, m.b.ID))
	m.b.Crash()
	m.n.Signal(syscall.SIGTERM)
	if !m.n.Wait(6 * time.Second) {
		m.n.Kill()
	}
}

func main() {
	trouble := Begin(os.Args[1])
	st := NewStore()
	config := func(v int) map[string]any {
		return Config(v, []string{"web", "feed"}, []Route{{Name: "r-feed", Host: host, Prefix: "/feed/", Kind: "safe", Service: "feed", TimeoutMS: 2000}})
	}
	st.Put("op", "config", config(1))
	var site []*machine
	for i := range machines {
		service, zone := "web", "bkk-a"
		if i >= machines/2 {
			service = "feed"
		}
		if i%2 == 1 {
			zone = "bkk-b"
		}
		site = append(site, newMachine(st, service, zone))
	}
	if !ready(20*time.Second, site...) {
		Cannot("the nodes are not ready")
	}
	time.Sleep(6 * time.Second)
	var leaving sync.WaitGroup
	if trouble {
		for g := 1; g <= generations; g++ {
			for i := 0; i < len(site); i += 2 {
				next := []*machine{newMachine(st, site[i].service, site[i].zone), newMachine(st, site[i+1].service, site[i+1].zone)}
				if !ready(replaced, next...) {
					Log("a machine that was added is not ready %v after its start", replaced)
				}
				for j, m := range next {
					old := site[i+j]
					site[i+j] = m
					leaving.Go(old.leave)
				}
			}
			Log("all machines have been replaced, time %d", g)
		}
		leaving.Wait()
		time.Sleep(2 * time.Second)
	}
	sentBefore, servedBefore := traffic(site, "a", 4*time.Second)
	here := map[string]bool{}
	for _, m := range site {
		here[m.n.Control()] = true
	}
	var keys []string
	rows := st.Rows("peardrift")
	for k := range rows {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		known := false
		for c := range here {
			known = known || strings.Contains(rows[k], `"`+c+`"`)
		}
		Log("row %s: %s; of a machine that is there: %v", k, rows[k], known)
	}
	st.Put("op", "config", config(2))
	Log("configuration 2 is acknowledged; all processes of the system are killed")
	for _, m := range site {
		m.n.Kill()
	}
	time.Sleep(900 * time.Millisecond)
	for _, m := range site {
		m.n.Start()
	}
	back := time.Now()
	time.Sleep(time.Until(back.Add(recovery)))
	sent, served := traffic(site, "c", measured)
	Log("before the final fault: %d requests sent, %d served", sentBefore, servedBefore)
	Log("later than recovery_s after the machines are back: %d requests sent, %d served", sent, served)
	if 4*servedBefore >= sentBefore && 4*served < sent {
		Log("RECOVER is broken: less than a quarter is served")
		End(1)
	}
	Log("RECOVER holds")
	End(0)
}

// ready waits until machines are ready, and reports whether they are in time.
func ready(limit time.Duration, ms ...*machine) bool {
	ok := true
	for _, m := range ms {
		ok = WaitReady(limit, m.n) && m.b.WaitAcked(limit) && ok
	}
	return ok
}

// traffic sends 40 requests a second from the web machines for a time and returns how many
// were sent and served.
func traffic(site []*machine, name string, d time.Duration) (sent, served int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	ends := map[string]int{}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(25 * time.Millisecond) {
		m := site[sent%(machines/2)]
		sent++
		wg.Add(1)
		go func(i int) {
			defer wg.Done()
			a := Do(m.n, "GET", host, "/feed/x", fmt.Sprintf("%s%06d", name, i), 2000, nil)
			mu.Lock()
			defer mu.Unlock()
			if a.Err == nil && a.Status == 200 && a.Signature != "" {
				served++
			}
			ends[fmt.Sprint(a.Status)]++
			if i == 1 {
				Log("the first answer: %v", a)
			}
		}(sent)
	}
	wg.Wait()
	Log("requests %s: %d sent, %d served, by status %v", name, sent, served, ends)
	return sent, served
}
