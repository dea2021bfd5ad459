package tallymetrics

import (
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// namePrefix, followed by an underscore, precedes each name below.
const namePrefix = "peardrift"

// Names of the metrics of calls.
const (
	nameCalls = "calls_total"
	nameTime  = "call_seconds"
	nameQueue = "queue_seconds"

	nameResends        = "resends_total"
	nameResendsRefused = "resends_refused_total"
	nameWaits          = "entry_waits_total"
	nameWait           = "entry_wait_seconds"
	nameTruncated      = "truncated_answers_total"
)

// Names of the metrics of tenants.
const (
	nameTenantRuns     = "tenant_runs_total"
	nameTenantRefusals = "tenant_refusals_total"
	nameTenantBusy     = "tenant_busy_milliseconds_total"
)

// Labels of the metrics of calls.
const (
	labelHop     = "hop"
	labelService = "service"
	labelClass   = "class"
	labelOutcome = "outcome"
	labelCode    = "code"
	labelTenant  = "tenant"
	labelResult  = "result"
	labelReason  = "reason"
)

// other is the label value shared by all values without a series of their own.
const other = "other"

// codeNone is the code of a call that a target answered.
const codeNone = "none"

// durationBuckets range from a fast local call to the longest deadline. The bucket
// bound of 1.6 ms is the objective for added latency.
var durationBuckets = tally.DurationBuckets{
	100 * time.Microsecond, 250 * time.Microsecond, 500 * time.Microsecond,
	time.Millisecond, 1600 * time.Microsecond, 2500 * time.Microsecond, 5 * time.Millisecond,
	10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second, time.Minute,
}

// maxDuration is the last bucket. Longer durations are recorded as this value:
// tally reports a sample above all buckets as 292 years, which would corrupt _sum.
var maxDuration = durationBuckets[len(durationBuckets)-1]

// vecs holds the metric families whose series can be removed.
type vecs struct {
	calls, waits      *prom.CounterVec
	truncated         *prom.CounterVec
	time, queue, wait *prom.HistogramVec
	resends           []*prom.CounterVec
	tenants           []*prom.CounterVec
}

// register registers the families with the reporter, with help texts.
func (v *vecs) register(r prometheus.Reporter) {
	v.calls = must(r.RegisterCounter(namePrefix+"_"+nameCalls,
		[]string{labelHop, labelService, labelClass, labelOutcome, labelCode},
		"Hops that ended, by outcome and code."))
	v.waits = must(r.RegisterCounter(namePrefix+"_"+nameWaits,
		[]string{labelHop, labelService, labelClass, labelResult},
		"Requests that waited for their start, by what ended the wait."))
	v.truncated = must(r.RegisterCounter(namePrefix+"_"+nameTruncated,
		[]string{labelHop, labelService, labelClass, labelReason},
		"Answers that were passed on only in part, by reason."))
	v.time = histogram(r, nameTime, "Time from a hop's start to its end.")
	v.queue = histogram(r, nameQueue, "Time that a hop waited for a slot of the target.")
	v.wait = histogram(r, nameWait, "Time that a request waited for its start.")
	for _, c := range []struct{ name, help string }{
		{nameResends, "Further sends of calls that the target rejected."},
		{nameResendsRefused, "Rejected calls that the budget did not let go to the target again."},
	} {
		v.resends = append(v.resends, must(r.RegisterCounter(namePrefix+"_"+c.name, []string{labelHop, labelService, labelClass}, c.help)))
	}
	for _, c := range []struct{ name, help string }{
		{nameTenantRuns, "Requests of a tenant that ran on the target."},
		{nameTenantRefusals, "Requests of a tenant that were refused at the target."},
		{nameTenantBusy, "Time for which requests of a tenant ran on the target."},
	} {
		v.tenants = append(v.tenants, must(r.RegisterCounter(namePrefix+"_"+c.name, []string{labelTenant}, c.help)))
	}
}

func histogram(r prometheus.Reporter, name, help string) *prom.HistogramVec {
	return must(r.RegisterTimer(namePrefix+"_"+name, []string{labelHop, labelService, labelClass}, help,
		&prometheus.RegisterTimerOptions{
			TimerType:        prometheus.HistogramTimerType,
			HistogramBuckets: durationBuckets.AsValues(),
		})).Histogram
}

// must returns v and panics on err. Registration can't fail: the names are
// constants of this package and the registry is new.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// deletePair deletes the series of one pair.
func (v *vecs) deletePair(p pair) {
	labels := prom.Labels{labelService: p.service, labelClass: p.class}
	v.calls.DeletePartialMatch(labels)
	v.time.DeletePartialMatch(labels)
	v.queue.DeletePartialMatch(labels)
	for _, c := range v.resends {
		c.DeletePartialMatch(labels)
	}
	v.waits.DeletePartialMatch(labels)
	v.truncated.DeletePartialMatch(labels)
	v.wait.DeletePartialMatch(labels)
}

// deleteTenant deletes the series of one tenant.
func (v *vecs) deleteTenant(name string) {
	for _, c := range v.tenants {
		c.DeleteLabelValues(name)
	}
}
