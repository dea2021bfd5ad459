package client

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what became of a request, as its caller can tell.
type Result string

// The results. Partial and Wrong are false answers: there must be none.
const (
	Completed Result = "completed"
	Refused   Result = "refused"
	Failed    Result = "failed"
	Unknown   Result = "unknown" // no whole answer, and the connection said so
	Wrong     Result = "wrong"   // a whole answer, but not this request's
	Partial   Result = "partial" // an answer that ended as if it were whole
)

// Attempt is one attempt at a request.
type Attempt struct {
	Class  string
	Mark   string
	N      int  // 1 for the first
	Final  bool // no further one follows
	At     time.Time
	Took   time.Duration
	Status int    // 0: no answer
	Code   string // of the answer; connect-failed if nothing could be sent
	Result Result
	// Degraded tells of a completed request that optional calls are missing.
	Degraded bool
	// Err says what is wrong with an answer or a connection; nil for none.
	Err        error
	retryAfter time.Duration
}

const (
	lowest  = 1           // µs
	highest = 600_000_000 // µs: ten minutes
	digits  = 3
)

// Stats is the count of one class. Each request counts once, by its last attempt.
type Stats struct {
	Sent      int64
	Overrun   int64 // arrivals not sent, for Config.MaxOpen
	Attempts  int64
	Degraded  int64
	ByResult  map[Result]int64
	FirstFail error // of the first false answer or broken connection
	// Latency is that of completed requests in µs from their arrival, with the
	// time that earlier attempts and back-off took.
	Latency *hdrhistogram.Histogram
}

// Quantile returns the latency of completed requests at q, 0 to 100.
func (s *Stats) Quantile(q float64) time.Duration {
	return time.Duration(s.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// Report is the outcome of a run by class.
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
			Latency:  hdrhistogram.New(lowest, highest, digits),
		}
	}
	return r
}

func (r *recorder) update(class string, f func(*Stats)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.report[class])
}

// finish counts a request by its last attempt; it took so long in all.
func (r *recorder) finish(a Attempt, took time.Duration) {
	r.update(a.Class, func(s *Stats) {
		s.ByResult[a.Result]++
		if a.Degraded {
			s.Degraded++
		}
		if a.Err != nil && s.FirstFail == nil {
			s.FirstFail = a.Err
		}
		if a.Result == Completed {
			_ = s.Latency.RecordValue(min(max(took.Microseconds(), lowest), highest))
		}
	})
}
