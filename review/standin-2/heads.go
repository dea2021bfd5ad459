package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["heads"] = heads }

func hijack(w http.ResponseWriter) net.Conn {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	return c
}

// heads: one of two backends spoils the head of 2 in 100 of its answers. No client may get
// such bytes as an answer, or an answer to another request.
func heads() {
	l := newLab(stdConfig(), place{"bkk-a", "read"}, place{"bkk-b", "read"})
	l.Warm("/read/w")
	time.Sleep(4 * time.Second) // all machines are in touch
	var mu sync.Mutex
	got, spoiled := 0, map[string]string{}
	kinds := []string{"interim", "status", "lengths"}
	for _, m := range l.machines {
		m.Backend.Handle = func(b *Backend, w http.ResponseWriter, r *http.Request, _ []byte) {
			id := r.Header.Get("Peardrift-Request-Id")
			body := []byte("the whole answer to " + id)
			kind := ""
			if l.trouble && b == l.machines[0].Backend {
				mu.Lock()
				if got++; got%50 == 0 {
					kind = kinds[got/50%len(kinds)]
					spoiled[id] = kind
				}
				mu.Unlock()
			}
			if kind == "" {
				time.Sleep(5 * time.Millisecond)
				answer(w, 200, body)
				return
			}
			l.log("backend %s spoils its answer to id=%s: %s", b.ID, id, kind)
			if kind == "interim" { // an interim answer before the final one
				w.WriteHeader(http.StatusEarlyHints)
				time.Sleep(50 * time.Millisecond)
				answer(w, 200, body)
				return
			}
			// The rest is sent whole, and the end of the connection is announced: the backend
			// doesn't break off.
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nPeardrift-Request-Id: %s\r\nPeardrift-Response-Signature: %s\r\nContent-Length: %d\r\n", id, signature(body), len(body))
			c := hijack(w)
			defer c.Close()
			switch kind {
			case "status": // a status of two digits
				fmt.Fprintf(c, "%s\r\n%s", strings.Replace(head, "200", "20", 1), body)
			case "lengths": // two lengths that differ
				fmt.Fprintf(c, "%sContent-Length: 3\r\n\r\n%s", head, body)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	foreign, noAnswer, notWhole, good := 0, 0, 0, 0
	var wg sync.WaitGroup
	for k := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 150 {
				c, err := dialNode(l.machines[k%2])
				if err != nil {
					cannot("%v", err)
				}
				var ids []string
				for range 3 {
					id := newID()
					ids = append(ids, id)
					fmt.Fprintf(c, "GET /read/page HTTP/1.1\r\nHost: %s\r\nPeardrift-Request-Id: %s\r\nPeardrift-Timeout-Ms: 2000\r\n\r\n", host, id)
				}
				for _, id := range ids {
					r := c.Read("GET", 3*time.Second)
					for r.Err == nil && r.Status/100 == 1 && r.Status != 101 {
						l.log("client  got interim answer %d to id=%s", r.Status, id)
						r = c.Read("GET", 3*time.Second) // RFC 9110, 15.2: the final answer follows
					}
					mu.Lock()
					what := ""
					switch {
					case r.Err != nil && strings.Contains(r.Err.Error(), "malformed"):
						noAnswer++
						what = "bytes that are no answer: " + r.Err.Error()
					case r.Err != nil:
						what = "no answer: " + r.Err.Error()
					case r.Status == 200 && !strings.HasSuffix(string(r.Body), id) && r.wholeAnswer():
						foreign++
						what = "the answer to another request, id=" + r.Header.Get("Peardrift-Request-Id")
					case r.Status == 200 && !r.wholeAnswer():
						notWhole++
						what = fmt.Sprintf("a success with %d bytes of the body, signature %s", len(r.Body), r.Header.Get("Peardrift-Response-Signature"))
					case r.Status == 200:
						good++
					default:
						what = fmt.Sprint(r.Status)
					}
					mu.Unlock()
					if what != "" {
						l.log("client  sent id=%s GET /read/page, got %s", id, what)
					}
					if r.Err != nil {
						break
					}
				}
				c.Close()
			}
		}()
	}
	wg.Wait()
	l.verdict(foreign+noAnswer+notWhole > 0, "of 1800 requests %d got their own whole answer, %d the answer to another request, %d bytes that are no answer, %d a success that isn't whole; %d answers were spoiled",
		good, foreign, noAnswer, notWhole, len(spoiled))
}
