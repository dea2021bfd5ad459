package dataplane

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/request"
	"peardrift/internal/core/route"
	"peardrift/internal/status"
	"peardrift/internal/wire"
)

// Guards against counting the levels of targets that have left: when two of four
// targets reported no level and left, callers kept sending for seconds to the other
// two, which had a high level and refused.
func TestLevelsOfRemovedTargetsAreForgotten(t *testing.T) {
	is := is.New(t)
	e, info := newCaller(t)
	view := *e.view.Load()
	publish := func(ids ...request.TargetID) {
		view.Gen++
		view.Peers = func(request.Service) (out []Peer) {
			for _, id := range ids {
				out = append(out, Peer{Addr: "127.0.0.1:1", Target: route.Target{ID: id, Slots: 10, Conns: 100}})
			}
			return out
		}
		v := view
		e.Publish(&v)
		var tried route.Tried
		_, ok := e.callee(info.Name).pick(&v, &outboundCall{info: info}, &tried)
		is.True(ok)
	}
	c := &outboundCall{info: info, class: &info.Classes[0]}
	const high = request.Level(50 << 16)
	now := time.Duration(0)
	e.levels.now = func() time.Duration { return now }
	publish(1, 2, 3, 4)
	for id, level := range map[request.TargetID]request.Level{1: 0, 2: 0, 3: high, 4: high} {
		e.levels.learn(c, &result{target: id, answered: true, answer: wire.Answer{Level: level, Limit: 10}})
	}
	is.Equal(e.levels.level(c), request.Level(0)) // half of the targets admit all
	publish(3, 4)
	is.Equal(e.levels.level(c), high)
}

// Guards against targets that take no calls and open their service: their nodes refuse each
// call, with the level 0 of a gate that nothing passes, and callers go on sending to the
// others, which have a high level.
func TestTargetsThatTakeNoCallsDoNotOpenTheirService(t *testing.T) {
	const high = request.Level(50 << 16)
	for _, code := range []status.Code{status.CodeNoTarget, status.CodeNotReady, status.CodeDraining, status.CodeMisdirected, status.CodeConnectFailed} {
		t.Run(string(code), func(t *testing.T) {
			is := is.New(t)
			e, info := newCaller(t)
			now := time.Duration(0)
			e.levels.now = func() time.Duration { return now }
			c := &outboundCall{info: info, class: &info.Classes[0]}
			learn := func(id request.TargetID, level request.Level, code status.Code) {
				outcome := request.Refused
				if code == "" {
					outcome = request.Completed
				}
				e.levels.learn(c, &result{target: id, answered: code != status.CodeConnectFailed, outcome: outcome, code: code,
					answer: wire.Answer{Outcome: outcome, Code: code, Level: level, Limit: 10}})
			}
			for id := range request.TargetID(4) {
				learn(id+1, 0, "")
			}
			for ; now < time.Second; now += 20 * time.Millisecond {
				learn(1, high, "")
				learn(2, high, status.CodeOverloaded)
				learn(3, 0, code)
				learn(4, 0, code)
			}
			is.Equal(e.levels.level(c), high)
		})
	}
}
