package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap/zapcore"

	"peardrift/internal/core/admission"
)

func TestOverloadIsLoggedOnceAtStartAndEnd(t *testing.T) {
	is := is.New(t)
	var o overloadDetector
	started, ended := 0, 0
	for now := time.Duration(0); now < time.Minute; now += 200 * time.Millisecond {
		// The level is 0 at every second step of the first 30 s.
		b, e := o.observe(now, now < time.Minute/2 && now%(400*time.Millisecond) == 0)
		if b {
			started++
		}
		if e {
			ended++
			is.True(now >= time.Minute/2+overloadEndDelay-time.Second)
		}
	}
	is.Equal(started, 1)
	is.Equal(ended, 1)
}

// Guards against an overload whose course the log doesn't show: between its begin and its
// end nothing said what the gate refused and whether slots were idle.
func TestGateReport(t *testing.T) {
	is := is.New(t)
	var r gateReporter
	st := admission.Stats{Limit: 10, Usable: 10 * time.Second, Busy: 5 * time.Second}
	is.True(r.report(time.Second, st) == nil) // nothing refused
	st.Overloaded, st.Admitted, st.Usable, st.Busy = 3, 7, 20*time.Second, 12*time.Second
	is.True(r.report(1500*time.Millisecond, st) == nil) // within the interval
	enc := zapcore.NewMapObjectEncoder()
	for _, f := range r.report(2*time.Second, st) {
		f.AddTo(enc)
	}
	is.Equal(enc.Fields["used"], 0.7)
	is.Equal(enc.Fields["admitted"], uint64(7))
	is.Equal(enc.Fields["overloaded"], uint64(3))
	is.True(r.report(3*time.Second, st) == nil)
	st.Level = 1
	is.True(r.report(4*time.Second, st) != nil) // a level refuses calls that callers keep back
}
