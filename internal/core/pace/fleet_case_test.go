package pace

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// levelAge is how old a level may be: a queue stands for 100 ms, a window of 50 ms ends,
	// and an answer brings the level.
	levelAge = 200 * ms
	// maxLater is the part of the started requests that may fail for a refusal further down.
	maxLater = 0.03

	event  = 12 * time.Second // when the event of a case happens
	length = 25 * time.Second
)

// maxExcess is the ratio to the capacity that a level of levelAge may let start.
var maxExcess = math.Pow(1.1, float64(levelAge)/float64(50*ms))

// threeGates has long chains and few large gates.
func threeGates(seed uint64, pacing bool) *fleet {
	return newFleet(seed, pacing, 70, 230, []float64{0.5, 1, 1.5},
		class{name: "direct", importance: 90, calls: 1, service: 180 * ms, share: 0.2, objective: 500 * ms, timeout: 1200 * ms},
		class{name: "eight", importance: 60, calls: 8, service: 90 * ms, share: 0.5, objective: 1500 * ms, timeout: 1500 * ms},
		class{name: "four", importance: 30, calls: 4, service: 90 * ms, share: 0.3, objective: 4 * time.Second, timeout: 1500 * ms})
}

// fiveGates has short chains and small gates.
func fiveGates(seed uint64, pacing bool) *fleet {
	return newFleet(seed, pacing, 70, 42, []float64{0.5, 0.75, 1, 1.25, 1.5},
		class{name: "direct", importance: 90, calls: 1, service: 80 * ms, share: 0.2, objective: 200 * ms, timeout: 500 * ms},
		class{name: "eight", importance: 60, calls: 8, service: 40 * ms, share: 0.5, objective: 1200 * ms, timeout: 1500 * ms},
		class{name: "four", importance: 30, calls: 4, service: 40 * ms, share: 0.3, objective: 1200 * ms, timeout: 1500 * ms})
}

var sites = []struct {
	name string
	new  func(uint64, bool) *fleet
}{{"three gates", threeGates}, {"five gates", fiveGates}}

func twice(time.Duration) float64 { return 2 }

func step(now time.Duration) float64 {
	if now < event {
		return 0.7
	}
	return 2
}

func wave(now time.Duration) float64 {
	return 1.3 * (1 + 0.55*math.Sin(2*math.Pi*now.Seconds()/15))
}

func restartGate(f *fleet) { f.restart(f.gates[0]) }

func loseEntry(f *fleet) { f.entries[0].down = true }

func halveSpeed(f *fleet) {
	f.gates[1].speed /= 2
	f.capacity -= float64(f.gates[1].slots) * f.gates[1].speed
}

func cutHalf(f *fleet) {
	for _, e := range f.entries[:len(f.entries)/2] {
		e.cut = true
		f.After(5*time.Second, func() { e.cut = false })
	}
}

// Guards against entries that together start more than the gates can run, and against
// requests that start and fail because a gate further down refuses a call.
func TestStartedRequestsFitAndFinish(t *testing.T) {
	cases := []struct {
		name   string
		demand func(time.Duration) float64
		event  func(*fleet)
	}{
		{name: "steady", demand: twice},
		{name: "step", demand: step},
		{name: "wave", demand: wave},
		{name: "gate restarts", demand: twice, event: restartGate},
		{name: "entry dies", demand: twice, event: loseEntry},
		{name: "answers lost, late, twice, out of order", demand: twice, event: func(f *fleet) { f.faultyReports = true }},
		{name: "speed halves", demand: twice, event: halveSpeed},
		{name: "half of the entries cut off", demand: twice, event: cutHalf},
	}
	for _, site := range sites {
		for _, c := range cases {
			t.Run(site.name+"/"+c.name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := site.new(1, true)
				f.demand = c.demand
				if c.event != nil {
					f.After(event, func() { c.event(f) })
				}
				f.run(length)
				excess, at := f.excess()
				t.Logf("most started in a second: %.2f of the capacity, at %v; refused later: %.4f", excess, at, f.later())
				f.log(t)
				is.True(excess <= maxExcess)
				is.True(f.later() < maxLater)
			})
		}
	}
}

// excess returns the most work that started in a second, as a part of the capacity.
func (f *fleet) excess() (most float64, at time.Duration) {
	for from := f.from; from+time.Second <= length; from += bin {
		sum := 0.0
		for i := range time.Second / bin {
			sum += f.startedWork[from/bin+i]
		}
		if sum > most {
			most, at = sum, from
		}
	}
	return most, at
}

// later returns the part of the started requests that failed for a refusal further down.
func (f *fleet) later() float64 {
	started, later := 0, 0
	for _, c := range f.classes {
		started, later = started+c.started, later+c.refusedLater
	}
	return float64(later) / float64(started)
}

// done returns the slot time of the completed requests as a part of the capacity.
func (f *fleet) done() (sum float64) {
	for _, c := range f.classes {
		sum += c.work() * float64(c.completed)
	}
	return sum / (f.capacity * (length - f.from).Seconds())
}

func (f *fleet) log(t *testing.T) {
	for _, c := range f.classes {
		n := float64(c.arrived)
		t.Logf("%-6s completed %.3f refused %.3f failed after start %.3f, refused later %.3f of those started", c.name,
			float64(c.completed)/n, float64(c.refused)/n, float64(c.started-c.completed)/n, float64(c.refusedLater)/float64(c.started))
	}
	t.Logf("slot time of completed requests: %.3f of the capacity", f.done())
}

// Guards against pacing that serves callers worse than refusing requests by their hash:
// less completed work, or the most important requests served worse.
func TestSteadyDemandAgainstRefusalByHash(t *testing.T) { compareWithHash(t, twice) }

// Guards against the same while demand rises above the capacity and falls below it.
func TestWaveAgainstRefusalByHash(t *testing.T) { compareWithHash(t, wave) }

func compareWithHash(t *testing.T, demand func(time.Duration) float64) {
	for _, site := range sites {
		t.Run(site.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			hash, paced := site.new(1, false), site.new(1, true)
			for _, f := range []*fleet{hash, paced} {
				f.demand = demand
				f.run(length)
				f.log(t)
			}
			is.True(paced.done() >= hash.done())
			is.True(paced.classes[0].completedPart() >= hash.classes[0].completedPart()-0.01)
		})
	}
}

func (c *class) completedPart() float64 { return float64(c.completed) / float64(c.arrived) }
