package node

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	zapobserver "go.uber.org/zap/zaptest/observer"

	"peardrift/internal/core/configset"
	"peardrift/internal/core/configsync"
	"peardrift/internal/core/member"
	"peardrift/internal/port"
	"peardrift/internal/status"
)

// Guards against a node that stays at an old version without a log line: it may not
// read the objects or they are missing, and the failed fetch reached only the core,
// which retries.
func TestFailedFetchIsLogged(t *testing.T) {
	for _, tt := range []struct {
		err   error
		level string
	}{
		{port.ErrUnavailable, "warn"},
		// A peer failed; another one is asked.
		{status.New(status.CodeConnectionLost, "a peer"), "debug"},
		{status.New(status.CodeDeadlineExceeded, "a peer"), "debug"},
	} {
		is := is.New(t)
		core, logs := zapobserver.New(zap.DebugLevel)
		c := &configManager{
			log:    zap.New(core),
			state:  configsync.New(configsync.DefaultConfig(), configsync.Peer{}, rand.New(rand.NewPCG(1, 2)), 0),
			submit: func(f func()) error { f(); return nil },
			post:   func(f func()) { f() },
			now:    func() time.Duration { return 0 },
		}
		c.callAsync(1, func(context.Context) (func() []configsync.Action, error) { return nil, tt.err })
		is.Equal(logs.Len(), 1)
		is.Equal(logs.All()[0].Message, "configuration not fetched")
		is.Equal(logs.All()[0].Level.String(), tt.level)
	}
}

// Guards against logs that don't show whether a node that is behind has heard of the
// newer version, because only the version's installation was logged.
func TestKnownVersionIsLoggedBeforeItIsInForce(t *testing.T) {
	is := is.New(t)
	core, logs := zapobserver.New(zap.InfoLevel)
	c := &configManager{
		log:       zap.New(core),
		state:     configsync.New(configsync.DefaultConfig(), configsync.Peer{}, rand.New(rand.NewPCG(1, 2)), 0),
		gossip:    func(member.Fact) {},
		onInstall: func() {},
	}
	set := func(version int64) *configset.EncodedSet {
		p, err := configset.Pack(configset.Set{Tenant: "t", Version: version, Share: 1})
		is.NoErr(err)
		return p
	}
	c.execute(c.state.Learn(0, set(7).Head()))
	c.execute(c.state.HandlePlatformSet(0, set(7)))
	c.execute(c.state.HandlePlatformSet(0, set(9))) // not known before
	var messages []string
	for _, l := range logs.All() {
		messages = append(messages, l.Message)
	}
	is.Equal(messages, []string{"newer configuration known", "configuration in force", "configuration in force"})
	is.Equal(logs.All()[1].ContextMap()["by"], string(configsync.ByWatch))
}
