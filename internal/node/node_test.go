package node

import (
	"testing"

	"github.com/matryer/is"

	"peardrift/internal/settings"
)

// Guards against requests that wait at nodes whose settings state no memory limit or do not
// ask for it.
func TestRequestsWaitOnlyWithinMemoryLimit(t *testing.T) {
	s := settings.Default()
	limited := s
	limited.Limits.MemoryBytes = 128 << 20
	is := is.New(t)
	is.Equal(trafficConfig(s, nil).Waiting.MaxWaiting, 0)
	is.Equal(trafficConfig(s, &Integration{}).Waiting.MaxWaiting, 0)
	is.Equal(trafficConfig(limited, nil).Waiting.MaxWaiting, 0)
	asked := limited
	asked.Traffic.Waiting = true
	is.True(trafficConfig(asked, nil).Waiting.MaxWaiting > 0)
	asked.Limits.MemoryBytes = 0
	is.Equal(trafficConfig(asked, nil).Waiting.MaxWaiting, 0)
	is.True(!trafficConfig(limited, &Integration{}).Gate.Paced)
	is.True(!trafficConfig(limited, &Integration{}).Early.Paced)
	asked = limited
	asked.Traffic.Waiting = true
	is.True(trafficConfig(asked, &Integration{}).Gate.Paced)
	is.True(trafficConfig(asked, &Integration{}).Early.Paced)
	w := trafficConfig(asked, &Integration{}).Waiting
	is.True(w.MaxWaiting > 0 && w.MaxWaiting < s.Traffic.MaxCalls)
	is.True(w.MaxBytes <= limited.Limits.MemoryBytes/8)
}

// Guards against calls that are sent again although nothing bounds it, or by the node's own
// ratio where the platform states one.
func TestResendsNeedRatio(t *testing.T) {
	is := is.New(t)
	s := settings.Default()
	cfg := trafficConfig(s, nil)
	is.True(!cfg.Resend.Enabled())
	s.Target.NotExecutedHeader, s.Traffic.ResendRatio = "X-Not-Executed", 0.2
	cfg = trafficConfig(s, nil)
	is.True(cfg.Resend.Enabled())
	is.Equal(cfg.Dialect.NotExecuted, "X-Not-Executed")
	cfg = trafficConfig(s, &Integration{})
	is.True(!cfg.Resend.Enabled())
}
