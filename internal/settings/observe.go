package settings

import "time"

// Logs configures logging.
type Logs struct {
	// Level is the lowest level that is logged: debug, info, warn or error.
	// Default info. debug adds a line for each completed call; warn and error hide
	// refusals.
	Level string `yaml:"level" validate:"oneof=debug info warn error"`

	// File is the file that lines are appended to; "-" is standard output. Default:
	// standard error. Its folder must exist.
	File string `yaml:"file" validate:"max=4096"`

	// PerSecond bounds the lines per second over all messages. Default 200. Lines
	// above it are dropped and counted, and the count is logged. A higher value shows
	// more detail under overload but costs processor time when it is scarce; a lower
	// one saves it.
	PerSecond int `yaml:"perSecond" validate:"min=1,max=100000"`
}

// Metrics configures the metrics of the scrape endpoint.
type Metrics struct {
	// Interval is the time between two collections of the counters. Default 1s. A
	// scrape shows values at most this old; lower costs the control goroutine more
	// time.
	Interval time.Duration `yaml:"interval" validate:"min=100ms,max=1m"`

	// MaxClasses bounds the pairs of service and class with series of their own;
	// further pairs share one labelled "other". Default 128. Each takes up to 52 KB of
	// memory and 114 lines of a scrape; higher shows more detail.
	MaxClasses int `yaml:"maxClasses" validate:"min=1,max=10000"`
}

// Traces configures which spans are recorded and where they are exported. Without File and
// Endpoint, tracing is off.
type Traces struct {
	// File is the file that spans are appended to as JSON lines. Default: none. Its
	// folder must exist.
	File string `yaml:"file" validate:"max=4096"`

	// Endpoint is the URL of an OTLP/HTTP collector, for example
	// http://127.0.0.1:4318/v1/traces. Default: none.
	Endpoint string `yaml:"endpoint" validate:"omitempty,http_url"`

	// SampleRatio is the fraction of requests, 0 to 1, whose spans are recorded. The
	// trace ID decides, so all hops of a request agree. Default 0.01. Higher costs
	// processor time and memory on each call; 0 leaves only the spans of
	// KeepPerSecond.
	SampleRatio float64 `yaml:"sampleRatio" validate:"min=0,max=1"`

	// KeepPerSecond bounds the spans per second of unsampled requests that are kept
	// because they were refused, failed or have an unknown outcome. Default 10. 0
	// keeps none; higher shows more of an overload and costs more during one.
	KeepPerSecond int `yaml:"keepPerSecond" validate:"min=0,max=10000"`

	// QueueSpans bounds the spans queued for export; spans above it are dropped.
	// Default 2048. Higher tolerates a slower collector and takes about 1.2 KB per
	// span.
	QueueSpans int `yaml:"queueSpans" validate:"min=16,max=65536"`
}
