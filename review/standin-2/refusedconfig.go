package main

import (
	"fmt"
	"time"
)

func init() { cases["config"] = refusedConfig }

// refusedConfig: the operator writes a version in which a tenant holds 65 keys and another one
// has lost a key, later one in which a route is dropped and two hosts have a route of the same
// name each, and then one in which the last route is dropped. All must be in force within
// config_apply_ms.
func refusedConfig() {
	keys := func(n int) []string {
		var out []string
		for i := range n {
			out = append(out, fmt.Sprintf("acme-key-%03d", i))
		}
		return out
	}
	version := func(v, acme int, beta []string, paths []obj) obj {
		c := config(v, host, []obj{service("read")}, paths)
		c["tenants"] = []obj{
			{"name": "acme", "api_keys": keys(acme), "priority": 1, "rate_per_s": 0, "burst": 0},
			{"name": "beta", "api_keys": beta, "priority": 1, "rate_per_s": 0, "burst": 0},
		}
		return c
	}
	read, other := route("r-read", "/read/", "safe", "read", 5000), route("r-other", "/other/", "safe", "read", 5000)
	tenants = true
	l := newLab(version(7, 60, []string{"beta-1", "beta-2"}, []obj{read, other}), place{"bkk-a", "read"}, place{"bkk-b", "read"})
	send := func(what, key string, n int) (ran int) {
		before, codes := len(l.Runs()), map[int]int{}
		for i := range n {
			id := newID()
			r := l.machines[i%2].once("GET", host, "/read/page", id, 2*time.Second, "Authorization: Token "+key+"\r\n", nil)
			l.log("client  on %s sent id=%s GET /read/page with the key %s: %d, error %v", l.machines[i%2].name, id, key, r.Status, r.Err)
			codes[r.Status]++
			time.Sleep(20 * time.Millisecond)
		}
		ran = len(l.Runs()) - before
		l.log("%s: %d of %d ran, statuses %v", what, ran, n, codes)
		return ran
	}
	for end := time.Now().Add(15 * time.Second); send("start", "beta-2", 4) < 4; time.Sleep(200 * time.Millisecond) {
		if time.Now().After(end) {
			cannot("requests are not served at the start")
		}
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	send("version 7, key beta-2", "beta-2", 20)
	most, routes := 65, []obj{}
	if !l.trouble {
		most, routes = 63, []obj{other}
	}
	l.store.PutConfig(version(9, most, []string{"beta-1"}, []obj{read, other}))
	l.log("operator writes version 9, acknowledged: acme holds %d keys, beta-2 is taken away", most)
	time.Sleep(4 * time.Second) // config_apply_ms is 2,000
	revoked := send("version 9, key beta-2, taken away", "beta-2", 50)
	added := send("version 9, the last key added", keys(most)[most-1], 20)
	name := "r-main"
	if !l.trouble {
		name = "r-main-2"
	}
	two := version(12, 60, []string{"beta-1"}, []obj{route("r-main", "/main/", "safe", "read", 5000)})
	two["virtual_hosts"] = append(two["virtual_hosts"].([]obj), obj{"host": "jepu9.example", "paths": []obj{route(name, "/main/", "safe", "read", 5000)}})
	l.store.PutConfig(two)
	l.log("operator writes version 12, acknowledged: /read/ is dropped, two hosts have the routes r-main and %s", name)
	time.Sleep(6 * time.Second)
	moved := send("version 12, route /read/ dropped", "beta-1", 50)
	l.store.PutConfig(version(15, 60, []string{"beta-1"}, []obj{read}))
	l.log("operator writes version 15, acknowledged: /read/ is back")
	time.Sleep(6 * time.Second)
	send("version 15, route /read/ is back", "beta-1", 20)
	l.store.PutConfig(version(19, 60, []string{"beta-1"}, routes))
	l.log("operator writes version 19, acknowledged: %d routes, /read/ is dropped", len(routes))
	time.Sleep(6 * time.Second)
	dropped := send("version 19, route /read/ dropped", "beta-1", 50)
	two["version"] = 22
	two["virtual_hosts"].([]obj)[0]["paths"] = []obj{read, route("r-main", "/main/", "safe", "read", 5000)}
	l.store.PutConfig(two)
	l.log("operator writes version 22, acknowledged: /read/ is back, two hosts have the routes r-main and %s; then the final fault, SIGKILL of all nodes", name)
	for _, m := range l.machines {
		m.Kill()
	}
	time.Sleep(500 * time.Millisecond)
	for _, m := range l.machines {
		m.Restart()
	}
	time.Sleep(16 * time.Second) // recovery_s is 15
	served := send("16 s after the machines are back", "beta-1", 50)
	l.verdict(revoked+moved+dropped > 0, "from 6 s after each ack %d of 50 requests ran with a key that was taken away, %d of 20 with an added key, %d of 50 on a route dropped beside two of one name, %d of 50 on the last route, dropped (config_apply_ms is 2000, revoke_ms 5000); besides, 16 s after a final fault %d of 50 were served", revoked, added, moved, dropped, served)
}
