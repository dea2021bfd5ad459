package settings

import "time"

// Default returns the default settings, which a file overrides. They lack the values that
// each node requires: its name, region, zone, target, and the platform.
func Default() Settings {
	return Settings{
		Target: Target{HealthPath: "/health", HealthPeriod: time.Second},
		Listen: Listen{
			Callers: "127.0.0.1:7400",
			Nodes:   "127.0.0.1:7401",
			Target:  "127.0.0.1:7402",
			Control: "127.0.0.1:7403",
			Ops:     "127.0.0.1:7404",
		},
		Platform: Platform{
			Table:   Table{Region: "local", Name: "peardrift"},
			Objects: Objects{Region: "local", Bucket: "peardrift"},
			Timeout: 2 * time.Second,
		},
		Logs:    Logs{Level: "info", PerSecond: 200},
		Metrics: Metrics{Interval: time.Second, MaxClasses: 128},
		Traces:  Traces{SampleRatio: 0.01, KeepPerSecond: 10, QueueSpans: 2048},
		Traffic: Traffic{
			MaxHeaderBytes: 64 << 10,
			MaxBodyBytes:   1 << 30,
			BufferBytes:    64 << 10,
			MaxCalls:       4096,
			MaxConnections: 8192,
			UploadTimeout:  5 * time.Minute,
			IdleTimeout:    90 * time.Second,
			HeaderTimeout:  30 * time.Second,
			ConnectTimeout: 250 * time.Millisecond,
			ResendWindow:   10 * time.Second,
		},
		Shutdown: Shutdown{Announce: 3 * time.Second, Grace: 25 * time.Second},
	}
}
