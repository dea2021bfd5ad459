package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["drain"] = drain }

// drain: a leave that was acknowledged while the store was down binds the node also after it
// and the others were killed and started again.
func drain() {
	l := newLab(stdConfig(), place{"bkk-a", "pay"}, place{"bkk-b", "pay"}, place{"bkk-c", "pay"})
	l.Warm("/pay/w")
	for _, m := range l.machines {
		m.Backend.Handle = func(b *Backend, w http.ResponseWriter, r *http.Request, _ []byte) {
			time.Sleep(300 * time.Millisecond)
			answer(w, 200, []byte("done "+r.Header.Get("Peardrift-Request-Id")))
		}
	}
	m := l.machines[1]
	b := m.Backend
	time.Sleep(4 * time.Second)
	late := b.nextSeq() // a heartbeat that is sent now and arrives late
	b.StopBeat()
	l.log("backend %s sends heartbeat seq=%d state=ready, which is held up on its way", b.ID, late)
	if l.trouble {
		l.log("trouble: the store answers 503")
		l.store.SetDown(true)
		time.Sleep(500 * time.Millisecond)
	}
	var acked time.Time
	for end := time.Now().Add(6 * time.Second); acked.IsZero() && time.Now().Before(end); {
		at := time.Now()
		code := b.Deregister()
		l.log("backend %s deregisters at its node: %d after %v", b.ID, code, time.Since(at).Round(time.Millisecond))
		if code == 200 {
			acked = time.Now()
		} else {
			time.Sleep(200 * time.Millisecond)
		}
	}
	if acked.IsZero() {
		l.store.SetDown(false)
		l.verdict(false, "the leave was not acknowledged, so it binds nobody")
	}
	if l.trouble {
		l.log("trouble: SIGKILL of all nodes")
		for _, x := range l.machines {
			x.Kill()
		}
		time.Sleep(500 * time.Millisecond)
		l.store.SetDown(false)
		l.log("the store serves again, the nodes start again")
		for _, x := range l.machines {
			x.Restart()
		}
	}
	time.Sleep(time.Until(acked.Add(3500 * time.Millisecond)))
	l.log("the heartbeat seq=%d state=ready of %s arrives: %d", late, b.ID, b.Report("ready", late))
	time.Sleep(3500 * time.Millisecond) // the machines are in touch from here on
	calm := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for i := range 160 {
		if i == 80 {
			l.log("backend %s exits, %v after its leave was acknowledged", b.ID, time.Since(acked).Round(time.Millisecond))
			b.srv.Close()
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			id, m := newID(), l.machines[i%3]
			r := m.once("POST", host, "/pay/x", id, 3*time.Second, "", []byte("order"))
			l.log("client  on %s sent id=%s POST /pay/x: %d, error %v", m.name, id, r.Status, r.Err)
			if r.Err != nil || r.Status == 502 || r.Status == 504 {
				mu.Lock()
				lost++
				mu.Unlock()
			}
		}()
		time.Sleep(25 * time.Millisecond)
	}
	wg.Wait()
	n, first := 0, time.Duration(0)
	for _, r := range l.Runs() {
		if r.Backend == b.ID && r.At.After(calm) {
			if n++; n == 1 {
				first = r.At.Sub(acked)
			}
		}
	}
	l.verdict(n > 0, "of 160 unsafe requests %d ran at %s, the first %v after its leave was acknowledged (drain_ms is 2000); %d were lost when it exited", n, b.ID, first.Round(time.Millisecond), lost)
}
