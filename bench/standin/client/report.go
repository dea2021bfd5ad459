package client

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is the result of a request as its caller sees it.
type Result string

// The results. Partial and Wrong are corrupt answers, which must never occur.
const (
	Completed Result = "completed"
	Refused   Result = "refused"
	Failed    Result = "failed"
	Unknown   Result = "unknown" // no whole answer, with a visible connection error or timeout
	Wrong     Result = "wrong"   // a whole answer, but to another request
	Partial   Result = "partial" // a truncated answer without a connection error
)

// Attempt is one attempt at a request.
type Attempt struct {
	Class       string
	RequestMark string
	N           int  // 1 for the first
	Final       bool // last attempt at the request
	At          time.Time
	Latency     time.Duration
	Status      int    // HTTP status; 0: no answer
	Code        string // error code of the answer; connect-failed if no connection was made
	Result      Result
	// Degraded reports that the answer of a completed request lacks those of
	// optional calls.
	Degraded bool
	// Err is the fault of an answer or a connection; nil if there is none.
	Err        error
	retryAfter time.Duration
}

const (
	minLatencyMicros  = 1           // µs
	maxLatencyMicros  = 600_000_000 // µs: ten minutes
	significantDigits = 3
)

// Stats are the counters of one class. Each request counts once, by the result of
// its last attempt.
type Stats struct {
	Sent       int64
	Unsent     int64 // arrivals not sent because of Config.MaxInFlight
	Attempts   int64
	Degraded   int64
	ByResult   map[Result]int64
	FirstError error // the first corrupt answer or broken connection
	// Latency of completed requests in µs since their arrival, including earlier
	// attempts and backoff.
	Latency *hdrhistogram.Histogram
}

// Quantile returns the latency of completed requests at percentile q, 0 to 100.
func (s *Stats) Quantile(q float64) time.Duration {
	return time.Duration(s.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// Report maps the name of a class to its Stats.
type Report map[string]*Stats

type recorder struct {
	mu     sync.Mutex
	report Report
}

func newRecorder(cfg Config) *recorder {
	r := &recorder{report: make(Report)}
	for _, c := range cfg.Classes {
		r.report[c.Name] = &Stats{
			ByResult: make(map[Result]int64),
			Latency:  hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
		}
	}
	return r
}

func (r *recorder) updateClass(class string, f func(*Stats)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.report[class])
}

// finish records a request by its last attempt; took is its total time.
func (r *recorder) finish(a Attempt, took time.Duration) {
	r.updateClass(a.Class, func(s *Stats) {
		s.ByResult[a.Result]++
		if a.Degraded {
			s.Degraded++
		}
		if a.Err != nil && s.FirstError == nil {
			s.FirstError = a.Err
		}
		if a.Result == Completed {
			_ = s.Latency.RecordValue(min(max(took.Microseconds(), minLatencyMicros), maxLatencyMicros))
		}
	})
}
