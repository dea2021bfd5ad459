package node

import (
	"testing"

	"github.com/matryer/is"

	"peardrift/internal/settings"
)

// Guards against requests that wait at nodes whose settings state no memory limit, or
// that have no integration.
func TestRequestsWaitOnlyWithinMemoryLimit(t *testing.T) {
	s := settings.Default()
	limited := s
	limited.Limits.MemoryBytes = 128 << 20
	is := is.New(t)
	is.Equal(trafficConfig(s, nil).Waiting.MaxWaiting, 0)
	is.Equal(trafficConfig(s, &Integration{}).Waiting.MaxWaiting, 0)
	is.Equal(trafficConfig(limited, nil).Waiting.MaxWaiting, 0)
	is.True(!trafficConfig(s, &Integration{}).Gate.Paced)
	is.True(trafficConfig(limited, &Integration{}).Gate.Paced)
	is.True(trafficConfig(limited, &Integration{}).Early.Paced)
	w := trafficConfig(limited, &Integration{}).Waiting
	is.True(w.MaxWaiting > 0 && w.MaxWaiting < s.Traffic.MaxCalls)
	is.True(w.MaxBytes <= limited.Limits.MemoryBytes/8)
}
