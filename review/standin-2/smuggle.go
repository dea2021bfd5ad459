package main

import (
	"bytes"
	"fmt"
	"time"
)

func init() { cases["smuggle"] = smuggle }

// smuggle: an upload in chunks is refused by its entry after a part of its body was read.
// What is left of the body must not be taken for a request.
func smuggle() {
	l := newLab(config(7, host, []obj{service("read"), service("pay"), service("store")}, []obj{
		route("r-read", "/read/", "safe", "read", 5000),
		route("r-pay", "/pay/", "unsafe", "pay", 5000),
		route("r-up", "/up/", "upload", "store", 5000),
	}), place{"bkk-a", "read"}, place{"bkk-a", "pay"}, place{"bkk-b", "store"})
	l.Warm("/read/w", "/pay/w", "/up/w")
	m := l.machines[0]
	if l.trouble {
		l.log("trouble: SIGKILL of the node %s, the only one beside a backend of store", l.machines[2].name)
		l.machines[2].Kill()
		time.Sleep(500 * time.Millisecond)
	}
	const inner = "00000000feedf11e"
	sent := map[string]bool{}
	foreign := 0
	for i := range 5 {
		// The file that the client uploads: a record of HTTP traffic, sent as one chunk.
		file := bytes.Repeat([]byte("x"), 65537)
		file = append(file, fmt.Sprintf("0\r\n\r\nPOST /pay/evil HTTP/1.1\r\nHost: %s\r\nPeardrift-Request-Id: %s\r\nPeardrift-Timeout-Ms: 3000\r\nContent-Length: 4\r\n\r\nevil", host, inner)...)
		file = append(file, bytes.Repeat([]byte("y"), 20000)...)
		id := newID()
		sent[id] = true
		c, err := dialNode(m)
		if err != nil {
			cannot("%v", err)
		}
		fmt.Fprintf(c, "POST /up/file%d HTTP/1.1\r\nHost: %s\r\nPeardrift-Request-Id: %s\r\nPeardrift-Timeout-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", i, host, id, len(file), file)
		r := c.Read("POST", 4*time.Second)
		l.log("client  sent id=%s POST /up/file%d, one chunk of %d bytes; answered %d, error %v", id, i, len(file), r.Status, r.Err)
		c.SetReadDeadline(time.Now().Add(time.Second))
		if r2 := c.Read("POST", time.Second); r2.Err == nil {
			l.log("client  got one more answer on the connection: %d %.80q", r2.Status, r2.Body)
		}
		c.Close()
	}
	time.Sleep(500 * time.Millisecond)
	for _, x := range l.Runs() {
		if x.ID == inner {
			foreign++
		}
	}
	l.verdict(foreign > 0, "%d requests ran at a backend whose id no client sent, out of 5 uploads", foreign)
}
