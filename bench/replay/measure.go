package replay

import (
	"time"

	"peardrift/bench/replay/workload"
	"peardrift/internal/core/request"
)

// bin is the width of the goodput series and of the windows for inversions.
const bin = 100 * time.Millisecond

// decision is a kind of decision that is counted.
type decision int

const (
	decidedAdmit decision = iota
	decidedRefuse
	decidedEarly
	decidedRetry
	decidedTimeout
	decisions
)

var decisionNames = [decisions]string{"admitted", "refused", "early", "retried", "timed-out"}

// spot is a service in a window.
type spot struct {
	service int
	window  int
}

// measures collects a run.
type measures struct {
	w       *world
	header  workload.Header
	classes map[string]*series
	useful  time.Duration
	useless time.Duration
	counts  [decisions]int
	refusal map[spot]map[uint8]int // refused calls by importance
	least   map[spot]uint8         // least importance that completed
	deep    amplification
	in      workload.Condition
}

// series is what became of the users of one class, by bin of time.
type series struct {
	arrived []int         // by arrival
	served  []int         // of those that arrived in the bin
	done    []int         // by completion
	failed  []int         // tries that had begun to run, by their end
	first   []int         // completed at the first try, by arrival
	took    time.Duration // of those that arrived before the trigger and were served
}

// amplification counts attempts at the deep service, and those beyond what
// requests need if each call of their chain is made once.
type amplification struct {
	attempts int
	extra    int
	worst    int // most extra attempts for one whole request, at all services
}

func newMeasures(w *world, h workload.Header) *measures {
	m := &measures{w: w, header: h, classes: map[string]*series{},
		refusal: map[spot]map[uint8]int{}, least: map[spot]uint8{},
		in: workload.Condition{Slow: map[string]float64{}, Part: map[string]float64{}, Within: w.timeout - 2*w.dep.ClientDelay}}
	n := int((h.Lasts+w.dep.Patience)/bin) + 1
	for i := range w.dep.Classes {
		m.classes[w.dep.Classes[i].Name] = &series{arrived: make([]int, n), served: make([]int, n),
			done: make([]int, n), failed: make([]int, n), first: make([]int, n)}
	}
	return m
}

func (m *measures) window() int       { return int(m.w.now / bin) }
func (m *measures) decide(d decision) { m.counts[d]++ }

func (m *measures) arrived(u *user) { m.classes[u.class.Name].arrived[m.window()]++ }

// failed notes a try that had begun to run and came to nothing.
func (m *measures) failed(u *user) { m.classes[u.class.Name].failed[m.window()]++ }

func (m *measures) completed(u *user, t *tree, work time.Duration) {
	s, born := m.classes[u.class.Name], int(u.born/bin)
	m.useful += work
	s.served[born]++
	s.done[m.window()]++
	if u.born < m.header.From {
		s.took += m.w.now - u.born
	}
	if u.tries == 1 {
		s.first[born]++
	}
	for _, svc := range m.w.services {
		if t.services&svc.bit() == 0 {
			continue
		}
		at := spot{svc.index, m.window()}
		if least, ok := m.least[at]; !ok || u.class.Importance < least {
			m.least[at] = u.class.Importance
		}
	}
}

// refused notes a call whose refusal was final.
func (m *measures) refused(c *call) {
	at := spot{m.w.service(c.spec.Service).index, m.window()}
	if m.refusal[at] == nil {
		m.refusal[at] = map[uint8]int{}
	}
	m.refusal[at][c.tree.class.Importance]++
}

// sent notes an attempt that goes out to a service.
func (m *measures) sent(c *call, to *service) {
	extra := c.tree.again(c)
	if extra {
		c.tree.extra++
		m.deep.worst = max(m.deep.worst, c.tree.extra)
	}
	if to.spec.Name != m.w.dep.Deep {
		return
	}
	m.deep.attempts++
	if extra {
		m.deep.extra++
	}
}

// inversions counts refused calls of the important classes, and those of them
// that were refused while the same service completed something less important.
func (m *measures) inversions() (refused, inverted int) {
	for at, by := range m.refusal {
		least, ok := m.least[at]
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
