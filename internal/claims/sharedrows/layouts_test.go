package sharedrows

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/claims"
	"peardrift/internal/core/claim/batch"
	"peardrift/internal/port"
	"peardrift/internal/port/porttest"
	"peardrift/internal/status"
)

// Guards against a second run while a fleet moves to shared rows, if a node places
// a key by layouts that may be outdated for its date. Each key is used through a
// node that read the layouts before the announcement and one that read them after;
// a third node is paused meanwhile and cannot reach the platform afterwards.
func TestMoveToSharedRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fleet{t: t, table: porttest.NewTable()}
		f.addNodes(3, DefaultConfig())
		tgt, runs := &target{}, int32(0)
		pay := func(both ...int) {
			req := payout()
			runs++
			for i, node := range both {
				res := f.nodes[node].Do(t.Context(), repeat(req), tgt.pay)
				is.Equal(code(res) == "" || i > 0 && code(res) == status.CodeAnswerNotKept, true)
				time.Sleep(time.Second)
			}
			is.Equal(tgt.runs.Load(), runs)
		}
		pay(0, 2)
		early := payout()
		is.Equal(code(f.nodes[0].Do(t.Context(), early, tgt.pay)), status.Code(""))
		runs++
		l, err := Announce(t.Context(), f.table, batch.DefaultConfig())
		is.NoErr(err)
		same, err := Announce(t.Context(), f.table, batch.DefaultConfig())
		is.NoErr(err)
		is.Equal(same, l) // a repeated announcement adds no layout
		for wallNow() < l.From+time.Hour {
			pay(0, 1)
			pay(1, 0)
			time.Sleep(7 * time.Minute)
		}
		// Earlier keys keep their rows on every node.
		res := f.nodes[1].Do(t.Context(), repeat(early), tgt.pay)
		is.Equal(res.Outcome.Body, "paid")
		is.Equal(tgt.runs.Load(), runs)
		// Node 2 has not read the new layouts.
		req := payout()
		f.table.SetScript(func(porttest.Op, string) porttest.Fault { return porttest.Unavailable })
		is.Equal(code(f.nodes[2].Do(t.Context(), req, tgt.pay)), status.CodePlatformDown)
		f.table.SetScript(nil)
		pay(2, 0)
	})
}

func TestRemovedLayoutPlacesNoKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, tgt := newFleet(t, 1, DefaultConfig()), &target{}
		is.Equal(code(f.nodes[0].Do(t.Context(), payout(), tgt.pay)), status.Code(""))
		item, err := f.table.Get(t.Context(), batch.LayoutKey)
		is.NoErr(err)
		value, err := batch.Layouts(nil).Encode()
		is.NoErr(err)
		is.NoErr(f.table.Put(t.Context(), port.Put{
			Item: port.Item{Key: batch.LayoutKey, Version: item.Version + 1, Value: value}, IfVersion: item.Version,
		}))
		time.Sleep(2 * time.Hour)
		is.Equal(code(f.nodes[0].Do(t.Context(), payout(), tgt.pay)), status.CodePlatformDown)
		is.Equal(tgt.runs.Load(), int32(1))
	})
}

func TestLayoutsAreCached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, DefaultConfig())
		p := claims.Ref{Row: "row", Key: payout().Key}
		for range 3600 {
			_, _, err := f.rows[0].slot(t.Context(), claims.Ref{Row: "row", Key: payout().Key})
			is.NoErr(err)
			time.Sleep(time.Second)
		}
		is.True(f.table.Count(porttest.OpGet) <= 8) // announcement, first, each 10 min
		is.True(f.rows[0].Deferred(p))
		is.True(!f.rows[0].Deferred(claims.Ref{Row: "row", Key: "undated"}))
	})
}
