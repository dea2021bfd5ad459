// Command pipelined shows what a node does with a request that has a body of some
// kilobytes and with the safe requests that its client sends behind it at once.
package main

import (
	"bytes"
	"fmt"
	"os"
	"sync"
	"time"

	. "review/standin/lib"
)

const (
	clients   = 12   // connections of either kind
	timeoutMS = 1500 // of the routes, as media-upload has in the site file
	waitMS    = 5000 // that the clients state
	slack     = 500 * time.Millisecond
	host      = "hulo84.example"
)

// sent is a request of a client and what came of it.
type sent struct {
	id, kind string
	at       time.Time
	took     time.Duration // until the final answer; 0: none
	answer   Answer
}

func main() {
	trouble := Begin(os.Args[1])
	st := NewStore()
	st.Put("op", "config", Config(1, []string{"media", "archive"}, []Route{
		{Name: "r-upload", Host: host, Prefix: "/upload/", Kind: "upload", Service: "media", TimeoutMS: timeoutMS},
		{Name: "r-read", Host: host, Prefix: "/read/", Kind: "safe", Service: "archive", TimeoutMS: timeoutMS},
	}))
	var ns []*Node
	var bs []*Backend
	for i, service := range []string{"media", "archive", "media", "archive"} {
		zone := "bkk-a"
		if i >= 2 {
			zone = "bkk-b"
		}
		b := NewBackend(service, fmt.Sprintf("i-%s-%d", service, i), zone, "")
		n := NewNode(st, fmt.Sprintf("sidecar-%d", i+1), zone, service, b.Addr)
		n.Start()
		b.Beat(n, Ready)
		ns, bs = append(ns, n), append(bs, b)
	}
	if !WaitReady(20*time.Second, ns...) {
		Cannot("the nodes are not ready")
	}
	time.Sleep(4 * time.Second) // longer than contact_ms: all machines are in touch

	var mu sync.Mutex
	var all []sent
	var wg sync.WaitGroup
	for i := range clients {
		for _, kind := range []string{"upload first", "safe only"} {
			wg.Add(1)
			go func() {
				defer wg.Done()
				var reqs []sent
				var raw [][]byte
				add := func(kind, method, uri string, body []byte) {
					id := fmt.Sprintf("%08x%04x%04x", time.Now().UnixNano()&0xffffffff, i, len(reqs)+4*len(kind))
					reqs = append(reqs, sent{id: id, kind: kind})
					raw = append(raw, Request(method, host, uri, id, waitMS, body))
				}
				if kind == "upload first" {
					add("upload, 40000 bytes", "POST", "/upload/a", bytes.Repeat([]byte("u"), 40000))
					add("safe, no body, behind it", "GET", "/read/b", nil)
				} else {
					add("safe, 20000 bytes", "POST", "/read/c", bytes.Repeat([]byte("q"), 20000))
					add("safe, no body, behind it", "GET", "/read/d", nil)
				}
				talk(ns[i%len(ns)], reqs, raw, trouble)
				mu.Lock()
				all = append(all, reqs...)
				mu.Unlock()
			}()
		}
	}
	wg.Wait()

	long, late := 0, 0 // requests that last longer than timeout_ms; of these without a final answer 0.5 s later
	for _, s := range all {
		Log("request %s (%s): answered after %v: %v", s.id, s.kind, s.took.Round(time.Millisecond), s.answer)
		if s.took == 0 || s.took > timeoutMS*time.Millisecond {
			long++
		}
		if s.took == 0 || s.took > timeoutMS*time.Millisecond+slack {
			late++
		}
	}
	ran := 0
	for _, b := range bs {
		ran += len(b.Runs())
	}
	Log("%d requests sent, %d ran; %d lasted longer than timeout_ms, %d of these had no final answer 0.5 s after it", len(all), ran, long, late)
	if late >= 8 && 4*late > long {
		Log("CONFIG is broken: eight or more, and over a quarter, have no final answer 0.5 s after their route's timeout_ms")
		End(1)
	}
	Log("CONFIG holds")
	End(0)
}

// talk sends the requests on one connection: the later ones before the first is answered,
// or each after the answer to the one before.
func talk(n *Node, reqs []sent, raw [][]byte, together bool) {
	c, err := Dial(n.Outbound)
	if err != nil {
		Cannot("%v", err)
	}
	defer c.Close()
	limit := time.Now().Add(waitMS * time.Millisecond)
	if together {
		if _, err := c.Write(bytes.Join(raw, nil)); err != nil {
			Cannot("%v", err)
		}
	}
	for i := range reqs {
		if !together {
			limit = time.Now().Add(waitMS * time.Millisecond)
			if _, err := c.Write(raw[i]); err != nil {
				Cannot("%v", err)
			}
		}
		if i == 0 || !together {
			reqs[i].at = time.Now()
		} else {
			reqs[i].at = reqs[0].at
		}
		method := "GET"
		if bytes.HasPrefix(raw[i], []byte("POST")) {
			method = "POST"
		}
		if time.Until(limit) <= 0 {
			reqs[i].answer = Answer{Err: fmt.Errorf("the client's time is over")}
			continue
		}
		if a := c.ReadAnswer(method, time.Until(limit)); a.Err == nil {
			reqs[i].answer, reqs[i].took = a, time.Since(reqs[i].at)
		} else {
			reqs[i].answer = a
		}
	}
}
