package wire

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/matryer/is"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

func TestMetaRoundTrip(t *testing.T) {
	is := is.New(t)
	in := Meta{
		Tenant: "khaosan", Class: "morning-feed", Importance: 40, Remaining: 1500 * time.Millisecond,
		Allowance: 2, Repeat: true, Depth: 3, RootKey: "k", Origin: "feed.khaosan",
		Service: "archive.khaosan", Route: "a;b%c d", Age: 250 * time.Millisecond, InProgress: true,
	}
	var h protocol.RequestHeader
	SetMeta(&h, &in)
	out, err := GetMeta(&h)
	is.NoErr(err)
	is.Equal(out, in)
}

// Guards against a call that a node of an earlier version can't send or read: the fields up
// to the organisation are the same, and the later ones may be missing.
func TestAgeAndProgressAreCompatible(t *testing.T) {
	is := is.New(t)
	var h protocol.RequestHeader
	SetMeta(&h, &Meta{Tenant: "khaosan", Class: "morning-feed", Organisation: "acme", Age: 250 * time.Millisecond, InProgress: true})
	sent := string(h.Peek(HeaderCall))
	earlier, ok := strings.CutSuffix(sent, ";250;1")
	is.True(ok)
	h.Set(HeaderCall, earlier)
	m, err := GetMeta(&h)
	is.NoErr(err)
	is.Equal(m, Meta{Tenant: "khaosan", Class: "morning-feed", Organisation: "acme"})
	h.Set(HeaderCall, earlier+";-1")
	_, err = GetMeta(&h)
	is.Equal(status.CodeOf(err), status.CodeProtocol)
}

func TestAnswerRoundTrip(t *testing.T) {
	is := is.New(t)
	in := Answer{
		Outcome: request.Refused, Code: status.CodeOverloaded, DownstreamCode: status.CodeNoTarget, Level: 7 << 16, ChainLevel: 9 << 16,
		Unspent: 1, AttemptsMade: 4, InFlight: 20, Limit: 25, Pushback: 1200 * time.Millisecond,
		Exempt: []request.Level{5 << 16, 0},
	}
	var h protocol.ResponseHeader
	SetAnswer(&h, &in)
	is.Equal(GetAnswer(&h), in)
}

// Guards against an answer that a node of an earlier or later version can't read: the
// fields before ClassTime must be the same with and without it, with and without
// exemptions, and without it nothing is added.
func TestClassTimeIsCompatible(t *testing.T) {
	is := is.New(t)
	for _, exempt := range [][]request.Level{nil, {5 << 16, 0}} {
		a := Answer{Outcome: request.Completed, InFlight: 20, Limit: 25, Exempt: exempt}
		var without, with protocol.ResponseHeader
		SetAnswer(&without, &a)
		earlier := string(without.Peek(HeaderReply))
		is.Equal(GetAnswer(&without), a)
		a.ClassTime = 71300 * time.Microsecond
		SetAnswer(&with, &a)
		is.Equal(GetAnswer(&with), a)
		later := string(with.Peek(HeaderReply))
		if exempt == nil {
			earlier += ";"
		}
		is.Equal(later, earlier+";713")
		with.Set(HeaderReply, later+";x;y") // of a later version
		is.Equal(GetAnswer(&with), a)
		with.Set(HeaderReply, earlier+";-3")
		is.Equal(GetAnswer(&with).ClassTime, time.Duration(0))
	}
}

// Guards against copying internal headers from external input, in any spelling: a
// caller could raise its own importance, allowance or depth.
func TestCopyRequestDropsInternalHeaders(t *testing.T) {
	is := is.New(t)
	var src, dst protocol.RequestHeader
	src.DisableNormalizing()
	src.SetMethod("GET")
	src.SetRequestURI("/a?b=c")
	src.SetHost("feed.khaosan")
	src.Set("X-Mine", "kept")
	src.Set("Connection", "X-Private, keep-alive")
	for _, name := range []string{
		"Peardrift-Importance", "peardrift-tenant", "PEARDRIFT-Anything", "Traceparent", "tracestate",
		"Baggage", "X-Private", "Keep-Alive", "Te", "Upgrade", "Expect",
	} {
		src.Set(name, "hostile")
	}
	new(Dialect).CopyRequest(&dst, &src)
	is.Equal(string(dst.Peek("X-Mine")), "kept")
	is.Equal(string(dst.RequestURI()), "/a?b=c")
	is.True(!strings.Contains(string(dst.Header()), "hostile"))
}

func TestCopyAnswerDropsInternalHeaders(t *testing.T) {
	is := is.New(t)
	var src, dst protocol.ResponseHeader
	src.SetStatusCode(201)
	SetAnswer(&src, &Answer{Outcome: request.Completed, Level: 1, Unspent: 3, Limit: 2})
	src.Set("Content-Type", "text/plain")
	new(Dialect).CopyAnswer(&dst, &src)
	is.Equal(dst.StatusCode(), 201)
	is.Equal(string(dst.ContentType()), "text/plain")
	is.Equal(len(dst.Peek(HeaderReply)), 0)
	is.Equal(GetAnswer(&dst), Answer{}) // claims nothing
}

// FuzzMeta checks that for any input the fields are in range or the failure is typed,
// and that an accepted Meta survives a round trip.
func FuzzMeta(f *testing.F) {
	f.Add("40", "1500", "2", "3")
	f.Add("-1", "99999999999", "x", "")
	f.Add("101", "0", "1025", "33")
	f.Fuzz(func(t *testing.T, importance, deadline, allowance, depth string) {
		var h protocol.RequestHeader
		h.Set(HeaderCall, strings.Join([]string{"t", "c", importance, deadline, allowance, "", depth, "o", "s", "r"}, ";"))
		m, err := GetMeta(&h)
		if err != nil {
			if status.CodeOf(err) != status.CodeProtocol {
				t.Fatalf("untyped failure %v", err)
			}
			return
		}
		if m.Importance > request.MaxImportance || m.Depth > MaxDepth || m.Remaining < 0 || m.Allowance < 0 {
			t.Fatalf("out of range: %+v", m)
		}
		var again protocol.RequestHeader
		SetMeta(&again, &m)
		if back, err := GetMeta(&again); err != nil || back != m {
			t.Fatalf("%+v came back as %+v, %v", m, back, err)
		}
	})
}

// FuzzAnswer checks that a malformed answer never claims more than "unknown".
func FuzzAnswer(f *testing.F) {
	f.Add("refused", "65536", "1/2", "65536,0")
	f.Add("Refused", "-1", "/", "1,,x")
	f.Fuzz(func(t *testing.T, outcome, level, load, exempt string) {
		var h protocol.ResponseHeader
		h.Set(HeaderReply, strings.Join([]string{outcome, "", "", level, "", "", "", load, load, "", exempt}, ";"))
		a := GetAnswer(&h)
		claimed, _, _ := strings.Cut(string(h.Peek(HeaderReply)), ";")
		if a.Outcome != request.Unknown && a.Outcome.String() != claimed {
			t.Fatalf("%q was read as %v", outcome, a.Outcome)
		}
		if a.Level > request.MaxPriority || a.InFlight < 0 || a.Limit < 0 {
			t.Fatalf("out of range: %+v", a)
		}
		if len(a.Exempt) > maxExempt || slices.ContainsFunc(a.Exempt, func(l request.Level) bool { return l > request.MaxPriority }) {
			t.Fatalf("out of range: %+v", a)
		}
	})
}
