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

// Config describes one stand-in target. Durations are written as "2ms" in YAML.
type Config struct {
	// Service is the name in answers, as "feed.khaosan".
	Service string `yaml:"service"`
	// Listen is the address; default "127.0.0.1:0", a free port.
	Listen string `yaml:"listen"`
	// Node is the URL of the target face of this target's node, where calls go.
	Node string `yaml:"node"`
	// Direct maps a service to URLs of its targets; calls to it go there in
	// turn and not through the node: the baseline of a comparison.
	Direct map[string][]string `yaml:"direct"`
	// Slots is the work executed at once; default 25. A slot is held during calls.
	Slots int `yaml:"slots"`
	// Queue bounds the work that waits for a slot, further work gets 503 with
	// Retry-After; 0: no bound.
	Queue int `yaml:"queue"`
	// Shed answers 503 with Retry-After at once when no slot is free.
	Shed bool `yaml:"shed"`
	// MaxConns bounds open connections; further ones are reset. 0: no bound.
	MaxConns int `yaml:"max_conns"`
	// ConnectCost delays the first read on each connection.
	ConnectCost time.Duration `yaml:"connect_cost"`
	// ServiceTime is the mean time that a run holds its slot beside its calls;
	// a route may set its own. Default 2ms.
	ServiceTime time.Duration `yaml:"service_time"`
	// Dist is fixed, exponential or lognormal; default fixed.
	Dist string `yaml:"dist"`
	// Sigma is the lognormal shape; default 0.5.
	Sigma float64 `yaml:"sigma"`
	// Seed seeds the draws of service times.
	Seed uint64 `yaml:"seed"`
	// ColdFor is the time after a start during which runs take ColdFactor times
	// as long.
	ColdFor    time.Duration `yaml:"cold_for"`
	ColdFactor float64       `yaml:"cold_factor"`
	// IgnoreDeadline runs work on past X-Request-Deadline-Ms.
	IgnoreDeadline bool `yaml:"ignore_deadline"`
	// IgnoreCancel runs work on though its client has gone.
	IgnoreCancel bool `yaml:"ignore_cancel"`
	// HealthLag is how late /healthz tells of a drain, and from when new work
	// is refused.
	HealthLag time.Duration `yaml:"health_lag"`
	// HealthLies makes /healthz say 200 always.
	HealthLies bool `yaml:"health_lies"`
	// LoadLag is how old the figures of /load are.
	LoadLag time.Duration `yaml:"load_lag"`
	// LoadLie, if set, is the utilization that /load always tells.
	LoadLie *float64 `yaml:"load_lie"`
	// RunsFile, if set, is a file to which each run adds a line when it begins:
	// service, path, key and mark, with tabs between. It outlives the process, so
	// that runs are counted though their target is killed.
	RunsFile string `yaml:"runs_file"`
	// WorkFile, if set, is a file to which each run adds a line when it ends:
	// service, path, mark, begin (Unix time in µs) and the time that it held its
	// slot (µs), with tabs between.
	WorkFile string `yaml:"work_file"`
	// CallTimeout bounds one outgoing call; default 10s.
	CallTimeout time.Duration `yaml:"call_timeout"`
	// Routes is tried in order; the first whose method and prefix match runs.
	Routes []Route `yaml:"routes"`

	// OnCrash replaces the library's own crash (break all connections, drop all
	// work, start cold again); the process sets it to an exit.
	OnCrash func() `yaml:"-"`
}

// Route is one kind of work.
type Route struct {
	// Method is empty for any method.
	Method string `yaml:"method"`
	Prefix string `yaml:"prefix"`
	// ServiceTime is the mean of this route; 0: the target's.
	ServiceTime time.Duration `yaml:"service_time"`
	// Size is the number of filling bytes in the answer.
	Size int `yaml:"size"`
	// Parallel makes all the calls at once, not one after the other.
	Parallel bool   `yaml:"parallel"`
	Calls    []Call `yaml:"calls"`
	// CrashMark crashes the target when the request's mark contains it, or when
	// its X-Crash header equals it. Empty: never.
	CrashMark string `yaml:"crash_mark"`
}

// Call is one call to a further service.
type Call struct {
	Service string `yaml:"service"`
	Method  string `yaml:"method"` // default GET
	Path    string `yaml:"path"`
	// Key sends an Idempotency-Key derived from the request's own.
	Key bool `yaml:"key"`
	// Chance is the probability that the call is made, 0 to 1; 0: always.
	Chance float64 `yaml:"chance"`
	// Required fails the whole request when the call fails.
	Required bool `yaml:"required"`
	// Attempts is how often the call is tried in all; default 1.
	Attempts int `yaml:"attempts"`
}

// DefaultConfig returns a small target of a service with one route for all.
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

// Load reads a Config from a YAML file over the defaults, then applies override
// (may be nil) and checks it; unknown keys are refused.
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

// Validate reports the first setting that can't be used.
func (c Config) Validate() error {
	switch {
	case c.Service == "":
		return status.New(status.CodeInvalidSettings, "service: missing")
	case c.Slots < 1:
		return status.New(status.CodeInvalidSettings, "slots: %d, must be at least 1", c.Slots)
	case c.Dist != DistFixed && c.Dist != DistExponential && c.Dist != DistLognormal:
		return status.New(status.CodeInvalidSettings, "dist: %q is not known", c.Dist)
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
