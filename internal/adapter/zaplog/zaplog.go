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
	stdout   = "-" // value of settings.Logs.File for standard output
)

// New returns a logger configured by the settings, and a function that writes
// the queued lines, within a second, and closes the output. Errors have
// status.CodeInvalidSettings.
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
	base := zapcore.NewCore(zapcore.NewJSONEncoder(encoderConfig()), out, level)
	core := newLimitedCore(base, perSecond, out)
	log := zap.New(core.withSampling(perSecond), zap.ErrorOutput(out))
	return log, func() error {
		core.stop()
		return out.Close()
	}
}

// encoderConfig defines the format of a line; see docs/operators/logs.md.
func encoderConfig() zapcore.EncoderConfig {
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
