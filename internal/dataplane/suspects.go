package dataplane

import (
	"sync"
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/core/suspect"
	"peardrift/internal/status"
)

// suspects makes the suspect core usable from traffic goroutines. Safe for concurrent
// use.
type suspects struct {
	now             func() time.Duration
	targetReachable func() bool          // reports whether the target accepts connections
	report          func(suspect.Report) // notifies the service's other nodes
	self            request.TargetID
	cfg             suspect.Config

	mu    sync.Mutex
	core  *suspect.Tracker
	probe chan struct{} // closed when the current probe has ended; nil if none
}

func newSuspects(cfg suspect.Config, self request.TargetID, now func() time.Duration, alive func() bool) *suspects {
	s := &suspects{now: now, targetReachable: alive, self: self, cfg: cfg, report: func(suspect.Report) {}}
	s.core = suspect.New(&s.cfg)
	return s
}

// start records a request that is about to run, or refuses it.
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

// end records a request's end. A request whose connection broke may have killed the
// target: the report of all requests in flight must be made before it counts as ended,
// or the report would lack the one that caused the crash.
func (s *suspects) end(t suspect.Ticket, complete, broken bool) {
	if broken {
		s.checkCrash()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Ended(s.now(), t, complete)
}

// checkCrash finds out whether the target died. Requests whose connections break
// together share one probe.
func (s *suspects) checkCrash() {
	s.mu.Lock()
	if wait := s.probe; wait != nil {
		s.mu.Unlock()
		<-wait
		return
	}
	done := make(chan struct{})
	s.probe = done
	s.mu.Unlock()
	dead := !s.targetReachable()
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

// crashID distinguishes this crash from the target's other ones. It doesn't use a
// counter because that would be lost at a restart of the node.
func (s *suspects) crashID() suspect.CrashID {
	return suspect.CrashID{Target: s.self, Incarnation: uint64(time.Now().UnixNano())}
}

// targetUp records that the target accepts calls again, so that its next crash counts
// even if its first request causes it.
func (s *suspects) targetUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Up()
}

// merge applies another node's report and reports whether it was new.
func (s *suspects) merge(r suspect.Report) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Merge(s.now(), r)
}

func (s *suspects) reports() []suspect.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Reports()
}

// fingerprint identifies the content of a call's request.
func (s *inboundCall) fingerprint(self request.Service) suspect.Fingerprint {
	h := &s.c.Request.Header
	return suspect.FingerprintOf(&suspect.Content{
		Tenant:  s.meta.Tenant,
		Service: self,
		Method:  string(h.Method()),
		URI:     string(h.RequestURI()),
		Body:    s.body.whole,
		Size:    int64(h.ContentLength()),
	})
}

// MergeSuspects applies a crash report of another node of the service. It returns
// whether anything in it was new.
func (e *Engine) MergeSuspects(r suspect.Report) bool { return e.suspects.merge(r) }

// KnownSuspects returns the reports to send to a node that joins the service.
func (e *Engine) KnownSuspects() []suspect.Report { return e.suspects.reports() }

// OnCrash sets the function that sends a crash report to the service's other nodes.
// Call it before traffic begins; f must not block.
func (e *Engine) OnCrash(f func(suspect.Report)) { e.suspects.report = f }

// Suspects returns how many fingerprints are suspected of crashing targets.
func (e *Engine) Suspects() int {
	e.suspects.mu.Lock()
	defer e.suspects.mu.Unlock()
	known, _ := e.suspects.core.Suspects()
	return known
}
