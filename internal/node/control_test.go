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

// Symptom: a node that serves refuses calls as "not-ready" for a moment, some
// seconds after its start.
// Events: it starts when nobody is there, so it counts as complete, and then
// finds other nodes in the platform's rows and joins through them.
// Cause: readiness followed the membership state back to "joining".
func TestNodeThatServesStaysReadyWhileItJoinsOthers(t *testing.T) {
	is := is.New(t)
	self := member.Record{ID: request.TargetIDOf("a"), Name: "a", Service: "feed.khaosan", Control: "127.0.0.1:1"}
	c := &control{state: member.New(member.DefaultConfig(), self, rand.New(rand.NewPCG(1, 2))), epoch: time.Now()}
	is.True(c.membersKnown())
	c.state.Join([]member.Peer{{Control: "127.0.0.1:2"}}, nil)
	is.True(!c.state.Complete()) // it joins again
	is.True(c.membersKnown())
}

// Symptom: a node is behind for seconds and its log has a gap, which looks like
// one with nothing to say. Events: the process is frozen and goes on. Cause:
// nothing told of the time that was missing.
func TestStandingStillIsLogged(t *testing.T) {
	is := is.New(t)
	core, logs := zapobserver.New(zap.InfoLevel)
	c := &control{log: zap.New(core)}
	c.logStill(time.Second) // the first tick has none before it
	c.logStill(time.Second + stillAfter)
	is.Equal(logs.Len(), 0)
	c.logStill(7 * time.Second)
	is.Equal(logs.Len(), 1)
	is.Equal(logs.All()[0].ContextMap()["for"], 5*time.Second)
}

func TestNodeThatJoinsIsNotReadyBefore(t *testing.T) {
	is := is.New(t)
	self := member.Record{ID: request.TargetIDOf("a"), Name: "a", Service: "feed.khaosan", Control: "127.0.0.1:1"}
	c := &control{state: member.New(member.DefaultConfig(), self, rand.New(rand.NewPCG(1, 2))), epoch: time.Now()}
	c.state.Join([]member.Peer{{Control: "127.0.0.1:2"}}, nil)
	is.True(!c.membersKnown())
}
