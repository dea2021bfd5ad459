package route

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func failing(time.Duration, Target) Result { return Result{Kind: Failure, Latency: ms} }

// Guards against refusing calls with no-target for up to 30 s while an ejected target
// exists: MaxEjected was respected when the target was ejected, but then the other one
// left or its connections broke.
func TestEjectedTargetsUsedIfNoneElse(t *testing.T) {
	for _, tt := range []struct {
		name string
		lose func(tab *Table, ts []Target, now time.Duration)
	}{
		{"other target leaving", func(tab *Table, ts []Target, now time.Duration) {
			ts[1].Leaving = true
			tab.Update(now, ts, 0)
		}},
		{"other target removed", func(tab *Table, ts []Target, now time.Duration) { tab.Update(now, ts[:1], 0) }},
		{"other target's connection failed", func(tab *Table, ts []Target, now time.Duration) {
			idx := int(tab.index[ts[1].ID])
			tab.Started(now, idx)
			tab.Done(now, idx, &Result{Kind: ConnectionFailed})
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ts := targets(2)
			tab := newTable(ts)
			bad := ts[0].ID
			now := time.Duration(0)
			for tab.countEjected(now) == 0 {
				now += ms
				simulate(tab, now, 1, ms, func(now time.Duration, tg Target) Result {
					if tg.ID == bad {
						return failing(now, tg)
					}
					return Result{Kind: Success, Latency: ms}
				})
			}
			tt.lose(tab, ts, now)
			idx, ok := tab.Pick(now, 0, nil)
			is.True(ok)
			is.Equal(tab.Target(idx).ID, bad)
			var tried Tried
			tried.Add(idx)
			_, ok = tab.Pick(now, 0, &tried)
			is.True(!ok) // a retry doesn't use the same target again
			tab.Update(now, targets(3), 0)
			got := simulate(tab, now, 100, ms/10, func(time.Duration, Target) Result { return Result{Kind: Success, Latency: ms} })
			is.Equal(got[bad], 0) // with another target available, the ejection applies
		})
	}
}

// fleet is a table whose targets fail, disconnect, drain and return at random.
type fleet struct {
	tab      *Table
	ts       []Target
	now      time.Duration
	inFlight []int // indices of calls in flight
}

// healthy reports whether there is a target that isn't draining or avoided.
func (f *fleet) healthy() bool {
	for _, i := range f.tab.all {
		if e := &f.tab.entries[i]; !e.Leaving && e.avoid == avoidNone {
			return true
		}
	}
	return false
}

// available reports whether a target can be connected to and has capacity left.
func (f *fleet) available() bool {
	for _, i := range f.tab.all {
		if e := &f.tab.entries[i]; !e.Leaving && e.avoid != avoidFailed && e.inFlight < e.cap {
			return true
		}
	}
	return false
}

// call picks a target and checks the choice.
func (f *fleet) call(t *rapid.T) {
	was := f.healthy()
	idx, ok := f.tab.Pick(f.now, 0, nil)
	if !ok {
		if f.available() && !was {
			t.Fatal("no target picked although a connected one has capacity")
		}
		return
	}
	e := &f.tab.entries[idx]
	probe := f.now >= e.avoidUntil && !e.probing
	if was && e.avoid == avoidErrors && !probe {
		t.Fatal("an ejected target got a call while a healthy one was available")
	}
	if e.inFlight >= e.cap || e.Leaving {
		t.Fatal("a full or draining target got a call")
	}
	f.tab.Started(f.now, idx)
	f.inFlight = append(f.inFlight, idx)
}

func (f *fleet) endOldest(t *rapid.T) {
	if len(f.inFlight) == 0 {
		return
	}
	idx := f.inFlight[0]
	f.inFlight = f.inFlight[1:]
	kind := rapid.SampledFrom([]Kind{Success, Failure, Failure, Failure, Failure, Shed, ConnectionFailed, Ignored}).Draw(t, "kind")
	f.tab.Done(f.now, idx, &Result{Kind: kind, Latency: ms})
}

// Guards against ejections that end while healthy targets could take the calls, which
// would send the calls of all callers to a failing target. Targets fail, are ejected,
// disconnect, drain and return in any order.
func TestHealthyTargetsPreferredToEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{ts: targets(rapid.IntRange(1, 4).Draw(t, "targets"))}
		for i := range f.ts {
			f.ts[i].Conns = 4
		}
		f.tab = newTable(f.ts)
		for range 300 {
			f.now += time.Duration(rapid.Int64Range(0, int64(200*ms)).Draw(t, "pause"))
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				i := rapid.IntRange(0, len(f.ts)-1).Draw(t, "which")
				if f.ts[i].Leaving = !f.ts[i].Leaving; !f.ts[i].Leaving {
					f.ts[i].Incarnation++
				}
				f.tab.Update(f.now, f.ts, 0)
			case 1, 2, 3, 4:
				f.endOldest(t)
			default:
				f.call(t)
			}
		}
	})
}
