// Command leftpipe shows what happens to the requests of a client that has sent its next
// request and leaves: GONE, an entry of KNOWN-RED.txt.
package main

import (
	"bytes"
	"fmt"
	"os"
	"sync"
	"time"

	. "review/standin/lib"
)

func main() {
	trouble := Begin(os.Args[1])
	st := NewStore()
	st.Put("op", "config", Config(1, []string{"web", "feed"}, []Route{{Name: "r-feed", Host: "a.example", Prefix: "/feed/", Kind: "safe", Service: "feed", TimeoutMS: 5000}}))
	var ns []*Node
	var bs []*Backend
	for i, s := range []string{"web", "web", "feed", "feed"} {
		b := NewBackend(s, fmt.Sprintf("i-%s%d", s, i), "bkk-a", "")
		b.Work = 2500 * time.Millisecond
		n := NewNode(st, fmt.Sprintf("sc-%d", i), "bkk-a", s, b.Addr)
		n.Start()
		b.Beat(n, Ready)
		ns, bs = append(ns, n), append(bs, b)
	}
	if !WaitReady(20*time.Second, ns...) {
		Cannot("not ready")
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	left := map[string]time.Time{}
	var wg sync.WaitGroup
	for i := range 30 {
		wg.Go(func() {
			c, err := Dial(ns[i%2].Outbound)
			if err != nil {
				Cannot("%v", err)
			}
			a, b := fmt.Sprintf("a%d", i), fmt.Sprintf("b%d", i)
			reqs := [][]byte{Request("GET", "a.example", "/feed/1", a, 5000, nil)}
			if trouble {
				reqs = append(reqs, Request("GET", "a.example", "/feed/2", b, 5000, nil))
			}
			_, _ = c.Write(bytes.Join(reqs, nil))
			time.Sleep(600 * time.Millisecond)
			_ = c.Close()
			mu.Lock()
			left[a], left[b] = time.Now(), time.Now()
			mu.Unlock()
		})
	}
	wg.Wait()
	time.Sleep(6 * time.Second)
	late, second := 0, 0
	for _, b := range bs {
		for _, r := range b.Runs() {
			if r.At.After(left[r.ID].Add(500 * time.Millisecond)) {
				late++
			}
			if r.ID[0] == 'b' {
				second++
			}
		}
	}
	Log("%d of 30 requests sent behind another reached a backend; %d requests reached one over half a second after their client had left", second, late)
	if late > 5 {
		Log("GONE is broken")
		End(1)
	}
	End(0)
}
