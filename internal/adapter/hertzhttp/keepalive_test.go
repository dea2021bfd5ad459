package hertzhttp

import (
	"testing"
	"time"
)

func TestKeepAliveTimeout(t *testing.T) {
	for field, want := range map[string]time.Duration{
		"": 0, "timeout=10": 10 * time.Second, "max=100, timeout=5": 5 * time.Second, "Timeout=5,max=1": 5 * time.Second,
		"timeout=0": 0, "timeout=-1": 0, "timeout=x": 0, "timeout=99999": 0, "timeout": 0,
	} {
		if got := keepAliveTimeout([]byte(field)); got != want {
			t.Errorf("%q: %v, want %v", field, got, want)
		}
	}
}
