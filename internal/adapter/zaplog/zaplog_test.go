package zaplog

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"peardrift/internal/core/request"
	"peardrift/internal/settings"
	"peardrift/internal/status"
)

// parseLines parses each line as a JSON object and fails the test if it isn't one.
func parseLines(t *testing.T, b []byte) []map[string]any {
	t.Helper()
	var rs []map[string]any
	for line := range bytes.Lines(b) {
		r := map[string]any{}
		if err := json.Unmarshal(line, &r); err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		rs = append(rs, r)
	}
	return rs
}

func TestLineHasTypedFieldsAndNoSecrets(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "log")
	log, closeLog, err := New(settings.Logs{Level: "info", File: path, PerSecond: 100})
	is.NoErr(err)
	s := settings.Default()
	s.Platform.SecretKey = "platform-key"
	log.Debug("below the level")
	log.Warn("call failed", Request(request.ID{1}), Service("feed.khaosan"), Class("read"), Tenant("khaosan"),
		Target(7), Outcome(request.Failed), Key("person@example"), Text("path", strings.Repeat("é\n", 5000)),
		Error(status.New(status.CodeOverloaded, "busy")), zap.Any("settings", s))
	is.NoErr(closeLog())
	b, err := os.ReadFile(path)
	is.NoErr(err)
	rs := parseLines(t, b)
	is.Equal(len(rs), 1)
	r := rs[0]
	is.Equal(r["level"], "warn")
	is.Equal(r["message"], "call failed")
	is.Equal(r["request"], "01000000000000000000000000000000")
	is.Equal(r["service"], "feed.khaosan")
	is.Equal(r["outcome"], "failed")
	is.Equal(r["code"], "overloaded")
	is.True(len(r["path"].(string)) < 300)
	is.True(!bytes.Contains(b, []byte("platform-key")) && !bytes.Contains(b, []byte("person@example")))
}

// TestFieldsMatchDocs checks that docs/operators/logs.md lists exactly the fields
// that the code writes.
func TestFieldsMatchDocs(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/operators/logs.md")
	is.NoErr(err)
	var out bytes.Buffer
	log, closeLog := newLogger(&out, zapcore.InfoLevel, 100)
	log.Info("all", Request(request.ID{1}), Service("s.t"), Class("c"), Tenant("t"), Target(7),
		Organisation("o"), Importance(1), Detail("d"), Name("n"), Version(1), Level(1), CalleeLevel(1), LeftZone(true), Truncated("r"), Outcome(request.Failed), Key("k"), Error(status.New(status.CodeInternal, "x")))
	log.Info("too long", zap.String("x", strings.Repeat("x", maxLineBytes)))
	is.NoErr(closeLog())
	var documented []string
	fields := map[string]any{}
	for _, r := range parseLines(t, out.Bytes()) {
		maps.Copy(fields, r)
	}
	for _, m := range regexp.MustCompile("(?m)^\\| `(\\w+)` \\|").FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, m[1])
	}
	slices.Sort(documented)
	is.Equal(documented, slices.Sorted(maps.Keys(fields)))
}

func TestInvalidSettings(t *testing.T) {
	for _, s := range []settings.Logs{
		{Level: "all", PerSecond: 1},
		{Level: "info", File: t.TempDir(), PerSecond: 1},
	} {
		_, _, err := New(s)
		if status.CodeOf(err) != status.CodeInvalidSettings {
			t.Errorf("%+v: %v", s, err)
		}
	}
}

// Guards against logging taking the CPU time of calls in an overload, when
// thousands of calls a second are refused and each logs a line. The rate limit
// must hold, errors must get through, and drops must be reported.
func TestRateLimitUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		const perSecond = 40
		log, closeLog := newLogger(&out, zapcore.InfoLevel, perSecond)
		const ticks, calls = 50, 20 // 20 calls each 100 ms for 5 s
		for range ticks {
			for i := range calls {
				log.Info("refused " + string(rune('a'+i)))
				log.Info("refused alike")
			}
			synctest.Wait()
			time.Sleep(100 * time.Millisecond)
		}
		log.With(zap.Int("n", 1)).Error("store lost")
		is.NoErr(closeLog())

		var ordinary, errs int
		dropped := map[string]float64{}
		for _, r := range parseLines(t, out.Bytes()) {
			switch {
			case r["message"] == "log lines dropped":
				for _, why := range []string{"sampled", "over_rate", "lost"} {
					dropped[why] = r[why+"_total"].(float64)
				}
			case r["level"] == "error":
				errs++
			default:
				ordinary++
			}
		}
		is.Equal(errs, 1)
		is.True(ordinary <= perSecond*5+perSecond) // the rate over 5 s and one burst
		is.True(ordinary >= perSecond*5*3/4)
		is.True(dropped["sampled"] > 0 && dropped["over_rate"] > 0)
		is.Equal(dropped["lost"], 0.0)
		is.Equal(float64(ordinary)+dropped["sampled"]+dropped["over_rate"], float64(2*ticks*calls))
	})
}

// blockedWriter is an output whose reader stopped reading without closing it.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against calls that hang in a live process: the reader of standard error
// stops reading, the pipe fills, and a write on a call's goroutine blocks.
func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := blockedWriter{make(chan struct{})}
		log, closeLog := newLogger(out, zapcore.InfoLevel, 100_000)
		start := time.Now()
		for i := range 3 * queueCapacity {
			log.Info("line", zap.Int("i", i))
		}
		is.Equal(time.Since(start), time.Duration(0))
		is.Equal(status.CodeOf(closeLog()), status.CodeInternal) // fails instead of blocking forever
		is.True(time.Since(start) <= 2*flushTimeout)
		log.Info("after the end")
		close(out.release)
		synctest.Wait()
	})
}

func TestOverlongLineIsDropped(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, closeLog := newLogger(&out, zapcore.InfoLevel, 100)
	log.Info("long", zap.String("x", strings.Repeat("x", maxLineBytes)))
	is.NoErr(closeLog())
	rs := parseLines(t, out.Bytes())
	is.Equal(len(rs), 1)
	is.Equal(rs[0]["lost_total"], 1.0)
}

func BenchmarkLine(b *testing.B) {
	id := request.ID{1}
	for _, bb := range []struct {
		name      string
		perSecond int
		level     zapcore.Level
	}{
		{"dropped", 1, zapcore.InfoLevel},
		{"written", 1 << 30, zapcore.InfoLevel},
		{"below-level", 100, zapcore.WarnLevel},
	} {
		b.Run(bb.name, func(b *testing.B) {
			log, closeLog := newLogger(io.Discard, bb.level, bb.perSecond)
			b.ReportAllocs()
			for b.Loop() {
				if ce := log.Check(zapcore.InfoLevel, "refused"); ce != nil {
					ce.Write(Request(id), Service("feed.khaosan"), Class("read"))
				}
			}
			_ = closeLog()
		})
	}
}
