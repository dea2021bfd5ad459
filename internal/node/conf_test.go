package node

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	zapobserver "go.uber.org/zap/zaptest/observer"

	"peardrift/internal/core/confset"
	"peardrift/internal/core/inforce"
	"peardrift/internal/core/member"
	"peardrift/internal/port"
	"peardrift/internal/status"
)

// Symptom: a node stays at an old version and its log is silent. Events: it has
// no right to read the objects, or they aren't there; each fetch fails. Cause:
// the failure went to the core alone, which asks again.
func TestFetchThatFailsIsLogged(t *testing.T) {
	for _, tt := range []struct {
		err   error
		level string
	}{
		{port.ErrUnavailable, "warn"},
		// A peer's: another one is asked.
		{status.New(status.CodeConnectionLost, "a peer"), "debug"},
		{status.New(status.CodeDeadlineExceeded, "a peer"), "debug"},
	} {
		is := is.New(t)
		core, logs := zapobserver.New(zap.DebugLevel)
		c := &configuration{
			log:    zap.New(core),
			state:  inforce.New(inforce.DefaultConfig(), inforce.Peer{}, rand.New(rand.NewPCG(1, 2)), 0),
			submit: func(f func()) error { f(); return nil },
			post:   func(f func()) { f() },
			now:    func() time.Duration { return 0 },
		}
		c.background(1, func(context.Context) (func() []inforce.Action, error) { return nil, tt.err })
		is.Equal(logs.Len(), 1)
		is.Equal(logs.All()[0].Message, "configuration not fetched")
		is.Equal(logs.All()[0].Level.String(), tt.level)
	}
}

// Symptom: a node is behind, and the logs don't say whether it was told of the
// newer version. Events: it learns of one that it does not hold; later that is in
// force. Cause: only the second was told.
func TestVersionThatIsKnownIsLoggedBeforeItIsInForce(t *testing.T) {
	is := is.New(t)
	core, logs := zapobserver.New(zap.InfoLevel)
	c := &configuration{
		log:    zap.New(core),
		state:  inforce.New(inforce.DefaultConfig(), inforce.Peer{}, rand.New(rand.NewPCG(1, 2)), 0),
		spread: func(member.Fact) {},
		count:  func() {},
	}
	set := func(version int64) *confset.Packed {
		p, err := confset.Pack(confset.Set{Tenant: "t", Version: version, Share: 1})
		is.NoErr(err)
		return p
	}
	c.do(c.state.Learn(0, set(7).Head()))
	c.do(c.state.Offer(0, set(7)))
	c.do(c.state.Offer(0, set(9))) // nobody told of it before
	var said []string
	for _, l := range logs.All() {
		said = append(said, l.Message)
	}
	is.Equal(said, []string{"newer configuration known", "configuration in force", "configuration in force"})
	is.Equal(logs.All()[1].ContextMap()["by"], string(inforce.ByWatch))
}
