package claim

import (
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

const t0 = 1_000_000 * time.Second

func testRequest(token string) Request {
	return Request{Token: token, Fingerprint: Fingerprint("POST", "/pay", Sum([]byte("1"))), Deadline: t0 + time.Second}
}

// startedAttempt returns an attempt whose first claim write is in flight.
func startedAttempt(token string) *Attempt {
	a := New(DefaultConfig(), testRequest(token))
	a.Step(t0, Begin{})
	return &a
}

func TestAnswersByRow(t *testing.T) {
	req := testRequest("other")
	held := Row{Version: 1, Token: "other", State: Held, Fingerprint: req.Fingerprint, Until: t0 + time.Second}
	late, body, done := held, held, held
	late.Until = t0 - 1
	body.Fingerprint = Digest{}
	done.State = Done
	done.Outcome = Outcome{Kind: request.Completed, Status: 201, Body: "paid", BodyStored: true}
	for name, c := range map[string]struct {
		row    Row
		code   status.Code
		kind   request.Outcome
		origin Origin
	}{
		"held by a call in time":   {held, status.CodeInProgress, request.Unknown, FromDecision},
		"held by a call past time": {late, status.CodeOutcomeUnknown, request.Unknown, FromDecision},
		"held for another body":    {body, status.CodeKeyReused, request.Refused, FromDecision},
		"recorded":                 {done, "", request.Completed, FromRow},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := startedAttempt("me")
			_, reads := a.Step(t0, ConditionFailed{}).(Read)
			is.True(reads)
			ans := a.Step(t0, RowRead{c.row}).(Answer)
			is.Equal(ans.Outcome.Code, c.code)
			is.Equal(ans.Outcome.Kind, c.kind)
			is.Equal(ans.Origin, c.origin)
			is.True(ans.NotRunByCall)
			is.True(!ans.FollowUp.Pending())
		})
	}
}

func TestPlatformDownLeavesEarlierCallsUnknown(t *testing.T) {
	is := is.New(t)
	ans := startedAttempt("me").Step(t0, NotWritten{}).(Answer)
	is.Equal(ans.Outcome.Code, status.CodePlatformDown)
	is.Equal(ans.Outcome.Kind, request.Unknown) // an earlier call may have run
	is.True(ans.NotRunByCall)
	is.True(ans.RetryAfter > 0)
}

// Guards against running a request after its caller's deadline when the node is
// paused between the claim and the run.
func TestPausedPastDeadlineReleases(t *testing.T) {
	is := is.New(t)
	ans := startedAttempt("me").Step(t0+time.Hour, Written{}).(Answer)
	is.Equal(ans.Outcome, Outcome{Kind: request.Refused, Code: status.CodeDeadline})
	w := ans.FollowUp.Step(t0+time.Hour, Begin{}).(Write)
	is.Equal(w.Row.State, Free)
	is.Equal(w.Row.Version, int64(2))
}

// Guards against a second run when a caller repeats a key after its row was
// removed at the end of Retention: the absent row looks like an unused key.
func TestDatedKeyPastRetentionIsNotRun(t *testing.T) {
	is := is.New(t)
	req := testRequest("me")
	req.KeyTime = t0 - DefaultConfig().Retention
	a := New(DefaultConfig(), req)
	ans := a.Step(t0, Begin{}).(Answer)
	is.Equal(ans.Outcome, Outcome{Code: status.CodeOutcomeUnknown})

	// Retention starts at the key's own time if the caller's clock is ahead.
	req.KeyTime, req.Retention = t0+DefaultConfig().MaxKeyAhead, 72*time.Hour
	a = New(DefaultConfig(), req)
	a.Step(t0, Begin{})
	a.Step(t0, Written{})
	ans = a.Step(t0, TargetDone{Outcome{Kind: request.Completed}}).(Answer)
	w := ans.FollowUp.Step(t0, Begin{}).(Write)
	is.Equal(w.Row.Expires, t0+DefaultConfig().MaxKeyAhead+72*time.Hour)
}

// Guards against a second run while a fleet moves to shared rows: a caller's clock
// is two hours ahead, and only some nodes know the layout for such keys yet.
func TestKeyDatedAheadIsNotRun(t *testing.T) {
	is := is.New(t)
	req := testRequest("me")
	req.KeyTime = t0 + DefaultConfig().MaxKeyAhead + 1
	a := New(DefaultConfig(), req)
	ans := a.Step(t0, Begin{}).(Answer)
	is.Equal(ans.Outcome, Outcome{Code: status.CodeKeyAhead}) // unknown: another clock may have let it run
	is.True(ans.NotRunByCall)
}

// Guards against treating a full shared row like an unavailable platform: the
// caller would repeat the key without end or be answered "unknown" although
// nothing ran, and the node would keep a follow-up forever.
func TestFullRowIsRefused(t *testing.T) {
	is := is.New(t)
	ans := startedAttempt("me").Step(t0, NoRoom{}).(Answer)
	is.Equal(ans.Outcome, Outcome{Kind: request.Refused, Code: status.CodeNoRoom})
	is.True(!ans.FollowUp.Pending())

	cfg := DefaultConfig()
	d := newFenceFollowUp(&cfg, "me", 0)
	d.Step(t0, Begin{})
	d.Step(t0, RowRead{})
	is.Equal(d.Step(t0, NoRoom{}), Finished{})
}

func TestUnreadableRowIsNotRun(t *testing.T) {
	is := is.New(t)
	a := startedAttempt("me")
	a.Step(t0, ConditionFailed{})
	is.Equal(a.Step(t0, RowUnreadable{}).(Answer).Outcome, Outcome{Code: status.CodeOutcomeUnknown})
}

func TestRowEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Outcome{
			Kind: request.Outcome(rapid.IntRange(0, 3).Draw(t, "kind")), Status: rapid.IntRange(0, 599).Draw(t, "status"),
			ContentType: rapid.String().Draw(t, "type"), Body: string(rapid.SliceOf(rapid.Byte()).Draw(t, "body")), BodyStored: true,
		}
		o.Size, o.Sum = int64(len(o.Body)), Sum([]byte(o.Body))
		want := Row{Version: 7, Token: "t", State: Done, Fingerprint: Sum([]byte("p")), Since: 5, Until: 9, Outcome: o}
		b, err := want.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Decode(7, "t", b); err != nil || got != want {
			t.Fatalf("got %+v, %v", got, err)
		}
	})
	_, err := Decode(1, "t", []byte("\x81\xa1f\x02"))
	is.New(t).Equal(status.CodeOf(err), status.CodeProtocol)
}

func FuzzDecode(f *testing.F) {
	b, _ := Row{State: Held}.Encode()
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := Decode(1, "t", b); err == nil && (r.State < Free || r.State > Done) {
			t.Fatalf("accepted %+v", r)
		}
	})
}

func TestKeys(t *testing.T) {
	is := is.New(t)
	is.Equal(CheckKey("").Code, status.CodeKeyMissing)
	is.Equal(CheckKey(strings.Repeat("k", MaxKeyLen+1)).Code, status.CodeMalformed)
	is.Equal(CheckKey("a b").Code, status.CodeMalformed)
	is.True(CheckKey("a/b") == nil)
	is.True(RowKey(Scope{"a", "b", "c/d"}, "e") != RowKey(Scope{"a", "b", "c"}, "d/e"))
	is.True(Fingerprint("GET", "/ab", Digest{}) != Fingerprint("GET/", "ab", Digest{}))

	dated, err := uuid.NewV7()
	is.NoErr(err)
	want, ok := KeyTime(dated.String())
	is.True(ok)
	c := Call{Service: "settle.kalahari", Class: "payout", Method: "POST", Path: "/pay"}
	key := DeriveKey(dated.String(), c)
	is.Equal(key, DeriveKey(dated.String(), c))
	got, ok := KeyTime(key)
	is.True(ok)
	is.Equal(got, want) // same retention as its root
	other := c
	other.Body[0] = 1
	is.True(DeriveKey(dated.String(), other) != key)
	_, ok = KeyTime(DeriveKey("a trace id", c))
	is.True(!ok)
}

func TestBreaker(t *testing.T) {
	is := is.New(t)
	cfg := DefaultBreakerConfig()
	b := NewBreaker(cfg)
	now := t0
	for range cfg.Failures {
		is.True(b.Allow(now))
		b.Report(now, false)
	}
	for range 100 {
		b.Report(now, false) // operations in flight fail as well
	}
	is.Equal(b.Wait(now), cfg.ProbeInterval)
	probes := 0
	for end := now + time.Minute; now < end; now += 10 * time.Millisecond {
		if b.Allow(now) {
			probes++
			b.Report(now, false)
		}
	}
	is.Equal(probes, 10) // after 0.5, 1, 2, 4 s, then every 8 s
	is.True(!b.Allow(now))
	b.Report(now, true)
	is.True(b.Allow(now))
}

// Guards against a second run under another key: the first call runs and its
// answer is lost, then an overloaded target refuses the repeat as "not run"
// without reading the claim.
func TestRefusalChecksForEarlierCalls(t *testing.T) {
	print := testRequest("x").Fingerprint
	done := Outcome{Kind: request.Completed, Status: 200}
	for name, tc := range map[string]struct {
		ev   Event
		want request.Outcome
		code status.Code
	}{
		"absent":     {RowRead{}, request.Refused, status.CodeOverloaded},
		"free":       {RowRead{Row{Version: 2, State: Free}}, request.Refused, status.CodeOverloaded},
		"held":       {RowRead{Row{Version: 1, State: Held, Fingerprint: print, Until: time.Hour * 1e6}}, request.Unknown, status.CodeInProgress},
		"done":       {RowRead{Row{Version: 2, State: Done, Fingerprint: print, Outcome: done}}, request.Completed, ""},
		"unreadable": {RowUnreadable{}, request.Unknown, status.CodeOutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			refusal := status.Refuse(status.CodeOverloaded, time.Second, "full")
			a := NewReadOnly(DefaultConfig(), testRequest("x"), refusal)
			_, reads := a.Step(0, Begin{}).(Read)
			is.True(reads) // and writes nothing
			ans, ok := a.Step(0, tc.ev).(Answer)
			is.True(ok)
			is.Equal(ans.Outcome.Kind, tc.want)
			is.Equal(ans.Outcome.Code, tc.code)
			is.True(ans.NotRunByCall)
		})
	}
}

func TestRefusalIsUnknownWhilePlatformIsDown(t *testing.T) {
	is := is.New(t)
	a := NewReadOnly(DefaultConfig(), testRequest("x"), status.Refuse(status.CodeOverloaded, time.Second, "full"))
	act := a.Step(0, Begin{})
	for range 100 {
		if ans, ok := act.(Answer); ok {
			is.Equal(ans.Outcome.Kind, request.Unknown)
			is.Equal(ans.Outcome.Code, status.CodeOverloaded)
			return
		}
		act = a.Step(0, ReadFailed{})
	}
	t.Fatal("no answer")
}
