package zaplog

import (
	"io"
	"os"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"peardrift/internal/settings"
	"peardrift/internal/status"
)

const (
	fileMode = 0o640
	stdout   = "-" // as settings.Logs.File
)

// New returns a logger as the settings say, and a function that writes out
// what still waits, within a second, and releases the output.
func New(s settings.Logs) (*zap.Logger, func() error, error) {
	level, err := zapcore.ParseLevel(s.Level)
	if err != nil {
		return nil, nil, status.Wrap(status.CodeInvalidSettings, err, "logs.level")
	}
	if s.File == "" || s.File == stdout {
		out := os.Stderr
		if s.File == stdout {
			out = os.Stdout
		}
		log, closeLog := newLogger(out, level, s.PerSecond)
		return log, closeLog, nil
	}
	f, err := os.OpenFile(s.File, os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, nil, status.Wrap(status.CodeInvalidSettings, err, "logs.file")
	}
	log, closeLog := newLogger(f, level, s.PerSecond)
	return log, func() error {
		defer f.Close()
		return closeLog()
	}, nil
}

func newLogger(w io.Writer, level zapcore.Level, perSecond int) (*zap.Logger, func() error) {
	out := newQueue(w)
	base := zapcore.NewCore(zapcore.NewJSONEncoder(encoding()), out, level)
	b := newBound(base, perSecond, out)
	log := zap.New(b.sampled(perSecond), zap.ErrorOutput(out))
	return log, func() error {
		b.stop()
		return out.Close()
	}
}

// encoding says how a line looks; docs/operators/logs.md describes it.
func encoding() zapcore.EncoderConfig {
	return zapcore.EncoderConfig{
		TimeKey:        "time",
		LevelKey:       "level",
		NameKey:        "logger",
		MessageKey:     "message",
		LineEnding:     zapcore.DefaultLineEnding,
		EncodeTime:     zapcore.RFC3339NanoTimeEncoder,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
	}
}
