// Command lateready shows what a restarted node does with a ready report of its backend
// that was sent before the backend's acknowledged leave and arrives after the restart.
package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	. "review/standin/lib"
)

const (
	host    = "hulo84.example"
	drain   = 2 * time.Second // drain_ms
	contact = 3 * time.Second // contact_ms
	work    = 300 * time.Millisecond
	serves  = 8 * time.Second // how long the backend serves after its leave was acknowledged
)

func main() {
	trouble := Begin(os.Args[1])
	st := NewStore()
	st.Put("op", "config", Config(1, []string{"web", "feed"}, []Route{{Name: "r-feed", Host: host, Prefix: "/feed/", Kind: "safe", Service: "feed", TimeoutMS: 2000}}))
	web := NewBackend("web", "i-web1", "bkk-a", "")
	f1 := NewBackend("feed", "i-feed1", "bkk-a", "")
	f2 := NewBackend("feed", "i-feed2", "bkk-b", "")
	f1.Work, f2.Work = work, work
	nw := NewNode(st, "sidecar-web", "bkk-a", "web", web.Addr)
	n1 := NewNode(st, "sidecar-feed-1", "bkk-a", "feed", f1.Addr)
	n2 := NewNode(st, "sidecar-feed-2", "bkk-b", "feed", f2.Addr)
	for _, n := range []*Node{nw, n1, n2} {
		n.Start()
	}
	web.Beat(nw, Ready)
	f2.Beat(n2, Ready)
	stopBeats := f1.Beat(n1, Ready)
	if !WaitReady(20*time.Second, nw, n1, n2) {
		Cannot("the nodes are not ready")
	}
	time.Sleep(4 * time.Second)

	var mu sync.Mutex
	ends := map[string]int{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(30 * time.Millisecond):
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				a := Do(nw, "GET", host, "/feed/x", fmt.Sprintf("r%06d", i), 2000, nil)
				mu.Lock()
				defer mu.Unlock()
				ends[fmt.Sprint(a.Status)]++
			}()
		}
	}()
	time.Sleep(2 * time.Second)

	// Planned work: the node beside f1 is stopped and started again, f1 runs on. Meanwhile
	// f1 leaves without having reported draining. This is the same without the disruption.
	n1.Signal(syscall.SIGTERM)
	time.Sleep(time.Second)
	stopBeats()
	last, sent := f1.Report("ready"), time.Now()
	if trouble {
		Log("report of %s: ready, seq %d: held up on its way", last.ID, last.Seq)
	} else {
		Log("report of %s: ready, seq %d: answer %d", last.ID, last.Seq, last.Send(n1.ControlAddr))
	}
	time.Sleep(200 * time.Millisecond)
	code := Deregister(n1.ControlAddr, f1.ID)
	acked := time.Now()
	Log("%s deregisters: answer %d; it serves on for some seconds", f1.ID, code)
	if code/100 != 2 {
		Cannot("the leave was not acknowledged")
	}
	if !n1.Wait(4 * time.Second) {
		Cannot("the node has not ended")
	}
	time.Sleep(400 * time.Millisecond)
	n1.Start()
	bound := time.Now().Add(contact) // the machine is in touch again
	if b := acked.Add(drain); b.After(bound) {
		bound = b
	}
	if trouble {
		time.Sleep(time.Second)
		code := last.Send(n1.ControlAddr)
		Log("the held-up report of %s (ready, seq %d) arrives, %v after it was sent: answer %d", last.ID, last.Seq, time.Since(sent).Round(time.Millisecond), code)
	}
	time.Sleep(time.Until(acked.Add(serves)))
	broken, any := 0, 0
	for _, r := range f1.Runs() {
		if r.At.After(acked.Add(drain)) {
			any++
		}
		if r.At.After(bound) {
			broken++
		}
	}
	f1.Crash()
	Log("%s has exited, %v after its leave was acknowledged", f1.ID, serves)
	time.Sleep(500 * time.Millisecond)
	close(stop)
	wg.Wait()
	Log("answers by status: %v", ends)
	Log("%s got %d requests later than drain_ms after the acknowledgement, %d of them while its node was in touch", f1.ID, any, broken)
	if broken > 0 {
		Log("DRAIN is broken")
		End(1)
	}
	Log("DRAIN holds")
	End(0)
}
