package rpc

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/claims/sharedrows"
	"peardrift/internal/core/claim/batch"
)

// startClaims serves claims with serve and returns a client, the server's address
// and its meter.
func startClaims(t *testing.T, serve func(context.Context, *sharedrows.Op) sharedrows.Answer) (*ClaimPeers, string, *Meter) {
	is, meter := is.New(t), &Meter{}
	s := NewServer(DefaultConfig(), meter)
	is.NoErr(s.Register(ClaimsName, NewClaimsService(serve, meter)))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = s.Serve(ln) }()
	p := NewClaimPeers(DefaultConfig())
	t.Cleanup(func() {
		p.Close()
		s.Close()
	})
	return p, ln.Addr().String(), meter
}

func TestClaimRoundTrip(t *testing.T) {
	is := is.New(t)
	want := sharedrows.Op{
		Row: "claims/1/1", Start: 64, Key: "\x00\xff23456789abcdef", IfVersion: 1, Token: "\x80\x81",
		Value: []byte{1, 2}, Expires: time.Hour, Deferrable: true, Timeout: time.Second,
	}
	answer := sharedrows.Answer{Result: batch.OK, Version: 2, Token: "\xfe", Value: []byte{3}}
	got := make(chan sharedrows.Op, 1)
	p, addr, meter := startClaims(t, func(_ context.Context, op *sharedrows.Op) sharedrows.Answer {
		got <- *op
		return answer
	})
	for _, nodes := range []int{maxPooledNodes, maxPooledNodes + 1} {
		p.SetNodeCount(nodes)
		ans, err := p.Submit(timeout(t, 10*time.Second), addr, &want)
		is.NoErr(err)
		is.Equal(ans, answer)
		is.Equal(<-got, want)
	}
	is.True(meter.Total() > int64(meter.TakeBytes())+200) // claims are excluded from the membership budget
}

// Guards against a data race or a mixed answer: the answer arrives as its sender
// times out, and is returned while the connection's goroutine still writes it.
func TestLateAnswerIsDiscarded(t *testing.T) {
	is := is.New(t)
	p, addr, _ := startClaims(t, func(context.Context, *sharedrows.Op) sharedrows.Answer {
		time.Sleep(time.Millisecond)
		return sharedrows.Answer{Result: batch.OK, Version: 1, Token: "t", Value: []byte{1}}
	})
	for range 300 {
		ctx, cancel := context.WithTimeout(t.Context(), 1300*time.Microsecond)
		ans, err := p.Submit(ctx, addr, &sharedrows.Op{Row: "row"})
		cancel()
		is.Equal(err != nil, ans.Result != batch.OK) // an error comes with a zero answer
		is.Equal(err != nil, ans.Version == 0)
	}
}
