package e2e_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/bench/standin/target"
	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
)

// threeServices returns the configuration of the chain feed -> archive -> media.
func threeServices() *configset.Index { return threeServicesWithin(2 * time.Second) }

func threeServicesWithin(deadline time.Duration) *configset.Index {
	class := func(name string) []configset.Class {
		return []configset.Class{
			{Name: request.Class(name), Path: "/", Importance: 10, Deadline: deadline, Attempts: 2, MaxBody: 64 << 20},
			{Name: "pay", Method: "POST", Path: "/pay", Importance: 90, Deadline: deadline, AtMostOnce: true, KeyRetention: time.Hour, MaxBody: 1 << 10},
		}
	}
	return configset.NewIndex(configset.Set{Tenant: "khaosan", Version: 1, Share: 1, Services: []configset.Service{
		{Name: "feed", Slots: 25, Connections: 250, Classes: class("feed-read")},
		{Name: "archive", Slots: 130, Connections: 850, Classes: class("lookup")},
		{Name: "media", Slots: 190, Connections: 1250, Classes: class("media")},
	}})
}

func chainConfig(svc string, size int, calls ...target.Call) target.Config {
	cfg := target.DefaultConfig(svc)
	cfg.ServiceTime = time.Millisecond
	cfg.Routes = []target.Route{{Prefix: "/", Size: size, Calls: calls}}
	return cfg
}

func startChain(t *testing.T) *cluster {
	c := newCluster(t, threeServices())
	c.startChain(500_000)
	return c
}

// startChain starts one host of each service; media's answers have size bytes.
func (c *cluster) startChain(size int) {
	c.addHost("feed-1", chainConfig("feed.khaosan", 10, target.Call{Service: "archive.khaosan", Path: "/a", Required: true}), nil)
	c.addHost("archive-1", chainConfig("archive.khaosan", 10, target.Call{Service: "media.khaosan", Path: "/m", Required: true}), nil)
	c.addHost("media-1", chainConfig("media.khaosan", size), nil)
	c.publish()
}

func call(t *testing.T, c *cluster, method, host, path, mark string, hdr map[string]string, body io.Reader) (*http.Response, []byte) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+c.hosts[0].entry.Addr()+path, body)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = host
	req.Header.Set("X-Mark", mark)
	for k, v := range hdr {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, b
}

func TestWholeAnswerThroughThreeServices(t *testing.T) {
	is := is.New(t)
	c := startChain(t)
	for _, mark := range []string{"one", "two", "three"} {
		resp, b := call(t, c, "GET", "feed.khaosan", "/x", mark, nil, nil)
		is.Equal(resp.StatusCode, 200)
		is.Equal(resp.Header.Get("Peardrift-Outcome"), "completed")
		_, err := target.Verify(b, mark)
		is.NoErr(err)
	}
	is.True(c.hosts[2].target.Counters().Finished == 3)
}

func TestUploadIsStreamed(t *testing.T) {
	is := is.New(t)
	c := startChain(t)
	body := bytes.Repeat([]byte("x"), 3<<20)
	resp, _ := call(t, c, "POST", "media.khaosan", "/up", "m", nil, bytes.NewReader(body))
	is.Equal(resp.StatusCode, 200)
	resp, b := call(t, c, "POST", "media.khaosan", "/pay", "m", map[string]string{"Idempotency-Key": "k"}, strings.NewReader(strings.Repeat("y", 2000)))
	is.Equal(resp.StatusCode, 413)
	is.True(strings.Contains(string(b), "request-too-large"))
}

func TestRefusalsAreTyped(t *testing.T) {
	is := is.New(t)
	c := startChain(t)
	for _, tt := range []struct {
		host, method, path, code string
		status                   int
	}{
		{"nowhere.khaosan", "GET", "/", "unknown-service", 404},
		{"feed.khaosan", "POST", "/pay", "idempotency-key-missing", 400},
	} {
		resp, b := call(t, c, tt.method, tt.host, tt.path, "m", nil, nil)
		is.Equal(resp.StatusCode, tt.status)
		is.Equal(resp.Header.Get("Content-Type"), "application/problem+json")
		is.Equal(resp.Header.Get("Peardrift-Outcome"), "refused")
		is.True(strings.Contains(string(b), tt.code))
	}
}

// Guards against a service being refused with "no-target" permanently: its targets
// restart after a crash, meanwhile their nodes refuse calls as not ready, and
// callers take that for a leaving target, which stays excluded until its node ends.
func TestTargetIsCalledAgainOnceReady(t *testing.T) {
	is := is.New(t)
	c := startChain(t)
	c.hosts[2].targetDown = true
	c.publish()
	resp, _ := call(t, c, "GET", "media.khaosan", "/m", "down", nil, nil)
	is.Equal(resp.Header.Get("Peardrift-Outcome"), "refused")
	c.hosts[2].targetDown = false
	c.publish()
	await(t, "the target is called again", func() bool {
		resp, _ := call(t, c, "GET", "media.khaosan", "/m", "up", nil, nil)
		return resp.Header.Get("Peardrift-Outcome") == "completed"
	})
}

// Guards against an upload ending as unknown, or its remainder being accepted as
// the whole body: a leaving target refuses it after part of the body has been sent,
// and the upload is retried on another target although that part is gone.
func TestRefusedUploadIsNotRetried(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, threeServices())
	c.addHost("feed-1", chainConfig("feed.khaosan", 10), nil)
	for n := range 2 {
		c.addHost(fmt.Sprintf("media-%d", n), chainConfig("media.khaosan", 10), nil)
	}
	c.hosts[1].targetLeaving = true
	refused := 0
	for n := range 20 {
		c.publish() // resets what other nodes have learned about the target
		to, err := c.sendQuery(c.hosts[0], query{method: "POST", host: "media.khaosan", path: "/m", body: 300_000}, fmt.Sprint("mark-", n))
		is.NoErr(err)
		if to.outcome == "refused" {
			is.Equal(to.code, "draining")
			refused++
			continue
		}
		is.Equal(to.outcome, "completed")
	}
	is.True(refused > 0)
}
