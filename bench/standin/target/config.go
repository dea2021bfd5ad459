package target

import (
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"peardrift/internal/status"
)

// Distributions of the service time.
const (
	DistFixed       = "fixed"
	DistExponential = "exponential"
	DistLognormal   = "lognormal"
)

// Config configures one stand-in target. YAML durations have the form "2ms".
type Config struct {
	// Service is the service name in answers, for example "feed.khaosan".
	Service string `yaml:"service"`
	// Listen is the listen address; default "127.0.0.1:0", a free port.
	Listen string `yaml:"listen"`
	// Node is the URL of the node's egress listener, which receives outgoing calls.
	Node string `yaml:"node"`
	// Direct maps a service to the URLs of its targets. Calls to it bypass the node
	// and go to these in round-robin order, as a baseline for comparison.
	Direct map[string][]string `yaml:"direct"`
	// Slots is the number of concurrent runs; default 25. A run holds its slot
	// during its calls.
	Slots int `yaml:"slots"`
	// Queue bounds the requests that wait for a slot; those above it get 503 with
	// Retry-After. 0: no bound.
	Queue int `yaml:"queue"`
	// Shed answers 503 with Retry-After at once when no slot is free.
	Shed bool `yaml:"shed"`
	// MaxConns bounds open connections; those above it are reset. 0: no bound.
	MaxConns int `yaml:"max_conns"`
	// ConnectDelay delays the first read on each connection.
	ConnectDelay time.Duration `yaml:"connect_cost"`
	// ServiceTime is the mean time that a run holds its slot, not counting its
	// calls; a route may override it. Default 2ms.
	ServiceTime time.Duration `yaml:"service_time"`
	// Dist is fixed, exponential or lognormal; default fixed.
	Dist string `yaml:"dist"`
	// Sigma is the shape parameter of the lognormal distribution; default 0.5.
	Sigma float64 `yaml:"sigma"`
	// Seed seeds the random service times and call probabilities.
	Seed uint64 `yaml:"seed"`
	// ColdFor is the duration of a cold start, during which runs take ColdFactor
	// times as long.
	ColdFor    time.Duration `yaml:"cold_for"`
	ColdFactor float64       `yaml:"cold_factor"`
	// IgnoreDeadline continues runs past X-Request-Deadline-Ms.
	IgnoreDeadline bool `yaml:"ignore_deadline"`
	// IgnoreCancel continues runs whose client has disconnected.
	IgnoreCancel bool `yaml:"ignore_cancel"`
	// HealthLag is the delay after the start of a drain until /healthz reports it
	// and new requests are refused.
	HealthLag time.Duration `yaml:"health_lag"`
	// AlwaysHealthy makes /healthz always answer 200.
	AlwaysHealthy bool `yaml:"health_lies"`
	// LoadLag is the age of the values that /load reports.
	LoadLag time.Duration `yaml:"load_lag"`
	// FixedUtilization, if set, is the utilization that /load always reports.
	FixedUtilization *float64 `yaml:"load_lie"`
	// RunsFile, if set, is a file to which each run appends a tab-separated line
	// when it starts: service, path, key, mark. It outlives the process, so that
	// the runs of a killed target are counted.
	RunsFile string `yaml:"runs_file"`
	// WorkFile, if set, is a file to which each run appends a tab-separated line
	// when it ends: service, path, mark, start (Unix time in µs), slot holding
	// time (µs).
	WorkFile string `yaml:"work_file"`
	// CallTimeout bounds one outgoing call; default 10s.
	CallTimeout time.Duration `yaml:"call_timeout"`
	// Routes are tried in order; the first whose method and prefix match is used.
	Routes []Route `yaml:"routes"`

	// OnCrash replaces the simulated crash (reset all connections, drop all runs,
	// start cold); the stand-in's main program sets it to exit the process.
	OnCrash func() `yaml:"-"`
}

// Route describes the runs of matching requests.
type Route struct {
	// Method is empty for any method.
	Method string `yaml:"method"`
	Prefix string `yaml:"prefix"`
	// ServiceTime is the mean service time; 0: Config.ServiceTime.
	ServiceTime time.Duration `yaml:"service_time"`
	// Size is the number of fill bytes in the answer.
	Size int `yaml:"size"`
	// Parallel makes the calls concurrently instead of sequentially.
	Parallel bool   `yaml:"parallel"`
	Calls    []Call `yaml:"calls"`
	// CrashMark crashes the target when the request's mark contains it, or when
	// its X-Crash header equals it. Empty: never.
	CrashMark string `yaml:"crash_mark"`
}

// Call is an outgoing call to another service.
type Call struct {
	Service string `yaml:"service"`
	Method  string `yaml:"method"` // default GET
	Path    string `yaml:"path"`
	// Key sends an Idempotency-Key derived from that of the request.
	Key bool `yaml:"key"`
	// Probability is the probability that the call is made, 0 to 1; 0: always.
	Probability float64 `yaml:"chance"`
	// Required fails the request when the call fails.
	Required bool `yaml:"required"`
	// Attempts is the maximum number of attempts; default 1.
	Attempts int `yaml:"attempts"`
}

// DefaultConfig returns the configuration of a small target with one route that
// matches every request.
func DefaultConfig(service string) Config {
	return Config{
		Service:     service,
		Listen:      "127.0.0.1:0",
		Slots:       25,
		ServiceTime: 2 * time.Millisecond,
		Dist:        DistFixed,
		Sigma:       0.5,
		ColdFactor:  1,
		CallTimeout: 10 * time.Second,
		Routes:      []Route{{Prefix: "/"}},
	}
}

// Load reads a Config from a YAML file over the defaults, applies override (may be
// nil) and validates the result. Unknown keys are errors.
func Load(file string, override func(*Config)) (Config, error) {
	cfg := DefaultConfig("")
	raw, err := os.ReadFile(file)
	if err != nil {
		return cfg, status.Wrap(status.CodeInvalidSettings, err, "read %s", file)
	}
	if err := yaml.UnmarshalWithOptions(raw, &cfg, yaml.Strict()); err != nil {
		return cfg, status.Wrap(status.CodeInvalidSettings, err, "parse %s", file)
	}
	if override != nil {
		override(&cfg)
	}
	return cfg, cfg.Validate()
}

// Validate returns an error for the first invalid setting.
func (c Config) Validate() error {
	switch {
	case c.Service == "":
		return status.New(status.CodeInvalidSettings, "service: missing")
	case c.Slots < 1:
		return status.New(status.CodeInvalidSettings, "slots: %d, must be at least 1", c.Slots)
	case c.Dist != DistFixed && c.Dist != DistExponential && c.Dist != DistLognormal:
		return status.New(status.CodeInvalidSettings, "dist: unknown distribution %q", c.Dist)
	}
	for _, r := range c.Routes {
		for _, call := range r.Calls {
			if c.Node == "" && len(c.Direct[call.Service]) == 0 {
				return status.New(status.CodeInvalidSettings, "routes: %s calls %s, but node is not set", r.Prefix, call.Service)
			}
		}
	}
	return nil
}
