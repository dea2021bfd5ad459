package route

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func failing(time.Duration, Target) Result { return Result{Kind: Failure, Latency: ms} }

// Symptom: a service with a target is refused as if it had none, for up to 30 s.
// Events: one of two targets fails until it is ejected; the other one leaves, or
// its connections break. Cause: the bound on ejections held when the target was
// ejected, and nothing looked again when it was the last one left.
func TestLastTargetsAreUsedThoughEjected(t *testing.T) {
	for _, tt := range []struct {
		name string
		lose func(tab *Table, ts []Target, now time.Duration)
	}{
		{"the other left", func(tab *Table, ts []Target, now time.Duration) {
			ts[1].Leaving = true
			tab.Update(now, ts, 0)
		}},
		{"the other is gone", func(tab *Table, ts []Target, now time.Duration) { tab.Update(now, ts[:1], 0) }},
		{"the other broke", func(tab *Table, ts []Target, now time.Duration) {
			idx := int(tab.index[ts[1].ID])
			tab.Started(now, idx)
			tab.Done(now, idx, &Result{Kind: Broken})
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ts := targets(2)
			tab := newTable(ts)
			bad := ts[0].ID
			now := time.Duration(0)
			for tab.ejected(now) == 0 {
				now += ms
				play(tab, now, 1, ms, func(now time.Duration, tg Target) Result {
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
			is.True(!ok) // a retry gets no second try at it
			tab.Update(now, targets(3), 0)
			got := play(tab, now, 100, ms/10, func(time.Duration, Target) Result { return Result{Kind: Success, Latency: ms} })
			is.Equal(got[bad], 0) // another target has come: the ejection holds
		})
	}
}

// fleet is a table whose targets fail, break, leave and come back at random.
type fleet struct {
	tab *Table
	ts  []Target
	now time.Duration
	out []int // indices of calls under way
}

// healthy reports whether a target is there that nothing speaks against.
func (f *fleet) healthy() bool {
	for _, i := range f.tab.all {
		if e := &f.tab.entries[i]; !e.Leaving && e.avoid == avoidNot {
			return true
		}
	}
	return false
}

// open reports whether some target can be connected to and has room.
func (f *fleet) open() bool {
	for _, i := range f.tab.all {
		if e := &f.tab.entries[i]; !e.Leaving && e.avoid != avoidBroken && e.inFlight < e.cap {
			return true
		}
	}
	return false
}

// call picks a target and checks the pick.
func (f *fleet) call(t *rapid.T) {
	was := f.healthy()
	idx, ok := f.tab.Pick(f.now, 0, nil)
	if !ok {
		if f.open() && !was {
			t.Fatal("no target, though one that isn't broken has room")
		}
		return
	}
	e := &f.tab.entries[idx]
	probe := f.now >= e.until && !e.probing
	if was && e.avoid == avoidErrors && !probe {
		t.Fatal("an ejected target got a call beside a healthy one")
	}
	if e.inFlight >= e.cap || e.Leaving {
		t.Fatal("a target that is full or leaves got a call")
	}
	f.tab.Started(f.now, idx)
	f.out = append(f.out, idx)
}

func (f *fleet) end(t *rapid.T) {
	if len(f.out) == 0 {
		return
	}
	idx := f.out[0]
	f.out = f.out[1:]
	kind := rapid.SampledFrom([]Kind{Success, Failure, Failure, Failure, Failure, Shed, Broken, Ignored}).Draw(t, "kind")
	f.tab.Done(f.now, idx, &Result{Kind: kind, Latency: ms})
}

// Symptom: a broken target gets the calls of all callers.
// Events: targets fail, are ejected, break, leave and come back in any order.
// Cause: an ejection that is undone while others could take the calls.
func TestNoStormAtEjectedTargets(t *testing.T) {
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
				f.end(t)
			default:
				f.call(t)
			}
		}
	})
}
