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

// minSampleInterval is the shortest interval between load samples for LoadLag.
const minSampleInterval = 5 * time.Millisecond

// errStopped is the cancellation cause of the runs of a target that crashed or was
// closed.
var errStopped = status.New(status.CodeConnectionLost, "the target stopped")

// Server is one stand-in target.
type Server struct {
	cfg          Config
	http         *httpd.Server
	slots        chan struct{}
	queued       atomic.Int64
	serviceTimes *serviceTimer
	loadReadings loadHistory
	count        counters
	runsFile     *os.File // nil: not written
	workFile     *os.File // nil: not written
	caller       *caller
	drainStart   atomic.Pointer[time.Time] // start of the drain; nil: not draining

	mu         sync.Mutex
	runCtx     context.Context // ends with a crash or Close
	cancelRuns context.CancelCauseFunc

	stop     chan struct{}
	sampling sync.WaitGroup
}

// New returns a target that is not listening yet.
func New(cfg Config) *Server {
	s := &Server{
		cfg:          cfg,
		slots:        make(chan struct{}, max(1, cfg.Slots)),
		serviceTimes: newServiceTimer(cfg, time.Now()),
		stop:         make(chan struct{}),
	}
	s.count.c.Runs = make(map[string]map[string]int)
	s.caller = newCaller(cfg, &s.count)
	s.runCtx, s.cancelRuns = context.WithCancelCause(context.Background())
	return s
}

// Start validates the configuration, starts listening and serves until Close.
func (s *Server) Start() error {
	if err := s.cfg.Validate(); err != nil {
		return err
	}
	var err error
	if s.runsFile, err = openAppend(s.cfg.RunsFile); err != nil {
		return err
	}
	if s.workFile, err = openAppend(s.cfg.WorkFile); err != nil {
		return err
	}
	s.serviceTimes.startCold(time.Now(), s.cfg.ColdFor)
	h, err := httpd.Start(httpd.Config{
		Listen:       s.cfg.Listen,
		MaxConns:     s.cfg.MaxConns,
		ConnectDelay: s.cfg.ConnectDelay,
	}, s.serve)
	if err != nil {
		return err
	}
	s.http = h
	if s.cfg.LoadLag > 0 {
		s.sampling.Go(s.sampleLoad)
	}
	return nil
}

// openAppend opens a file for appending; nil if name is empty.
func openAppend(name string) (*os.File, error) {
	if name == "" {
		return nil, nil
	}
	f, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, status.Wrap(status.CodeInvalidSettings, err, "open %s", name)
	}
	return f, nil
}

// logRun appends a run to RunsFile in a single write, so that the lines of several
// processes don't interleave.
func (s *Server) logRun(j job) {
	if s.runsFile != nil {
		_, _ = fmt.Fprintf(s.runsFile, "%s\t%s\t%s\t%s\n", s.cfg.Service, j.path, j.propagated.key, j.propagated.mark)
	}
}

// logWork appends a run that has ended to WorkFile.
func (s *Server) logWork(j job, began time.Time) {
	if s.workFile != nil {
		_, _ = fmt.Fprintf(s.workFile, "%s\t%s\t%s\t%d\t%d\n", s.cfg.Service, j.path, j.propagated.mark,
			began.UnixMicro(), time.Since(began).Microseconds())
	}
}

// Addr returns the listen address.
func (s *Server) Addr() string { return s.http.Addr() }

// URL returns the base URL of the target.
func (s *Server) URL() string { return "http://" + s.Addr() }

// Close cancels all runs and waits for them. Call it once, after Start.
func (s *Server) Close() error {
	close(s.stop)
	s.currentScope().cancel(errStopped)
	err := s.http.Close()
	s.caller.close()
	s.sampling.Wait()
	_ = s.runsFile.Close() // closing a nil file returns an error, which is ignored
	_ = s.workFile.Close()
	return err
}

// Counters returns the counters that /control/counters reports.
func (s *Server) Counters() Counters {
	c := s.count.snapshot()
	c.Queued = int(s.queued.Load())
	c.OpenConns = s.http.Conns.OpenCount()
	c.RejectedConns = s.http.Conns.Rejected()
	return c
}

// Drain starts a drain: runs in flight finish, new requests are refused after
// HealthLag.
func (s *Server) Drain() {
	now := time.Now()
	s.drainStart.CompareAndSwap(nil, &now)
}

// SetSlowdown multiplies service times by factor from the next run on; 1 is normal.
func (s *Server) SetSlowdown(factor float64) { s.serviceTimes.setFactor(factor) }

// Blackhole makes the currently open connections drop all traffic; new ones work.
func (s *Server) Blackhole() { s.http.Conns.Blackhole("") }

// Crash has the same effect as a request with the crash mark.
func (s *Server) Crash() {
	s.count.update(func(c *Counters) { c.Crashes++ })
	if s.cfg.OnCrash != nil {
		s.cfg.OnCrash()
		return
	}
	// The new context is set first: a client that sees its connection reset may
	// retry before this goroutine continues, and its run must not start under the
	// cancelled context.
	old := s.currentScope()
	s.mu.Lock()
	s.runCtx, s.cancelRuns = context.WithCancelCause(context.Background())
	s.mu.Unlock()
	s.http.Conns.Reset()
	old.cancel(errStopped)
	s.serviceTimes.startCold(time.Now(), s.cfg.ColdFor)
}

type runScope struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
}

func (s *Server) currentScope() runScope {
	s.mu.Lock()
	defer s.mu.Unlock()
	return runScope{s.runCtx, s.cancelRuns}
}

// sampleLoad records the load at intervals for LoadLag until Close.
func (s *Server) sampleLoad() {
	t := time.NewTicker(max(minSampleInterval, s.cfg.LoadLag/20))
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			s.loadReadings.add(now, s.load(), s.cfg.LoadLag)
		case <-s.stop:
			return
		}
	}
}

// load returns the actual current load.
func (s *Server) load() load {
	n := len(s.slots)
	return load{InFlight: n, Slots: cap(s.slots), Utilization: float64(n) / float64(cap(s.slots))}
}

// reportedLoad returns the load that /load reports.
func (s *Server) reportedLoad(now time.Time) load {
	switch {
	case s.cfg.FixedUtilization != nil:
		u := *s.cfg.FixedUtilization
		return load{InFlight: int(u * float64(cap(s.slots))), Slots: cap(s.slots), Utilization: u}
	case s.cfg.LoadLag > 0:
		v := s.loadReadings.at(now, s.cfg.LoadLag)
		v.Slots = cap(s.slots)
		return v
	default:
		return s.load()
	}
}

// drainVisible reports whether a drain started at least HealthLag ago, so that it
// is visible to clients.
func (s *Server) drainVisible(now time.Time) bool {
	since := s.drainStart.Load()
	return since != nil && now.Sub(*since) >= s.cfg.HealthLag
}
