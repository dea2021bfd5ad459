package target

import (
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"peardrift/bench/standin/httpd"
	"peardrift/internal/status"
)

// minSample bounds how often the load is sampled for a lagging /load.
const minSample = 5 * time.Millisecond

// errStopped ends the work of a target that crashed or was closed.
var errStopped = status.New(status.CodeConnectionLost, "the target stopped")

// Server is one running target.
type Server struct {
	cfg   Config
	http  *httpd.Server
	slots chan struct{}
	queue atomic.Int64
	pace  *pace
	loads loadLog
	count counters
	runs  *os.File // nil: not written
	held  *os.File // nil: not written
	calls *caller
	drain atomic.Pointer[time.Time] // since when it drains

	mu   sync.Mutex
	life context.Context // ends with a crash or Close
	kill context.CancelCauseFunc

	stop     chan struct{}
	sampling sync.WaitGroup
}

// New returns a target that isn't listening yet.
func New(cfg Config) *Server {
	s := &Server{
		cfg:   cfg,
		slots: make(chan struct{}, max(1, cfg.Slots)),
		pace:  newPace(cfg, time.Now()),
		stop:  make(chan struct{}),
	}
	s.count.c.Runs = make(map[string]map[string]int)
	s.calls = newCaller(cfg, &s.count)
	s.life, s.kill = context.WithCancelCause(context.Background())
	return s
}

// Start checks the settings, opens the port and serves until Close.
func (s *Server) Start() error {
	if err := s.cfg.Validate(); err != nil {
		return err
	}
	var err error
	if s.runs, err = appendTo(s.cfg.RunsFile); err != nil {
		return err
	}
	if s.held, err = appendTo(s.cfg.WorkFile); err != nil {
		return err
	}
	s.pace.restart(time.Now(), s.cfg.ColdFor)
	h, err := httpd.Start(httpd.Config{
		Listen:      s.cfg.Listen,
		MaxConns:    s.cfg.MaxConns,
		ConnectCost: s.cfg.ConnectCost,
	}, s.serve)
	if err != nil {
		return err
	}
	s.http = h
	if s.cfg.LoadLag > 0 {
		s.sampling.Go(s.sample)
	}
	return nil
}

// appendTo opens a file of lines; nil for none.
func appendTo(name string) (*os.File, error) {
	if name == "" {
		return nil, nil
	}
	f, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, status.Wrap(status.CodeInvalidSettings, err, "open %s", name)
	}
	return f, nil
}

// noteRun adds a run to the file of runs, by one write, so that lines of
// several processes don't mix.
func (s *Server) noteRun(j job) {
	if s.runs != nil {
		_, _ = fmt.Fprintf(s.runs, "%s\t%s\t%s\t%s\n", s.cfg.Service, j.path, j.origin.key, j.origin.mark)
	}
}

// noteWork adds a run that has ended to the file of work.
func (s *Server) noteWork(j job, began time.Time) {
	if s.held != nil {
		_, _ = fmt.Fprintf(s.held, "%s\t%s\t%s\t%d\t%d\n", s.cfg.Service, j.path, j.origin.mark,
			began.UnixMicro(), time.Since(began).Microseconds())
	}
}

// Addr returns the address in use.
func (s *Server) Addr() string { return s.http.Addr() }

// URL returns the base URL of the target.
func (s *Server) URL() string { return "http://" + s.Addr() }

// Close stops all work at once and waits for it. Call it once, after Start.
func (s *Server) Close() error {
	close(s.stop)
	s.lifetime().end(errStopped)
	err := s.http.Close()
	s.calls.close()
	s.sampling.Wait()
	_ = s.runs.Close() // of no file is an error that nobody needs
	_ = s.held.Close()
	return err
}

// Counters returns what /control/counters tells.
func (s *Server) Counters() Counters {
	c := s.count.snapshot()
	c.Queued = int(s.queue.Load())
	c.OpenConns = s.http.Conns.Open()
	c.RejectedConns = s.http.Conns.Rejected()
	return c
}

// Drain starts a graceful stop: work in flight finishes.
func (s *Server) Drain() {
	now := time.Now()
	s.drain.CompareAndSwap(nil, &now)
}

// Slow multiplies service times by factor from the next run on; 1 is normal.
func (s *Server) Slow(factor float64) { s.pace.setFactor(factor) }

// Silence makes the connections open now go silent; new ones work.
func (s *Server) Silence() { s.http.Conns.Silence("") }

// Crash does what a request with the crash mark does.
func (s *Server) Crash() {
	s.count.update(func(c *Counters) { c.Crashes++ })
	if s.cfg.OnCrash != nil {
		s.cfg.OnCrash()
		return
	}
	// The next life begins first: who sees its connection break may send again
	// before this goroutine runs on, and would meet the life that has ended.
	old := s.lifetime()
	s.mu.Lock()
	s.life, s.kill = context.WithCancelCause(context.Background())
	s.mu.Unlock()
	s.http.Conns.Reset()
	old.end(errStopped)
	s.pace.restart(time.Now(), s.cfg.ColdFor)
}

type lifetime struct {
	ctx context.Context
	end context.CancelCauseFunc
}

func (s *Server) lifetime() lifetime {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lifetime{s.life, s.kill}
}

// sample notes the load for a lagging /load until Close.
func (s *Server) sample() {
	t := time.NewTicker(max(minSample, s.cfg.LoadLag/20))
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			s.loads.add(now, s.load(), s.cfg.LoadLag)
		case <-s.stop:
			return
		}
	}
}

// load returns the true load of now.
func (s *Server) load() load {
	n := len(s.slots)
	return load{InFlight: n, Slots: cap(s.slots), Utilization: float64(n) / float64(cap(s.slots))}
}

// toldLoad returns what /load says.
func (s *Server) toldLoad(now time.Time) load {
	switch {
	case s.cfg.LoadLie != nil:
		u := *s.cfg.LoadLie
		return load{InFlight: int(u * float64(cap(s.slots))), Slots: cap(s.slots), Utilization: u}
	case s.cfg.LoadLag > 0:
		v := s.loads.at(now, s.cfg.LoadLag)
		v.Slots = cap(s.slots)
		return v
	default:
		return s.load()
	}
}

// leaving reports whether a drain is known to the outside.
func (s *Server) leaving(now time.Time) bool {
	since := s.drain.Load()
	return since != nil && now.Sub(*since) >= s.cfg.HealthLag
}
