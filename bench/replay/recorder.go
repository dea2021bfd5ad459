package replay

import (
	"time"

	"peardrift/bench/replay/workload"
	"peardrift/internal/core/request"
)

// bin is the interval of the goodput series and of the priority inversion windows.
const bin = 100 * time.Millisecond

// decision is a kind of counted decision.
type decision int

const (
	decisionAdmit decision = iota
	decisionRefuse
	decisionEarly
	decisionRetry
	decisionTimeout
	decisionCount
)

var decisionNames = [decisionCount]string{"admitted", "refused", "early", "retried", "timed-out"}

// serviceWindow identifies a service in one bin of time.
type serviceWindow struct {
	service int
	window  int
}

// recorder collects the measurements of a run.
type recorder struct {
	sim               *simulation
	header            workload.Header
	classes           map[string]*classSeries
	usefulTime        time.Duration
	wastedTime        time.Duration
	counts            [decisionCount]int
	refusedCalls      map[serviceWindow]map[uint8]int // count of refused calls by importance
	minCompleted      map[serviceWindow]uint8         // lowest importance that completed
	downstreamService amplification
	condition         workload.Condition
}

// classSeries counts what happened to the users of one class, per bin.
type classSeries struct {
	arrived      []int         // by arrival
	served       []int         // by arrival
	completed    []int         // by completion
	failed       []int         // attempts that had begun to run, by their end
	firstAttempt []int         // completed at the first attempt, by arrival
	latencySum   time.Duration // of served users that arrived before the trigger phase
}

// amplification counts attempts at the deployment's DownstreamService, and how many of
// them exceed one per call.
type amplification struct {
	attempts int
	extra    int
	maxExtra int // most extra attempts for one root request, over all services
}

func newRecorder(sim *simulation, h workload.Header) *recorder {
	rec := &recorder{sim: sim, header: h, classes: map[string]*classSeries{},
		refusedCalls: map[serviceWindow]map[uint8]int{}, minCompleted: map[serviceWindow]uint8{},
		condition: workload.Condition{Slowdown: map[string]float64{}, WorkingFraction: map[string]float64{}, Timeout: sim.clientTimeout - 2*sim.deployment.ClientDelay}}
	n := int((h.Duration+sim.deployment.RetryWindow)/bin) + 1
	for i := range sim.deployment.Classes {
		rec.classes[sim.deployment.Classes[i].Name] = &classSeries{arrived: make([]int, n), served: make([]int, n),
			completed: make([]int, n), failed: make([]int, n), firstAttempt: make([]int, n)}
	}
	return rec
}

func (rec *recorder) currentBin() int          { return int(rec.sim.now / bin) }
func (rec *recorder) countDecision(d decision) { rec.counts[d]++ }

func (rec *recorder) recordArrival(u *user) { rec.classes[u.class.Name].arrived[rec.currentBin()]++ }

// recordFailure counts an attempt that had begun to run and did not complete.
func (rec *recorder) recordFailure(u *user) { rec.classes[u.class.Name].failed[rec.currentBin()]++ }

func (rec *recorder) recordCompletion(u *user, t *rootRequest, work time.Duration) {
	s, arrivalBin := rec.classes[u.class.Name], int(u.arrivedAt/bin)
	rec.usefulTime += work
	s.served[arrivalBin]++
	s.completed[rec.currentBin()]++
	if u.arrivedAt < rec.header.From {
		s.latencySum += rec.sim.now - u.arrivedAt
	}
	if u.attempts == 1 {
		s.firstAttempt[arrivalBin]++
	}
	for _, svc := range rec.sim.services {
		if t.completedServices&svc.bit() == 0 {
			continue
		}
		at := serviceWindow{svc.index, rec.currentBin()}
		if least, ok := rec.minCompleted[at]; !ok || u.class.Importance < least {
			rec.minCompleted[at] = u.class.Importance
		}
	}
}

// recordRefusal counts a call that ended as refused.
func (rec *recorder) recordRefusal(c *call) {
	at := serviceWindow{rec.sim.service(c.spec.Service).index, rec.currentBin()}
	if rec.refusedCalls[at] == nil {
		rec.refusedCalls[at] = map[uint8]int{}
	}
	rec.refusedCalls[at][c.root.class.Importance]++
}

// recordAttempt counts an attempt sent to a service.
func (rec *recorder) recordAttempt(c *call, to *service) {
	extra := c.root.addAttempt(c)
	if extra {
		c.root.extraAttempts++
		rec.downstreamService.maxExtra = max(rec.downstreamService.maxExtra, c.root.extraAttempts)
	}
	if to.spec.Name != rec.sim.deployment.DownstreamService {
		return
	}
	rec.downstreamService.attempts++
	if extra {
		rec.downstreamService.extra++
	}
}

// inversions returns the number of refused calls of important classes, and how many of
// them were refused while the same service completed a less important call.
func (rec *recorder) inversions() (refused, inverted int) {
	for at, by := range rec.refusedCalls {
		least, ok := rec.minCompleted[at]
		for imp, n := range by {
			if !(&workload.Class{Importance: imp}).Important() {
				continue
			}
			refused += n
			if ok && least < imp {
				inverted += n
			}
		}
	}
	return refused, inverted
}

func importanceOf(c *workload.Class) request.Importance { return request.Importance(c.Importance) }
