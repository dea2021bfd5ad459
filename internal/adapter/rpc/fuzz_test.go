package rpc

import (
	"bytes"
	"math/rand/v2"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"peardrift/internal/core/member"
	"peardrift/internal/core/request"
)

// inputConn is a connection whose peer sent some bytes and closed it.
type inputConn struct {
	net.Conn
	in bytes.Reader
}

func (c *inputConn) Read(b []byte) (int, error)      { return c.in.Read(b) }
func (c *inputConn) SetReadDeadline(time.Time) error { return nil }
func (c *inputConn) Close() error                    { return nil }

func fuzzRecord(i int) member.Record {
	name := string(rune('a' + i))
	return member.Record{
		ID: request.TargetIDOf(name), Name: name, Service: "s.t", Region: "r",
		ControlAddr: "127.0.0.1:1", Incarnation: 100,
	}
}

func fuzzMember() *member.State {
	cfg := member.DefaultConfig()
	cfg.MaxMembers = 64
	s := member.New(cfg, fuzzRecord(0), rand.New(rand.NewPCG(1, 2)))
	var peers []*member.Record
	for i := range 4 {
		r := fuzzRecord(i + 1)
		peers = append(peers, &r)
	}
	s.AddAlive(peers)
	s.Join([]member.Peer{{ControlAddr: "127.0.0.1:1"}}, nil)
	return s
}

// FuzzExchange checks that no input makes a node panic, run out of memory, send a
// large reply or lose its own alive entry.
func FuzzExchange(f *testing.F) {
	for _, m := range fuzzSeeds() {
		var buf bytes.Buffer
		enc := msgpack.NewEncoder(&buf)
		enc.UseArrayEncodedStructs(true)
		enc.UseCompactInts(true)
		if err := enc.EncodeMulti(uint64(1), exchangeMethod, m); err != nil {
			f.Fatal(err)
		}
		f.Add(buf.Bytes())
	}
	// Changes announces 3,233,857,728 elements.
	f.Add([]byte("\x01\xafGossip.Exchange\xdc\x00\x17\x00\xc0\xc0\xc0\xc0\xc0\xc0\xc0\xc0\xc2\xc2\xdd\xc0\xc0\xc0\xc0\x90"))
	f.Fuzz(func(t *testing.T, data []byte) {
		conn := &inputConn{}
		conn.in.Reset(data)
		c := newCodec(conn, DefaultConfig(), time.Minute)
		m := &member.Message{}
		if c.ReadRequestHeader(&rpc.Request{}) != nil || c.ReadRequestBody(m) != nil {
			return
		}
		exchangeAll(t, m)
	})
}

// exchangeAll passes a message to a member as a request and as a reply.
func exchangeAll(t *testing.T, m *member.Message) {
	const maxReply = 8 << 10
	s := fuzzMember()
	now := time.Second
	for _, a := range s.Tick(now) {
		if x, ok := a.(member.Exchange); ok {
			s.HandleReply(now, x.To, m)
		}
	}
	for range 3 {
		now += 3 * time.Second
		if r := s.HandleRequest(now, m); r != nil && r.Size() > maxReply {
			t.Fatalf("reply of %d bytes", r.Size())
		}
		s.Tick(now)
		s.Snapshot()
	}
	if self, ok := s.Lookup(s.ID()); !ok || self.Status != member.Alive || self.Incarnation != s.Incarnation() {
		t.Fatalf("own entry %+v, incarnation %d", self, s.Incarnation())
	}
}

func fuzzSeeds() []*member.Message {
	rec := fuzzRecord(2)
	return []*member.Message{
		sampleMessage(2),
		{Kind: member.Join, From: rec.ID, Incarnation: 100, Records: []*member.Record{&rec}, Services: []request.Service{"s.t"}},
		{Kind: member.Pull, From: 7, After: 9, ReplyItemBytes: 1 << 30},
		{Kind: member.QueryObserver, From: 7, SilenceReports: []member.SilenceReport{{Subject: rec.ID, Incarnation: 100, Silence: 1 << 31}}},
		{Kind: member.Probe, From: rec.ID, Changes: []member.Change{{ID: fuzzRecord(0).ID, Incarnation: 1<<32 - 1, Status: member.Dead}}},
		{From: 7, WantedRecords: []request.TargetID{rec.ID}, Deaths: []member.Death{{ID: uint32(rec.ID >> 32), Incarnation: 100}}, AckedSeq: 1},
		{From: 7, Recoveries: member.Recoveries{{ID: uint32(rec.ID >> 32), Incarnation: 1<<32 - 1}}, Piggyback: []byte{0xdd, 0xff}},
		{Kind: member.Pull, From: 7, Packed: []byte{0x03, 0x00}, More: true},
		{From: 7, Digests: []member.Digest{{Sums: make([]uint32, 16)}, {Prefix: 1 << 31, Depth: 9}}},
		{From: 7, Leaves: []member.Leaf{{Prefix: 3, Depth: 1, Changes: []member.Change{{ID: 1}}, Facts: []member.FactHead{{Kind: 1}}}}},
		{From: 7, Facts: []member.Fact{{Kind: 1, Key: 1, Version: 1<<64 - 1, Value: make([]byte, 64)}}},
	}
}
