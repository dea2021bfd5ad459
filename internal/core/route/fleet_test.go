package route

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"peardrift/internal/core/admission"
	"peardrift/internal/core/request"
	"peardrift/internal/core/targetspeed"
)

// deployment is a service in virtual time: callers with a Table each, and targets with the gate
// and the meter of their node in front.
type deployment struct {
	cfg        Config
	seed       uint64
	callers    int
	zones      int
	slots      int
	speeds     []float64 // of the targets, which are spread over the zones in turn
	load       float64   // demand as a fraction of the capacity
	work       time.Duration
	tail       float64 // fraction of the requests that take tailFactor as long
	oneWay     time.Duration
	objective  time.Duration
	timeout    time.Duration
	duration   time.Duration
	slows      float64                                                // fraction of the time that targets are 2.5 times slower
	figure     func(target int, honest int) int                       // stated; nil: honest
	reportLag  func(*rand.Rand) time.Duration                         // by which answers' reports are late; nil: none
	demand     func(now time.Duration) float64                        // factor on load; nil: 1
	lost       func(now time.Duration, target int) bool               // nil: none
	speedFault func(now time.Duration, target int) (slowdown float64) // nil: by slows
	today      bool                                                   // calls state no class
	cold       bool                                                   // count from the start; otherwise after a fifth of the time
	rare       int                                                    // callers with one call a second

	rng     *rand.Rand
	q       eventQueue
	seq     uint64
	targets []*fleetTarget
	tables  []*Table
	result  fleetResult
}

// fleetResult is what callers got.
type fleetResult struct {
	calls, served, late, left int
	zoneCalls, zoneFailed     []int
	rareCalls, rareFailed     int
	waiting                   int // samples, one each ms, with calls waiting at a target
	beside                    int // those in which another target had a free tenth of its slots
	longest                   time.Duration
	times                     []time.Duration
}

func (r *fleetResult) failed() float64 { return 1 - float64(r.served)/float64(r.calls) }
func (r *fleetResult) lateShare() float64 {
	return float64(r.late) / float64(max(r.served, 1))
}
func (r *fleetResult) leftShare() float64   { return float64(r.left) / float64(r.calls) }
func (r *fleetResult) besideShare() float64 { return float64(r.beside) / float64(max(r.waiting, 1)) }

// zoneSpread returns the lowest and the highest fraction of failed calls of a zone.
func (r *fleetResult) zoneSpread() (low, high float64) {
	low = 1
	for z, n := range r.zoneCalls {
		f := float64(r.zoneFailed[z]) / float64(max(n, 1))
		low, high = min(low, f), max(high, f)
	}
	return low, high
}

type fleetTarget struct {
	gate     *admission.Gate
	meter    *targetspeed.Meter
	zone     int
	speed    float64
	slowFrom []time.Duration
	calls    map[admission.Ticket]*fleetCall
	beside   time.Duration // since when calls wait here beside free slots elsewhere
}

type fleetCall struct {
	caller, target, idx int
	sent, started       time.Duration
	work                time.Duration
	before              int
	priority            request.Priority
}

type event struct {
	at  time.Duration
	seq uint64
	do  func(now time.Duration)
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

func (f *deployment) at(t time.Duration, do func(now time.Duration)) {
	f.seq++
	heap.Push(&f.q, event{t, f.seq, do})
}

const fleetClass = "read"

func (f *deployment) run() *fleetResult {
	f.rng = rand.New(rand.NewPCG(f.seed, 77))
	f.result = fleetResult{zoneCalls: make([]int, f.zones), zoneFailed: make([]int, f.zones)}
	f.start()
	f.at(0, f.sample)
	f.at(0, f.arrive)
	for len(f.q) > 0 {
		e := heap.Pop(&f.q).(event)
		e.do(e.at)
	}
	return &f.result
}

func (f *deployment) start() {
	var ts []Target
	for i, speed := range f.speeds {
		gc := admission.DefaultConfig()
		gc.Slots, gc.Limit.InitialFraction, gc.Limit.Headroom = f.slots, 1, 0.06
		f.targets = append(f.targets, &fleetTarget{
			gate:  admission.New(gc, rand.New(rand.NewPCG(f.seed, uint64(i)))),
			meter: targetspeed.New(targetspeed.DefaultConfig()), zone: i % f.zones, speed: speed,
			calls: make(map[admission.Ticket]*fleetCall), slowFrom: f.drawSlowdowns(i),
		})
		ts = append(ts, Target{
			ID: request.TargetIDOf(fmt.Sprint(i)), Incarnation: 1, Region: "r", Zone: fmt.Sprint(i % f.zones),
			Slots: f.slots, Conns: 800,
		})
	}
	for c := range f.callers {
		at := Locality{Caller: uint64(c + 1), Region: "r", Zone: fmt.Sprint(c % f.zones)}
		t := NewTable(&f.cfg, at, rand.New(rand.NewPCG(f.seed, uint64(1000+c))))
		t.Update(0, ts, f.callers)
		f.tables = append(f.tables, t)
	}
}

// arrive lets one request arrive at a random caller.
func (f *deployment) arrive(now time.Duration) {
	capacity := 0.0 // calls a second
	for _, s := range f.speeds {
		capacity += s * float64(f.slots) / (f.work.Seconds() * (1 + f.tail*(tailFactor-1)))
	}
	rate := capacity * f.load
	if f.demand != nil {
		rate *= f.demand(now)
	}
	if next := now + time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)); next < f.duration {
		f.at(next, f.arrive)
	}
	importance := request.Importance(10 + 40*f.rng.IntN(3))
	call := &fleetCall{
		caller: f.drawCaller(rate), sent: now, work: f.drawWork(),
		priority: request.Priority(importance)<<16 | request.Priority(f.rng.IntN(1<<16)),
	}
	t := f.tables[call.caller]
	of := &Call{Priority: call.priority, Class: fleetClass, Objective: f.objective}
	if f.today {
		of = &Call{Priority: call.priority}
	}
	idx, ok := t.PickFor(now, of, nil)
	if !ok {
		f.count(now, call, false)
		return
	}
	t.Started(now, idx)
	call.idx = idx
	for i := range f.targets {
		if request.TargetIDOf(fmt.Sprint(i)) == t.Target(idx).ID {
			call.target = i
		}
	}
	f.at(now+f.way(call), func(now time.Duration) { f.enter(now, call) })
}

// drawCaller returns a random caller, given the rate of all.
func (f *deployment) drawCaller(rate float64) int {
	if f.rng.Float64() < float64(f.rare)/rate {
		return f.rng.IntN(f.rare)
	}
	return f.rare + f.rng.IntN(f.callers-f.rare)
}

// tailFactor is how much longer the requests of deployment.tail take.
const tailFactor = 7

// drawWork returns the work of a request: within a quarter of the usual, and a tail.
func (f *deployment) drawWork() time.Duration {
	w := float64(f.work) * (0.75 + f.rng.Float64()/2)
	if f.rng.Float64() < f.tail {
		w *= tailFactor
	}
	return time.Duration(w)
}

func (f *deployment) way(c *fleetCall) time.Duration {
	if f.targets[c.target].zone != c.caller%f.zones {
		return f.oneWay
	}
	return 100 * time.Microsecond
}

// enter passes a call through the gate of its target.
func (f *deployment) enter(now time.Duration, c *fleetCall) {
	t := f.targets[c.target]
	if f.lost != nil && f.lost(now, c.target) {
		f.at(now+f.way(c), func(now time.Duration) { f.answer(now, c, &Result{Kind: ConnectionFailed}) })
		return
	}
	f.seq++
	id := admission.Ticket(f.seq)
	t.calls[id] = c
	d, out := t.gate.Arrive(now, admission.Arrival{Ticket: id, Priority: c.priority, Deadline: c.sent + f.timeout}, nil)
	f.deliver(now, t, out)
	if d.Verdict != admission.Queue {
		f.decided(now, t, id, d)
	}
}

func (f *deployment) deliver(now time.Duration, t *fleetTarget, out []admission.Action) {
	for _, a := range out {
		f.decided(now, t, a.Ticket, a.Decision)
	}
}

func (f *deployment) decided(now time.Duration, t *fleetTarget, id admission.Ticket, d admission.Decision) {
	c := t.calls[id]
	if d.Verdict != admission.Admit {
		delete(t.calls, id)
		f.reply(now, t, c, Shed)
		return
	}
	c.started, c.before = now, t.meter.Figure(now)
	took := time.Duration(float64(c.work) * f.slowdown(now, c.target) / t.speed)
	f.at(now+took, func(now time.Duration) {
		delete(t.calls, id)
		t.meter.Ended(now, &targetspeed.Call{Class: fleetClass, Took: now - c.started, Before: c.before, Figure: f.stated(now, c.target)})
		t.gate.SetTimeFactor(t.meter.Factor(now))
		f.deliver(now, t, t.gate.Finish(now, id, admission.OK, 0, nil))
		f.reply(now, t, c, Success)
	})
}

// slowdown returns how much slower than usual a target is.
func (f *deployment) slowdown(now time.Duration, target int) float64 {
	if f.speedFault != nil {
		return f.speedFault(now, target)
	}
	for _, from := range f.targets[target].slowFrom {
		if now >= from && now < from+slowTime {
			return slowBy
		}
	}
	return 1
}

// drawSlowdowns returns when a target becomes slower. The same seed gives the same
// slowdowns to all ways of choosing.
func (f *deployment) drawSlowdowns(target int) (from []time.Duration) {
	if f.slows == 0 {
		return nil
	}
	rng := rand.New(rand.NewPCG(f.seed, uint64(500+target)))
	gap := (1 - f.slows) / f.slows * float64(slowTime)
	for at := time.Duration(0); at < f.duration; at += slowTime {
		at += time.Duration(rng.ExpFloat64() * gap)
		from = append(from, at)
	}
	return from
}

const (
	slowTime = 600 * time.Millisecond
	slowBy   = 2.5
)

func (f *deployment) stated(now time.Duration, target int) int {
	honest := int(100 * f.slowdown(now, target) / f.targets[target].speed)
	if f.figure != nil {
		return f.figure(target, honest)
	}
	return honest
}

// reply sends an answer with the node's report.
func (f *deployment) reply(now time.Duration, t *fleetTarget, c *fleetCall, k Kind) {
	st := t.gate.Stats()
	level, _ := t.gate.TenantLevel(0)
	r := &Result{
		Kind: k, Level: level, HasLevel: true, InFlight: st.Running + st.Queued, Limit: st.Limit,
		Class: fleetClass, ClassTime: t.meter.ClassTime(now, fleetClass),
	}
	at := now + f.way(c)
	if f.reportLag != nil {
		at += f.reportLag(f.rng)
	}
	f.at(at, func(now time.Duration) { f.answer(now, c, r) })
}

func (f *deployment) answer(now time.Duration, c *fleetCall, r *Result) {
	r.Latency = now - c.sent
	f.tables[c.caller].Done(now, c.idx, r)
	f.count(now, c, r.Kind == Success)
}

func (f *deployment) countFrom() time.Duration {
	if f.cold {
		return 0
	}
	return f.duration / 5
}

func (f *deployment) count(now time.Duration, c *fleetCall, served bool) {
	if c.sent < f.countFrom() {
		return
	}
	if c.caller < f.rare {
		f.result.rareCalls++
		if !served {
			f.result.rareFailed++
		}
	}
	r, zone := &f.result, c.caller%f.zones
	r.calls++
	r.zoneCalls[zone]++
	if f.targets[c.target].zone != zone {
		r.left++
	}
	if !served {
		r.zoneFailed[zone]++
		return
	}
	r.served++
	r.times = append(r.times, now-c.sent)
	if f.objective > 0 && now-c.sent > f.objective {
		r.late++
	}
}

// sample ticks the gates and looks for calls that wait beside free slots.
func (f *deployment) sample(now time.Duration) {
	if now < f.duration {
		f.at(now+time.Millisecond, f.sample)
	}
	room := math.MinInt
	for i, t := range f.targets {
		f.deliver(now, t, t.gate.Tick(now, nil))
		if st := t.gate.Stats(); f.lost == nil || !f.lost(now, i) {
			room = max(room, st.Limit-st.Running-st.Queued-st.Limit/10)
		}
	}
	if now < f.countFrom() {
		return
	}
	for _, t := range f.targets {
		if t.gate.Stats().Queued == 0 {
			t.beside = 0
			continue
		}
		f.result.waiting++
		if room <= 0 {
			t.beside = 0
			continue
		}
		f.result.beside++
		if t.beside == 0 {
			t.beside = now
		}
		f.result.longest = max(f.result.longest, now-t.beside)
	}
}
