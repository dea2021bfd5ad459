package rpc

import (
	"bytes"
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"peardrift/internal/core/member"
	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// echo returns its argument.
type echo struct{}

func (echo) Say(in *string, out *string) error {
	if *in == "bad" {
		return status.New(status.CodeMalformed, "bad")
	}
	*out = *in
	return nil
}

func startServer(t *testing.T, cfg Config, handle func(*member.Message) *member.Message) (addr string, meter *Meter) {
	t.Helper()
	is := is.New(t)
	meter = &Meter{}
	s := NewServer(cfg, meter)
	is.NoErr(s.Register("Echo", echo{}))
	is.NoErr(s.Register(GossipName, NewGossipService(handle)))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	t.Cleanup(func() {
		s.Close()
		is.NoErr(<-served)
	})
	return ln.Addr().String(), meter
}

func newPool(t *testing.T, cfg Config) *Pool {
	p := NewPool(cfg, &Meter{})
	t.Cleanup(p.Close)
	return p
}

func timeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestCallsShareAConnection(t *testing.T) {
	is := is.New(t)
	addr, _ := startServer(t, DefaultConfig(), nil)
	p := newPool(t, DefaultConfig())
	ctx := timeout(t, 10*time.Second)
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			in, out := "hello", ""
			if err := p.Call(ctx, addr, "Echo.Say", &in, &out); err != nil || out != in {
				t.Errorf("got %q, %v", out, err)
			}
		})
	}
	wg.Wait()
	is.Equal(len(p.clients), 1)
	in, out := "bad", ""
	err := p.Call(ctx, addr, "Echo.Say", &in, &out)
	is.Equal(status.CodeOf(err), status.CodeProtocol)
	is.Equal(len(p.clients), 1) // an error reply keeps the connection open
	is.NoErr(p.CallOnce(ctx, addr, "Echo.Say", ptr("once"), &out))
	is.Equal(out, "once")
	p.Drop(addr)
	is.Equal(len(p.clients), 0)
	is.NoErr(p.CallOnce(ctx, addr, "Echo.Say", ptr("again"), &out))
	is.Equal(len(p.clients), 0)
}

func ptr[T any](v T) *T { return &v }

func TestMessageRoundTrip(t *testing.T) {
	is := is.New(t)
	in := sampleMessage(3)
	addr, meter := startServer(t, DefaultConfig(), func(m *member.Message) *member.Message { return m })
	p := newPool(t, DefaultConfig())
	out := &member.Message{}
	is.NoErr(p.Call(timeout(t, 10*time.Second), addr, exchangeMethod, in, out))
	is.Equal(in, out)
	is.True(meter.Total() > int64(2*in.Size()*8/10))
	is.True(meter.TakeBytes() > 0)
	is.Equal(meter.TakeBytes(), 0)
}

func sampleMessage(n int) *member.Message {
	m := &member.Message{
		Kind: member.Heartbeat, From: 1 << 63, Incarnation: 200_000_000, Seq: 70000, AckedSeq: 69999,
		StateDigest: 1 << 62, ReplyItemBytes: 800,
	}
	for i := range n {
		id := request.TargetID(uint64(i+1) * 0x9e3779b97f4a7c15)
		m.Changes = append(m.Changes, member.Change{ID: id, Incarnation: 200_000_000, Status: member.Leaving, BodyDigest: 70000})
		m.Deaths = append(m.Deaths, member.Death{ID: uint32(id >> 32), Incarnation: 50000})
		m.Facts = append(m.Facts, member.Fact{Kind: member.ConfigHead, Key: 1, Version: uint64(i), Value: []byte("12345678")})
		m.Records = append(m.Records, &member.Record{
			ID: id, Name: "archive-1.khaosan", Service: "archive.khaosan", Tenant: "khaosan", Zone: "bkk-a",
			Region: "bkk", DataAddr: "10.12.13.14:8080", ControlAddr: "10.12.13.14:8081", Incarnation: 200_000_000, Slots: 130, Connections: 850,
		})
		m.SilenceReports = append(m.SilenceReports, member.SilenceReport{Subject: id, Incarnation: 200_000_000, Silence: 6000})
		m.WantedRecords = append(m.WantedRecords, id)
		m.Digests = append(m.Digests, member.Digest{Prefix: 1, Depth: 1, Sums: slices.Repeat([]uint32{1 << 30}, 16)})
		m.Leaves = append(m.Leaves, member.Leaf{Prefix: 1, Depth: 2, Changes: m.Changes[:1]})
	}
	return m
}

// TestUnresponsiveConnectionIsReplaced guards against permanent timeouts to a live peer: a
// middlebox drops the state of an established connection while new ones work.
// The pool must close the connection and dial again on the next call.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	addr, _ := startServer(t, DefaultConfig(), nil)
	p := newPool(t, DefaultConfig())
	silent := true
	dial := p.dial
	p.dial = func(ctx context.Context, addr string) (net.Conn, error) {
		if !silent {
			return dial(ctx, addr)
		}
		silent = false
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, far) }() // reads requests, never replies
		return near, nil
	}
	var out string
	err := p.Call(timeout(t, 50*time.Millisecond), addr, "Echo.Say", ptr("hello"), &out)
	is.Equal(status.CodeOf(err), status.CodeDeadlineExceeded)
	is.NoErr(p.Call(timeout(t, 10*time.Second), addr, "Echo.Say", ptr("hello"), &out))
	is.Equal(out, "hello")
}

func TestCallUnreachablePeer(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := ln.Addr().String()
	is.NoErr(ln.Close())
	p := newPool(t, DefaultConfig())
	err = p.Call(timeout(t, 10*time.Second), addr, "Echo.Say", ptr("x"), ptr(""))
	is.Equal(status.CodeOf(err), status.CodeConnectionLost)
	is.Equal(len(p.clients), 0)
}

// TestOversizedMessage guards against memory exhaustion: a faulty peer sends an
// endless body that the codec buffers. The connection must be closed at the limit.
func TestOversizedMessage(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.MaxMessage = 4 << 10
	addr, _ := startServer(t, cfg, nil)
	p := newPool(t, DefaultConfig())
	big := string(make([]byte, 64<<10))
	err := p.Call(timeout(t, 10*time.Second), addr, "Echo.Say", &big, ptr(""))
	is.True(err != nil)
	is.NoErr(p.Call(timeout(t, 10*time.Second), addr, "Echo.Say", ptr("hello"), ptr("")))
}

func TestActionExecutorReportsOutcomes(t *testing.T) {
	is := is.New(t)
	peer := member.New(member.DefaultConfig(), *sampleMessage(1).Records[0], nil)
	addr, _ := startServer(t, DefaultConfig(), func(m *member.Message) *member.Message {
		return peer.HandleRequest(time.Second, m)
	})
	outcomes := make(chan func(*member.State, time.Duration), 2)
	p := newPool(t, DefaultConfig())
	c := NewActionExecutor(p,
		func(f func()) error { go f(); return nil },
		func(f func(*member.State, time.Duration)) { outcomes <- f })
	s := member.New(member.DefaultConfig(), member.Record{ID: 5, ControlAddr: "127.0.0.1:1", Incarnation: 1}, nil)
	probe := &member.Message{Kind: member.Probe, From: 5, Incarnation: 1}
	c.Execute([]member.Action{
		member.Exchange{To: member.Peer{ControlAddr: addr}, Msg: probe, Timeout: 5 * time.Second, Once: true},
		member.Exchange{To: member.Peer{ControlAddr: "127.0.0.1:1"}, Msg: probe, Timeout: 5 * time.Second},
	})
	for range 2 {
		(<-outcomes)(s, 2*time.Second)
	}
	is.Equal(s.Stats().Failures, uint64(1))
	is.Equal(len(p.clients), 0)
}

// TestSizeIsUpperBound guards the bandwidth budget: members size messages by
// Message.Size, so a value below the encoded size would exceed it unnoticed.
func TestSizeIsUpperBound(t *testing.T) {
	is := is.New(t)
	for n := range 6 {
		m := sampleMessage(n)
		var buf bytes.Buffer
		enc := msgpack.NewEncoder(&buf)
		enc.UseArrayEncodedStructs(true)
		enc.UseCompactInts(true)
		is.NoErr(enc.Encode(m))
		is.True(buf.Len() <= m.Size())
		is.True(m.Size() <= buf.Len()*13/10)
	}
}
