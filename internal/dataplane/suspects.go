package dataplane

import (
	"sync"
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/core/suspect"
	"peardrift/internal/status"
)

// suspects runs the suspect core for traffic goroutines. Safe for concurrent
// use.
type suspects struct {
	now    func() time.Duration
	alive  func() bool          // whether the target takes connections
	report func(suspect.Report) // tells the service's other nodes
	self   request.TargetID
	cfg    suspect.Config

	mu    sync.Mutex
	core  *suspect.Tracker
	probe chan struct{} // closed when the probe under way has ended; nil if none
}

func newSuspects(cfg suspect.Config, self request.TargetID, now func() time.Duration, alive func() bool) *suspects {
	s := &suspects{now: now, alive: alive, self: self, cfg: cfg, report: func(suspect.Report) {}}
	s.core = suspect.New(&s.cfg)
	return s
}

// start books a request that is about to run, or refuses it.
func (s *suspects) start(fp suspect.Fingerprint) (suspect.Ticket, *status.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.core.Check(s.now(), fp) {
	case suspect.Refuse:
		return suspect.Ticket{}, status.Refuse(status.CodeSuspect, 0, "the same request has crashed %d targets", s.cfg.MaxCrashes)
	case suspect.Busy:
		return suspect.Ticket{}, status.Refuse(status.CodeIsolationBusy, s.cfg.RetryAfter, "requests suspected of crashing targets run one at a time")
	}
	return s.core.Started(fp), nil
}

// end books a request's end. One that ended with its connection may have killed
// the target: then, before it counts as ended, all that was in flight beside it
// is reported. If it counted as ended first, the report would lack the culprit.
func (s *suspects) end(t suspect.Ticket, whole, broken bool) {
	if broken {
		s.look()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Ended(s.now(), t, whole)
}

// look finds out whether the target died. Requests that break together wait
// for one probe.
func (s *suspects) look() {
	s.mu.Lock()
	if wait := s.probe; wait != nil {
		s.mu.Unlock()
		<-wait
		return
	}
	done := make(chan struct{})
	s.probe = done
	s.mu.Unlock()
	dead := !s.alive()
	s.mu.Lock()
	var r suspect.Report
	ok := false
	if dead {
		r, ok = s.core.Crashed(s.now(), s.crashID())
	}
	s.probe = nil
	s.mu.Unlock()
	close(done)
	if ok {
		s.report(r)
	}
}

// crashID tells this crash from the target's others, also after a restart of
// the node, which forgets how many there were.
func (s *suspects) crashID() suspect.CrashID {
	return suspect.CrashID{Target: s.self, Incarnation: uint64(time.Now().UnixNano())}
}

// up takes in that the target takes calls again, so that its next death counts
// though it may be of its first request.
func (s *suspects) up() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Up()
}

// merge takes in another node's report.
func (s *suspects) merge(r suspect.Report) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Merge(s.now(), r)
}

func (s *suspects) known() []suspect.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Known()
}

// fingerprint identifies what a call asks for.
func (s *serving) fingerprint(self request.Service) suspect.Fingerprint {
	h := &s.c.Request.Header
	return suspect.Of(&suspect.Content{
		Tenant:  s.meta.Tenant,
		Service: self,
		Method:  string(h.Method()),
		URI:     string(h.RequestURI()),
		Body:    s.body.whole,
		Size:    int64(h.ContentLength()),
	})
}

// MergeSuspects takes in what another node of the service reports of a crash.
// It returns whether something in it was new.
func (e *Engine) MergeSuspects(r suspect.Report) bool { return e.suspects.merge(r) }

// KnownSuspects returns what a node that joins the service is to be told.
func (e *Engine) KnownSuspects() []suspect.Report { return e.suspects.known() }

// OnCrash sets what tells the service's other nodes of a crash. Call it before
// traffic begins; f must not block.
func (e *Engine) OnCrash(f func(suspect.Report)) { e.suspects.report = f }

// Suspects returns how many fingerprints are suspected of crashing targets.
func (e *Engine) Suspects() int {
	e.suspects.mu.Lock()
	defer e.suspects.mu.Unlock()
	known, _ := e.suspects.core.Suspects()
	return known
}
