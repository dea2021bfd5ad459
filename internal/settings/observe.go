package settings

import "time"

// Logs says what is logged and where.
type Logs struct {
	// Level is the least level that is logged: debug, info, warn or error.
	// Default info. debug adds a line for each call that completes; warn and
	// error hide refusals.
	Level string `yaml:"level" validate:"oneof=debug info warn error"`

	// File is where lines are appended; "-" is standard output. Default: standard
	// error. Its folder must be there.
	File string `yaml:"file" validate:"max=4096"`

	// PerSecond bounds the lines written in a second, over all messages.
	// Default 200. Lines above it are dropped and counted, and the count is
	// logged. Raise it to see more detail under overload, at the cost of
	// processor time just when there is none; lower it to save that.
	PerSecond int `yaml:"perSecond" validate:"min=1,max=100000"`
}

// Metrics says how metrics are kept for the scrape endpoint.
type Metrics struct {
	// Interval is the time between two collections of what was counted.
	// Default 1s. A scrape shows values at most this old; lower costs more
	// control time.
	Interval time.Duration `yaml:"interval" validate:"min=100ms,max=1m"`

	// MaxClasses bounds the pairs of service and class that have series of
	// their own; pairs beyond it share one called "other". Default 128. Each
	// takes up to 52 KB of memory and 114 lines of a scrape; higher shows more
	// detail.
	MaxClasses int `yaml:"maxClasses" validate:"min=1,max=10000"`
}

// Traces says which spans are recorded and where they go. With neither File
// nor Endpoint tracing is off.
type Traces struct {
	// File is where spans are appended as JSON lines. Default: none. Its folder
	// must be there.
	File string `yaml:"file" validate:"max=4096"`

	// Endpoint is the URL of an OTLP/HTTP collector, for example
	// http://127.0.0.1:4318/v1/traces. Default: none.
	Endpoint string `yaml:"endpoint" validate:"omitempty,http_url"`

	// SampleRatio is the share of requests, 0 to 1, whose spans are recorded.
	// It is chosen by trace identity, so all hops of a request agree. Default
	// 0.01. Higher costs processor time and memory on each call; 0 leaves only
	// what KeepPerSecond adds.
	SampleRatio float64 `yaml:"sampleRatio" validate:"min=0,max=1"`

	// KeepPerSecond bounds the spans of unsampled requests kept in a second
	// because they were refused, failed or have an unknown outcome. Default
	// 10. 0 keeps none; higher shows more of an overload and costs more then.
	KeepPerSecond int `yaml:"keepPerSecond" validate:"min=0,max=10000"`

	// QueueSpans bounds the spans that wait for export; above it spans are
	// dropped. Default 2048. Higher rides out a slower collector and takes
	// about 1.2 KB a span.
	QueueSpans int `yaml:"queueSpans" validate:"min=16,max=65536"`
}
