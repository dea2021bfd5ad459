package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	zapobserver "go.uber.org/zap/zaptest/observer"

	"peardrift/internal/core/member"
	"peardrift/internal/core/request"
)

// Guards against a serving node that refuses calls as "not-ready" seconds after its
// start: started alone, it is complete; when it then joins nodes found in the platform's
// rows, the membership state returns to "joining", and readiness must not follow.
func TestServingNodeStaysReadyDuringALaterJoin(t *testing.T) {
	is := is.New(t)
	self := member.Record{ID: request.TargetIDOf("a"), Name: "a", Service: "feed.khaosan", ControlAddr: "127.0.0.1:1"}
	c := &control{state: member.New(member.DefaultConfig(), self, rand.New(rand.NewPCG(1, 2))), epoch: time.Now()}
	is.True(c.membersKnown())
	c.state.Join([]member.Peer{{ControlAddr: "127.0.0.1:2"}}, nil)
	is.True(!c.state.Complete()) // joining again
	is.True(c.membersKnown())
}

// Guards against a frozen process that looks idle in its log because nothing records
// the missing time.
func TestStallIsLogged(t *testing.T) {
	is := is.New(t)
	core, logs := zapobserver.New(zap.InfoLevel)
	c := &control{log: zap.New(core)}
	c.logStall(time.Second) // no tick precedes the first
	c.logStall(time.Second + stallThreshold)
	is.Equal(logs.Len(), 0)
	c.logStall(7 * time.Second)
	is.Equal(logs.Len(), 1)
	is.Equal(logs.All()[0].ContextMap()["for"], 5*time.Second)
}

func TestJoiningNodeIsNotReady(t *testing.T) {
	is := is.New(t)
	self := member.Record{ID: request.TargetIDOf("a"), Name: "a", Service: "feed.khaosan", ControlAddr: "127.0.0.1:1"}
	c := &control{state: member.New(member.DefaultConfig(), self, rand.New(rand.NewPCG(1, 2))), epoch: time.Now()}
	c.state.Join([]member.Peer{{ControlAddr: "127.0.0.1:2"}}, nil)
	is.True(!c.membersKnown())
}
