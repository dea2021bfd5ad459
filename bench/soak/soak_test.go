package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/bench/harness/harnesstest"
	"peardrift/bench/standin/client"
)

func TestMain(m *testing.M) { harnesstest.Main(m) }

// Guards against faults that overlap breaking what callers are told: a request that runs
// twice, an answer of another request, a false "not run", a node that doesn't stop.
func TestShortSoak(t *testing.T) {
	_, bins := harnesstest.Programs(t)
	r, err := Run(t.Context(), bins, Config{Seed: 1, Load: 4 * time.Second})
	if err != nil {
		t.Fatalf("%v\n%v%v\nlogs in %s", err, r.Plan, r.Requests, r.Dir)
	}
	t.Log(r.Requests)
}

// Guards against a failure that its seed doesn't repeat, and events that outlast the load or
// restart a node that another event has stopped.
func TestPlansRepeatAndEnd(t *testing.T) {
	is := is.New(t)
	hosts := []string{"a", "b", "c", "d", "e", "f", "g"}
	for seed := range uint64(200) {
		p := NewPlan(seed, 8*time.Second, hosts, services)
		is.Equal(p, NewPlan(seed, 8*time.Second, hosts, services))
		seen, stopped := map[Kind]bool{}, map[string]bool{}
		for _, e := range p.Events {
			seen[e.Kind] = true
			is.True(e.At >= 0 && e.For > 0 && e.At+e.For <= p.Load)
			switch e.Kind {
			case Terminate, Crash, Suspend, Cut:
				is.True(!stopped[e.Host])
				stopped[e.Host] = true
			}
		}
		is.Equal(len(seen), len(kinds))
	}
}

// Guards against checks that accept what they are there to find.
func TestChecksFail(t *testing.T) {
	is := is.New(t)
	p := Plan{Events: []Event{{Kind: Suspend, At: time.Second, For: time.Second}}}
	attempt := func(class string, r client.Result, took time.Duration) client.Attempt {
		return client.Attempt{Class: class, Result: r, Latency: took}
	}
	ran := runCounts{"mid.soak": 1}
	is.NoErr(checkAttempt(attempt("read", client.Completed, time.Second), ran, p, 0))
	is.True(checkAttempt(attempt("read", client.Completed, time.Second), nil, p, 0) != nil)
	is.True(checkAttempt(attempt("read", client.Wrong, time.Second), ran, p, 0) != nil)
	is.True(checkAttempt(attempt("read", client.Partial, time.Second), ran, p, 0) != nil)
	held := attempt("read", client.Unknown, deadline+holdSlack+time.Second/2)
	is.NoErr(checkAttempt(held, ran, p, 0)) // meanwhile a node was suspended
	is.True(checkAttempt(held, ran, p, 2*time.Second) != nil)
	is.NoErr(checkRequest(attempt("pay", client.Completed, 0), ran))
	is.True(checkRequest(attempt("pay", client.Refused, 0), ran) != nil)
	is.True(checkRequest(attempt("pay", client.Completed, 0), runCounts{"mid.soak": 2}) != nil)
	is.True(checkRequest(attempt("note", client.Completed, 0), runCounts{"deep.soak": 2}) != nil)
	is.NoErr(checkRequest(attempt("read", client.Completed, 0), runCounts{"deep.soak": 2}))
}
