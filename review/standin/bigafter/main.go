// Command bigafter shows answers of over 64 KiB with a length that follow an answer in
// chunks on a kept connection: they are cut off. With TROUBLE=0 the answers before them have
// a length too.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	. "review/standin/lib"
)

func main() {
	trouble := Begin(os.Args[1])
	st := NewStore()
	st.Put("op", "config", Config(1, []string{"web", "feed"}, []Route{{Name: "r-feed", Host: "a.example", Prefix: "/feed/", Kind: "safe", Service: "feed", TimeoutMS: 5000}}))
	web := NewBackend("web", "i-web1", "bkk-a", "")
	feed := NewBackend("feed", "i-feed1", "bkk-a", "")
	feed.Before = func(w http.ResponseWriter, r *http.Request) bool {
		id := r.Header.Get("Peardrift-Request-Id")
		w.Header().Set("Peardrift-Request-Id", id)
		w.Header().Set("Peardrift-Response-Signature", "sig-"+id)
		size := 20000
		if strings.HasSuffix(r.URL.Path, "big") {
			size = 200000
		}
		if size > 20000 || !trouble {
			w.Header().Set("Content-Length", fmt.Sprint(size))
		}
		body := []byte(strings.Repeat("x", size))
		for len(body) > 0 { // without a length, net/http sends chunks
			n := min(len(body), 10000)
			_, _ = w.Write(body[:n])
			w.(http.Flusher).Flush()
			body = body[n:]
		}
		return true
	}
	nw := NewNode(st, "sidecar-web", "bkk-a", "web", web.Addr)
	nf := NewNode(st, "sidecar-feed", "bkk-a", "feed", feed.Addr)
	nw.Start()
	nf.Start()
	web.Beat(nw, Ready)
	feed.Beat(nf, Ready)
	if !WaitReady(20*time.Second, nw, nf) {
		Cannot("the nodes are not ready")
	}
	time.Sleep(4 * time.Second)
	cut, whole := 0, 0
	for i := range 20 {
		c, err := Dial(nw.Outbound)
		if err != nil {
			Cannot("%v", err)
		}
		for j, path := range []string{"/feed/small", "/feed/big"} {
			_, _ = c.Write(Request("GET", "a.example", path, fmt.Sprintf("r%02d%d", i, j), 5000, nil))
			a := c.ReadAnswer("GET", 6*time.Second)
			Log("%s: status %d, signature %q, %d bytes, %v", path, a.Status, a.Signature, len(a.Body), a.Err)
			if a.Err != nil {
				cut++
			} else {
				whole++
			}
		}
		_ = c.Close()
	}
	Log("%d answers whole, %d cut off", whole, cut)
	if cut > 3 {
		Log("answers of a sound backend are cut off without any disturbance")
		End(1)
	}
	End(0)
}
