// Command keys takes API keys away and adds them while nodes are killed, stopped and
// frozen, and checks what backends run: issue 32 (UNASKED, ROUTE, CONFIG).
package main

import (
	"bufio"
	"fmt"
	"math/rand"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	. "review/standin/lib"
)

func main() {
	Begin(os.Args[1])
	st := NewStore()
	var mu sync.Mutex
	type span struct{ from, to time.Time } // in force: from its sending to its ack's removal
	held := map[string][]span{}
	owner := map[string]string{}
	put := func(v int, keys map[string]string) {
		byT := map[string][]string{"t1": {}, "t2": {}}
		for k, t := range keys {
			byT[t] = append(byT[t], k)
		}
		c := Config(v, []string{"web", "feed"}, []Route{{Name: "r-feed", Host: "a.example", Prefix: "/feed/", Kind: "safe", Service: "feed", TimeoutMS: 2000}})
		c["tenants"] = []map[string]any{
			{"name": "t1", "api_keys": byT["t1"], "priority": 1},
			{"name": "t2", "api_keys": byT["t2"], "priority": 1},
		}
		mu.Lock()
		for k, t := range keys {
			owner[k] = t
			if s := held[k]; len(s) == 0 || !s[len(s)-1].to.IsZero() {
				held[k] = append(s, span{from: time.Now()})
			}
		}
		mu.Unlock()
		st.Put("op", "config", c)
		mu.Lock()
		defer mu.Unlock()
		for k, s := range held {
			if _, ok := keys[k]; !ok && s[len(s)-1].to.IsZero() {
				s[len(s)-1].to = time.Now()
			}
		}
	}
	now := map[string]string{"k0": "t1", "q0": "t2"}
	put(1, now)
	var ns []*Node
	var bs []*Backend
	touch := map[*Node]time.Time{} // since when a node's processes ran
	for i, s := range []string{"web", "web", "feed", "feed"} {
		b := NewBackend(s, fmt.Sprintf("i-%s%d", s, i), "bkk-a", "")
		n := NewNode(st, fmt.Sprintf("sc-%d", i), "bkk-a", s, b.Addr)
		n.Set("terms.bounds.quota_window_s", "5")
		n.Start()
		b.Beat(n, Ready)
		touch[n] = time.Now()
		ns, bs = append(ns, n), append(bs, b)
	}
	if !WaitReady(20*time.Second, ns...) {
		Cannot("not ready")
	}
	time.Sleep(4 * time.Second)
	type sent struct {
		at   time.Time
		key  string
		node *Node
	}
	reqs := map[string]sent{}
	denied := 0
	ends := map[string]int{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for w := range 20 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				mu.Lock()
				var all []string
				for k := range owner {
					all = append(all, k)
				}
				mu.Unlock()
				key := all[rand.Intn(len(all))]
				if rand.Intn(20) == 0 {
					key = "never" + fmt.Sprint(i)
				}
				n := ns[rand.Intn(4)]
				id := fmt.Sprintf("w%dx%d", w, i)
				c, err := net.DialTimeout("tcp", n.Outbound, time.Second)
				if err != nil {
					continue
				}
				at := time.Now()
				mu.Lock()
				reqs[id] = sent{at, key, n}
				mu.Unlock()
				c.SetDeadline(time.Now().Add(3 * time.Second))
				fmt.Fprintf(c, "GET /feed/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token %s\r\nPeardrift-Tenant: t9\r\nPeardrift-Request-Id: %s\r\nPeardrift-Timeout-Ms: 2000\r\nConnection: close\r\n\r\n", key, id)
				l, _ := bufio.NewReader(c).ReadString('\n')
				c.Close()
				mu.Lock()
				ends[strings.TrimSpace(l)]++
				if strings.Contains(l, "401") {
					// Denied although every configuration that may be in force holds the key.
					for _, s := range held[key] {
						if s.from.Add(2*time.Second).Before(at) && s.to.IsZero() {
							denied++
						}
					}
				}
				mu.Unlock()
			}
		}()
	}
	v := 1
	for end := time.Now().Add(70 * time.Second); time.Now().Before(end); {
		time.Sleep(time.Duration(300+rand.Intn(1500)) * time.Millisecond)
		v += 1 + rand.Intn(200)
		if len(now) > 3 || rand.Intn(2) == 0 {
			for k := range now {
				delete(now, k)
				break
			}
		}
		now[fmt.Sprintf("k%d", v)] = []string{"t1", "t2"}[rand.Intn(2)]
		put(v, now)
		n := ns[rand.Intn(4)]
		switch rand.Intn(5) {
		case 0:
			n.Kill()
			time.Sleep(300 * time.Millisecond)
			n.Start()
			mu.Lock()
			touch[n] = time.Now()
			mu.Unlock()
		case 1:
			n.Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(500+rand.Intn(4000)) * time.Millisecond)
			n.Signal(syscall.SIGCONT)
			mu.Lock()
			touch[n] = time.Now()
			mu.Unlock()
		}
	}
	close(stop)
	wg.Wait()
	unasked, route, config, total := 0, 0, 0, 0
	for _, b := range bs {
		for _, r := range b.Runs() {
			total++
			s := reqs[r.ID]
			if r.Tenant != owner[s.key] || r.Authorization != "" {
				unasked++
				Log("UNASKED: %s with key %s of %s runs as %q, Authorization %q", r.ID, s.key, owner[s.key], r.Tenant, r.Authorization)
			}
			sp := held[s.key]
			if len(sp) == 0 {
				route++
				Log("ROUTE: %s with key %s runs", r.ID, s.key)
				continue
			}
			if to := sp[len(sp)-1].to; !to.IsZero() && s.at.After(to.Add(2*time.Second)) && s.at.After(touch[s.node].Add(3*time.Second)) {
				config++
				Log("CONFIG: %s with key %s, taken away %v before, runs (from %s)", r.ID, s.key, s.at.Sub(to), s.node.Name)
			}
		}
	}
	Log("%v", ends)
	Log("%d runs: UNASKED %d, ROUTE %d, CONFIG %d; 401 for a key in force %d", total, unasked, route, config, denied)
	End(0)
}
