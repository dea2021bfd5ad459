package rpc

import (
	"bytes"
	"encoding/gob"
	"net"
	"net/rpc"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"peardrift/internal/core/member"
)

type encoder interface{ Encode(any) error }

type decoder interface{ Decode(any) error }

// BenchmarkCodec compares size and time of an idle heartbeat and one with three
// of each kind of item, on an established connection.
func BenchmarkCodec(b *testing.B) {
	for _, items := range []int{0, 3} {
		name := "rest"
		if items > 0 {
			name = "items"
		}
		b.Run("gob/"+name, func(b *testing.B) {
			var buf bytes.Buffer
			benchCodec(b, &buf, gob.NewEncoder(&buf), gob.NewDecoder(&buf), sampleMessage(items))
		})
		b.Run("msgpack/"+name, func(b *testing.B) {
			var buf bytes.Buffer
			enc := msgpack.NewEncoder(&buf)
			enc.UseArrayEncodedStructs(true)
			enc.UseCompactInts(true)
			benchCodec(b, &buf, enc, msgpack.NewDecoder(&buf), sampleMessage(items))
		})
	}
}

func benchCodec(b *testing.B, buf *bytes.Buffer, enc encoder, dec decoder, m *member.Message) {
	var bytesEach int
	b.ReportAllocs()
	for b.Loop() {
		if err := enc.Encode(m); err != nil {
			b.Fatal(err)
		}
		bytesEach = buf.Len()
		if err := dec.Decode(&member.Message{}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytesEach), "bytes/msg")
}

// BenchmarkCall measures an exchange over loopback and its bytes at one end.
func BenchmarkCall(b *testing.B) {
	meter := &Meter{}
	s := NewServer(DefaultConfig(), &Meter{})
	if err := s.Register(GossipName, NewGossipService(func(m *member.Message) *member.Message { return m })); err != nil {
		b.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = s.Serve(ln) }()
	defer s.Close()
	p := NewPool(DefaultConfig(), meter)
	defer p.Close()
	m := sampleMessage(0)
	for b.Loop() {
		if err := p.Call(b.Context(), ln.Addr().String(), exchangeMethod, m, &member.Message{}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(meter.Total())/float64(b.N), "wire-bytes/op")
}

// BenchmarkGobCall is BenchmarkCall with net/rpc's gob codec, for comparison.
func BenchmarkGobCall(b *testing.B) {
	meter := &Meter{}
	s := rpc.NewServer()
	if err := s.RegisterName(GossipName, NewGossipService(func(m *member.Message) *member.Message { return m })); err != nil {
		b.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go s.Accept(ln)
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	client := rpc.NewClient(newMeteredConn(conn, meter))
	defer func() { _ = client.Close() }()
	m := sampleMessage(0)
	for b.Loop() {
		if err := client.Call(exchangeMethod, m, &member.Message{}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(meter.Total())/float64(b.N), "wire-bytes/op")
}
