// Command mix sends requests of many forms through nodes that are killed, stopped and
// frozen, to backends that answer soundly and not, and prints each request that ran twice,
// was changed, was refused although it ran, or got a foreign answer. With "term" as second
// argument backends are sound and nodes get SIGTERM only.
package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "review/standin/lib"
)

var runs sync.Map // id -> *int64
var wantSum sync.Map

type fb struct {
	id, service, addr string
	ln                net.Listener
	mode              *atomic.Int64
}

func pat(seed int64, n int) []byte {
	b := make([]byte, n)
	rand.New(rand.NewSource(seed)).Read(b)
	return b
}

func sumOf(b []byte) string { s := sha256.Sum256(b); return hex.EncodeToString(s[:8]) }

var bad atomic.Int64

var mode string

func (f *fb) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	var lastResp []byte
	_ = lastResp
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get("Peardrift-Request-Id")
		if w := req.Header.Get("Peardrift-Target-Instance"); w != f.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nPeardrift-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", f.id)
			return
		}
		m := rand.Intn(100)
		if mode != "term" && m < 8 { // shed before the body is read
			if rand.Intn(2) == 0 {
				io.Copy(io.Discard, req.Body)
			}
			fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nPeardrift-Request-Id: %s\r\nPeardrift-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			if rand.Intn(3) == 0 {
				go func() {
					time.Sleep(time.Duration(rand.Intn(30)) * time.Millisecond)
					fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nPeardrift-Request-Id: %s\r\nPeardrift-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
				}()
			}
			io.Copy(io.Discard, req.Body)
			continue
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		n, _ := runs.LoadOrStore(id, new(int64))
		k := atomic.AddInt64(n.(*int64), 1)
		if w, ok := wantSum.Load(id); !ok {
			fmt.Println("UNASKED", id, req.Method, req.RequestURI)
			bad.Add(1)
		} else if w.(string) != req.Method+" "+req.RequestURI+" "+sumOf(body) {
			fmt.Println("CHANGED", id, w, req.Method, req.RequestURI, sumOf(body), len(body))
			bad.Add(1)
		}
		if k > 1 && req.Method == "POST" {
			fmt.Println("TWICE", id)
			bad.Add(1)
		}
		time.Sleep(time.Duration(rand.Intn(40)) * time.Millisecond)
		if rand.Intn(30) == 0 {
			time.Sleep(400 * time.Millisecond)
		}
		var size int
		switch rand.Intn(4) {
		case 0:
			size = rand.Intn(200)
		case 1:
			size = rand.Intn(70000)
		case 2:
			size = rand.Intn(200000)
		default:
			size = []int{0, 1, 8191, 8192, 8193, 65535, 65536, 65537}[rand.Intn(8)]
		}
		out := pat(int64(len(id))*7+int64(size), size)
		h := fmt.Sprintf("HTTP/1.1 200 OK\r\nPeardrift-Request-Id: %s\r\nPeardrift-Response-Signature: %s.%s.%d\r\n", id, id, sumOf(out), size)
		if rand.Intn(20) == 0 {
			h += "Connection: close\r\n"
		}
		x := rand.Intn(100)
		if mode == "term" {
			x = rand.Intn(85)
		}
		switch {
		case x < 60:
			c.Write([]byte(h + fmt.Sprintf("Content-Length: %d\r\n\r\n", size)))
			c.Write(out)
		case x < 85:
			c.Write([]byte(h + "Transfer-Encoding: chunked\r\n\r\n"))
			for len(out) > 0 {
				n := min(len(out), 1+rand.Intn(30000))
				fmt.Fprintf(c, "%x\r\n", n)
				c.Write(out[:n])
				c.Write([]byte("\r\n"))
				out = out[n:]
			}
			c.Write([]byte("0\r\n\r\n"))
		case x < 89:
			c.Write([]byte(h + "\r\n"))
			c.Write(out)
			return
		case x < 92: // broken off
			c.Write([]byte(h + fmt.Sprintf("Content-Length: %d\r\n\r\n", size+5)))
			c.Write(out)
			return
		case x < 94: // broken chunked
			c.Write([]byte(h + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size+5)))
			c.Write(out)
			return
		case x < 95: // answer lost
			return
		default: // second answer, at once or late
			one := []byte(h + fmt.Sprintf("Content-Length: %d\r\n\r\n", size) + string(out))
			c.Write(one)
			time.Sleep(time.Duration(rand.Intn(30)) * time.Millisecond)
			c.Write(one)
		}
		if strings.Contains(h, "Connection: close") {
			return
		}
	}
}

func main() {
	Begin(os.Args[1])
	if len(os.Args) > 2 {
		mode = os.Args[2]
	}
	st := NewStore()
	st.Put("op", "config", Config(1, []string{"web", "feed"}, []Route{
		{Name: "r1", Host: "a.example", Prefix: "/safe/", Kind: "safe", Service: "feed", TimeoutMS: 3000},
		{Name: "r2", Host: "a.example", Prefix: "/unsafe/", Kind: "unsafe", Service: "feed", TimeoutMS: 3000},
		{Name: "r3", Host: "a.example", Prefix: "/up/", Kind: "upload", Service: "web", TimeoutMS: 3000},
	}))
	var ns []*Node
	for i, s := range []string{"web", "web", "feed", "feed", "feed"} {
		ln, _ := net.Listen("tcp", "127.0.0.1:0")
		f := &fb{id: fmt.Sprintf("i-%d", i), service: s, addr: ln.Addr().String(), ln: ln}
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go f.serve(c)
			}
		}()
		n := NewNode(st, fmt.Sprintf("sc-%d", i), []string{"bkk-a", "bkk-b"}[i%2], s, f.addr)
		n.Start()
		go func() {
			for q := 1; ; q++ {
				Report{ID: f.id, Service: s, Addr: f.addr, Zone: "bkk-a", State: "ready", Slots: 60, Seq: q}.Send(n.ControlAddr)
				time.Sleep(1500 * time.Millisecond)
			}
		}()
		ns = append(ns, n)
	}
	if !WaitReady(20*time.Second, ns...) {
		Cannot("not ready")
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	ends := map[string]int{}
	for w := 0; w < 60; w++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var c net.Conn
			var r *bufio.Reader
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				if c == nil {
					var err error
					c, err = net.DialTimeout("tcp", ns[rand.Intn(5)].Outbound, time.Second)
					if err != nil {
						c = nil
						time.Sleep(20 * time.Millisecond)
						continue
					}
					r = bufio.NewReader(c)
				}
				id := fmt.Sprintf("x%dx%dx%d", w, i, time.Now().UnixNano()%1000000)
				method, uri := "GET", "/safe/a?q="+id
				var body []byte
				k := rand.Intn(3)
				if k > 0 {
					method, uri = "POST", []string{"", "/unsafe/b", "/up/c"}[k]
					body = pat(int64(i), []int{0, 10, 5000, 8192, 9000, 30000, 65536, 65537, 120000, 300000}[rand.Intn(10)])
				}
				wantSum.Store(id, method+" "+uri+" "+sumOf(body))
				var b bytes.Buffer
				fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: a.example\r\nPeardrift-Request-Id: %s\r\nPeardrift-Timeout-Ms: 3000\r\n", method, uri, id)
				if body != nil && rand.Intn(3) == 0 {
					b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
					rest := body
					for len(rest) > 0 {
						n := min(len(rest), 1+rand.Intn(40000))
						fmt.Fprintf(&b, "%x\r\n", n)
						b.Write(rest[:n])
						b.WriteString("\r\n")
						rest = rest[n:]
					}
					b.WriteString("0\r\n\r\n")
				} else {
					if body != nil {
						fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
					}
					b.WriteString("\r\n")
					b.Write(body)
				}
				raw := b.Bytes()
				c.SetDeadline(time.Now().Add(5 * time.Second))
				quit := mode != "term" && rand.Intn(25) == 0
				if rand.Intn(4) == 0 && len(raw) > 100 { // in pieces
					cut := rand.Intn(len(raw))
					c.Write(raw[:cut])
					time.Sleep(time.Duration(rand.Intn(20)) * time.Millisecond)
					if quit {
						c.Close()
						c = nil
						continue
					}
					c.Write(raw[cut:])
				} else {
					c.Write(raw)
				}
				if quit {
					time.Sleep(time.Duration(rand.Intn(30)) * time.Millisecond)
					c.Close()
					c = nil
					continue
				}
				resp, err := http.ReadResponse(r, &http.Request{Method: method})
				end := "no answer"
				if err == nil {
					got, berr := io.ReadAll(resp.Body)
					sig := resp.Header.Get("Peardrift-Response-Signature")
					end = fmt.Sprint(resp.StatusCode)
					if resp.StatusCode == 200 {
						want := fmt.Sprintf("%s.%s.%d", id, sumOf(got), len(got))
						if berr != nil {
							end = "200 broken off"
						} else if sig != want {
							fmt.Println("MIXED", id, sig, want)
							bad.Add(1)
						}
					}
					if (resp.StatusCode == 503 || resp.StatusCode == 429) && method == "POST" {
						time.AfterFunc(1500*time.Millisecond, func() {
							if n, ok := runs.Load(id); ok {
								fmt.Println("REFUSED but ran", id, *n.(*int64))
								bad.Add(1)
							}
						})
					}
					if berr != nil || resp.Close || rand.Intn(10) == 0 {
						c.Close()
						c = nil
					}
				} else {
					c.Close()
					c = nil
					if n, ok := runs.Load(id); ok && mode == "term" {
						fmt.Println("LOST", id, *n.(*int64), err)
						bad.Add(1)
					}
				}
				mu.Lock()
				ends[method+" "+end]++
				mu.Unlock()
			}
		}()
	}
	for end := time.Now().Add(75 * time.Second); time.Now().Before(end); {
		time.Sleep(time.Duration(1500+rand.Intn(2000)) * time.Millisecond)
		n := ns[rand.Intn(5)]
		k := rand.Intn(4)
		if mode == "term" {
			k = 1
		}
		switch k {
		case 0:
			n.Kill()
			time.Sleep(300 * time.Millisecond)
			n.Start()
		case 1:
			n.Signal(syscall.SIGTERM)
			n.Wait(8 * time.Second)
			n.Kill()
			n.Start()
		case 2:
			n.Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(500+rand.Intn(4000)) * time.Millisecond)
			n.Signal(syscall.SIGCONT)
		}
	}
	close(stop)
	wg.Wait()
	time.Sleep(2 * time.Second)
	fmt.Println(ends, "bad", bad.Load())
	for _, n := range ns {
		if strings.Contains(n.Output(), "panic") || strings.Contains(n.Output(), "fatal error") {
			fmt.Println("PANIC in", n.Name)
			Log("output of %s: %s", n.Name, n.Output())
		}
	}
	End(0)
}
