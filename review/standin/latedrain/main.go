// Command latedrain shows what a node does with the draining report of a backend that has
// crashed, if the report arrives after the backend's next lifetime has registered.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	. "review/standin/lib"
)

const (
	host     = "hulo84.example"
	recovery = 15 * time.Second // recovery_s
	measured = 8 * time.Second
	hold     = time.Second // the report arrives so long after the next lifetime has registered
)

func main() {
	trouble := Begin(os.Args[1])
	st := NewStore()
	config := func(v int) map[string]any {
		return Config(v, []string{"web", "feed"}, []Route{{Name: "r-feed", Host: host, Prefix: "/feed/", Kind: "safe", Service: "feed", TimeoutMS: 2000}})
	}
	st.Put("op", "config", config(1))
	web := NewBackend("web", "i-web1", "bkk-a", "")
	feed := NewBackend("feed", "i-feed1", "bkk-b", "")
	nw := NewNode(st, "sidecar-web", "bkk-a", "web", web.Addr)
	nf := NewNode(st, "sidecar-feed", "bkk-b", "feed", feed.Addr)
	nw.Start()
	nf.Start()
	web.Beat(nw, Ready)
	stopBeats := feed.Beat(nf, Ready)
	if !WaitReady(20*time.Second, nw, nf) {
		Cannot("the nodes are not ready")
	}
	time.Sleep(4 * time.Second)
	sentBefore, servedBefore := traffic(nw, "a", 4*time.Second)

	// Planned work: the backend is taken out. It reports draining.
	stopBeats()
	old, reported := feed.Report("draining"), time.Now()
	if trouble {
		Log("%s reports draining, seq %d: the report is held up on its way", old.ID, old.Seq)
	} else {
		Log("%s reports draining, seq %d: answer %d", old.ID, old.Seq, old.Send(nf.ControlAddr))
	}
	// The final fault: a configuration is acknowledged, and all machines lose power.
	time.Sleep(300 * time.Millisecond)
	st.Put("op", "config", config(2))
	Log("configuration 2 is acknowledged; all machines lose power")
	nw.Kill()
	nf.Kill()
	web.Crash()
	feed.Crash()
	time.Sleep(900 * time.Millisecond)
	web2 := NewBackend("web", "i-web2", "bkk-a", web.Addr)
	feed2 := NewBackend("feed", "i-feed2", "bkk-b", feed.Addr)
	nw.Start()
	nf.Start()
	back := time.Now()
	web2.Beat(nw, Ready)
	feed2.Beat(nf, Ready)
	if !WaitReady(10*time.Second, nw, nf) || !feed2.WaitAcked(10*time.Second) {
		Cannot("the nodes are not ready after the restart, or the next lifetime is not registered")
	}
	s, ok := traffic(nw, "b", hold)
	Log("the next lifetime, %s, has registered; before the held-up report arrives: %d requests sent, %d served", feed2.ID, s, ok)
	if trouble {
		code := old.Send(nf.ControlAddr)
		Log("the held-up report of %s (draining, seq %d) arrives, %v after it was sent: answer %d", old.ID, old.Seq, time.Since(reported).Round(time.Millisecond), code)
	}
	time.Sleep(time.Until(back.Add(recovery)))
	sent, served := traffic(nw, "c", measured)
	Log("before the final fault: %d requests sent, %d served", sentBefore, servedBefore)
	Log("later than recovery_s after the machines are back: %d requests sent, %d served; %s has reported ready all the while", sent, served, feed2.ID)
	if 4*servedBefore >= sentBefore && 4*served < sent {
		Log("RECOVER is broken: less than a quarter is served")
		End(1)
	}
	Log("RECOVER holds")
	End(0)
}

// traffic sends 20 requests a second for a time and returns how many were sent and served.
func traffic(n *Node, name string, d time.Duration) (sent, served int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	ends := map[string]int{}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		sent++
		wg.Add(1)
		go func(i int) {
			defer wg.Done()
			a := Do(n, "GET", host, "/feed/x", fmt.Sprintf("%s%06d", name, i), 2000, nil)
			mu.Lock()
			defer mu.Unlock()
			if a.Err == nil && a.Status == 200 && a.Signature != "" {
				served++
			}
			ends[fmt.Sprintf("%d", a.Status)]++
			if i == 1 {
				Log("the first answer: %v", a)
			}
		}(sent)
	}
	wg.Wait()
	Log("requests %s: %d sent, %d served, by status %v", name, sent, served, ends)
	return sent, served
}
