package node

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	zapobserver "go.uber.org/zap/zaptest/observer"

	"peardrift/internal/core/request"
	"peardrift/internal/dataplane"
)

// Guards against a logs.level of debug that shows no more than info: the settings page
// promises a line for each completed call, and nothing wrote one.
func TestCompletedCallsAreLoggedOnlyAtDebug(t *testing.T) {
	for _, tt := range []struct {
		level zapcore.Level
		lines []string
	}{
		{zap.DebugLevel, []string{"call completed", "call refused"}},
		{zap.InfoLevel, []string{"call refused"}},
		{zap.WarnLevel, nil},
	} {
		core, logs := zapobserver.New(tt.level)
		o := &observer{log: zap.New(core)}
		o.Hop(&dataplane.Hop{Kind: dataplane.HopEntry, Outcome: request.Completed})
		o.Hop(&dataplane.Hop{Kind: dataplane.HopAttempt, Outcome: request.Refused})
		o.Hop(&dataplane.Hop{Kind: dataplane.HopServe, Outcome: request.Refused})
		var lines []string
		for _, l := range logs.All() {
			lines = append(lines, l.Message)
		}
		is.New(t).Equal(lines, tt.lines)
	}
}
