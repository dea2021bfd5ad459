package target

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestServiceTimeMean(t *testing.T) {
	const draws, mean = 20_000, 10 * time.Millisecond
	now := time.Unix(0, 0)
	for _, tc := range []struct {
		dist   string
		factor float64
		at     time.Time
		want   time.Duration // expected mean
	}{
		{DistFixed, 1, now.Add(time.Hour), mean},
		{DistExponential, 1, now.Add(time.Hour), mean},
		{DistLognormal, 1, now.Add(time.Hour), mean},
		{DistExponential, 3, now.Add(time.Hour), 3 * mean},
		{DistFixed, 1, now, 5 * mean}, // cold
	} {
		cfg := DefaultConfig("archive.khaosan")
		cfg.Dist, cfg.Seed, cfg.ColdFor, cfg.ColdFactor = tc.dist, 1, time.Minute, 5
		p := newServiceTimer(cfg, now)
		p.setFactor(tc.factor)
		var sum time.Duration
		for range draws {
			sum += p.draw(tc.at, mean)
		}
		got := float64(sum/draws) / float64(tc.want)
		is.New(t).True(got > 0.97 && got < 1.03)
	}
}

func TestLoadHistoryLag(t *testing.T) {
	is := is.New(t)
	var l loadHistory
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	is.Equal(l.at(at(0), 3*time.Second), load{})
	for s := range 10 {
		l.add(at(s), load{InFlight: s}, 3*time.Second)
	}
	is.Equal(l.at(at(9), 3*time.Second).InFlight, 6)
	is.True(len(l.readings) <= 5) // old readings are removed
}

func TestLoadConfig(t *testing.T) {
	for _, tc := range []struct {
		yaml string
		ok   bool
	}{
		{"service: feed.khaosan\nservice_time: 3ms\n", true},
		{"service: feed.khaosan\nslotz: 3\n", false},
		{"slots: 3\n", false},
		{"service: feed.khaosan\nroutes: [{prefix: /, calls: [{service: a.b, path: /}]}]\n", false},
	} {
		is := is.New(t)
		file := filepath.Join(t.TempDir(), "target.yaml")
		is.NoErr(os.WriteFile(file, []byte(tc.yaml), 0o600))
		cfg, err := Load(file, nil)
		is.Equal(err == nil, tc.ok)
		is.True(!tc.ok || cfg.ServiceTime == 3*time.Millisecond && cfg.Slots == 25)
	}
}
