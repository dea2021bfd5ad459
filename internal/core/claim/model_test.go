package claim

import (
	"fmt"
	"hash/maphash"
	"reflect"
	"strings"
	"time"

	"peardrift/internal/core/request"
)

// The model runs calls with one key through attempts of different nodes over
// one row. Each step of an attempt is cut in two, the effect and the delivery
// of its answer, and any other call may step between: that is a pause. Faults
// are a kill, an answer lost with the write applied, never applied or applied
// later, a write that arrives twice, a failed read, and a target whose end is
// not known.

const maxCalls = 3

// call is one attempt with its duty, as the model sees it.
type call struct {
	attempt Attempt
	duty    Duty
	act     Action // to be carried out; nil when done or when ev is under way
	ev      Event  // answer to be delivered
	started bool
	dead    bool
	touched bool // by a fault
	refused bool // answered "not run"
	ran     bool
	runsAt  int   // runs when it began
	rowAt   State // the row when it began
	hourAt  int   // when it began
}

// world is comparable, so that a state is explored once.
type world struct {
	calls  [maxCalls]call
	n      int
	row    Row
	flying [2]Row // writes under way without anybody waiting; State Absent: none
	hour   int    // index into hours
	runs   int
	faults int // still allowed
}

// hours are the times of the model: a call that began at the first is past its
// deadline at the second, and past the end of any run at the third.
var hours = [...]time.Duration{t0, t0 + 2*time.Second, t0 + time.Hour}

// step is how an attempt takes an event; naive variants replace it.
type step func(a *Attempt, now time.Duration, e Event) Action

func sound(a *Attempt, now time.Duration, e Event) Action { return a.Step(now, e) }

func newWorld(n, faults int) world {
	w := world{n: n, faults: faults}
	for i := range n {
		w.calls[i].attempt = New(DefaultConfig(), testRequest(string(rune('a'+i))))
	}
	return w
}

// move is one possible next state, or a violation on the way to it.
type move struct {
	name  string
	next  world
	fault error
}

type mover struct {
	step  step
	moves []move
}

func (m *mover) add(name string, next world, err error) {
	m.moves = append(m.moves, move{name, next, err})
}

// moves returns all that may happen next.
func (m *mover) all(w world) []move {
	m.moves = m.moves[:0]
	if w.hour+1 < len(hours) {
		next := w
		next.hour++
		m.add("time passes", next, nil)
	}
	for i, r := range w.flying {
		if r.State != Absent {
			next := w
			next.flying[i] = Row{}
			next.apply(r)
			m.add("late write arrives", next, nil)
		}
	}
	for i := range w.n {
		m.call(w, i)
	}
	return m.moves
}

func (m *mover) call(w world, i int) {
	c := &w.calls[i]
	name := string(rune('a' + i))
	switch {
	case c.dead:
	case !c.started:
		if i > 0 && !w.calls[i-1].started {
			return // calls are alike: the others would only swap names
		}
		c.started, c.runsAt, c.rowAt, c.hourAt = true, w.runs, w.row.State, w.hour
		c.attempt.req.Deadline = hours[w.hour] + time.Second
		m.deliver(name+" begins", w, i, Begin{})
	case c.ev != nil:
		m.deliver(fmt.Sprintf("%s gets %T", name, c.ev), w, i, c.ev)
		m.kill(name, w, i)
	default:
		switch act := c.act.(type) {
		case Write:
			m.write(name, w, i, act.Row)
		case Read:
			m.read(name, w, i)
		case Run:
			m.run(name, w, i)
		case Later:
			m.deliver(name+" tries again", w, i, Begin{})
		default:
			return
		}
		m.kill(name, w, i)
	}
}

// kill stops the call for ever where it stands.
func (m *mover) kill(name string, w world, i int) {
	if w.fault(i) {
		w.calls[i].dead = true
		m.add(name+" is killed", w, nil)
	}
}

// fault uses up one fault, if one is left.
func (w *world) fault(i int) bool {
	w.faults--
	w.calls[i].touched = true
	return w.faults >= 0
}

func (w *world) apply(r Row) bool {
	if w.row.Version != r.Version-1 {
		return false
	}
	w.row = r
	return true
}

// fly puts a write under way, if there is room in the model.
func (w *world) fly(r Row) bool {
	for i := range w.flying {
		if w.flying[i].State == Absent {
			w.flying[i] = r
			return true
		}
	}
	return false
}

func (m *mover) write(name string, w world, i int, r Row) {
	did := w
	did.calls[i].ev = ConditionFailed{}
	if did.apply(r) {
		did.calls[i].ev = Written{}
	}
	m.add(name+" writes", did, nil)
	if !w.fault(i) {
		return
	}
	did.fault(i)
	if again := did; again.fly(r) {
		m.add(name+" writes twice", again, nil)
	}
	did.calls[i].ev = InDoubt{}
	m.add(name+" writes, answer lost", did, nil)
	w.calls[i].ev = NothingWritten{}
	m.add(name+" can't write", w, nil)
	w.calls[i].ev = InDoubt{}
	m.add(name+" loses its write", w, nil)
	if w.fly(r) {
		m.add(name+" writes late", w, nil)
	}
}

func (m *mover) read(name string, w world, i int) {
	did := w
	did.calls[i].ev = RowRead{w.row}
	m.add(name+" reads", did, nil)
	if w.fault(i) {
		w.calls[i].ev = ReadFailed{}
		m.add(name+" can't read", w, nil)
	}
}

// paid is the answer of the run of call i.
func paid(i int) Outcome {
	return Outcome{Kind: request.Completed, Status: 200, Body: string(rune('a' + i)), Kept: true}
}

func (m *mover) run(name string, w world, i int) {
	not := w
	not.calls[i].ev = TargetNotRun{}
	m.add(name+"'s target refuses", not, nil)
	ran := w
	ran.runs++
	ran.calls[i].ran = true
	ran.calls[i].ev = TargetDone{paid(i)}
	m.add(name+" runs", ran, atMostOnce(&ran, i))
	if !w.fault(i) {
		return
	}
	ran.fault(i)
	ran.calls[i].ev = TargetDone{}
	m.add(name+" runs, answer lost", ran, atMostOnce(&ran, i))
	w.calls[i].ev = TargetDone{}
	m.add(name+"'s target is cut off", w, nil)
}

func atMostOnce(w *world, i int) error {
	if w.runs > 1 {
		return fmt.Errorf("run %d, by %c", w.runs, 'a'+i)
	}
	if w.calls[i].refused {
		return fmt.Errorf("%c runs after it answered not run", 'a'+i)
	}
	return nil
}

// deliver gives an event to the attempt or its duty.
func (m *mover) deliver(name string, w world, i int, e Event) {
	c := &w.calls[i]
	c.ev = nil
	var err error
	if c.duty.Pending() {
		c.act = c.duty.Step(hours[w.hour], e)
	} else {
		c.act = m.step(&c.attempt, hours[w.hour], e)
	}
	if ans, ok := c.act.(Answer); ok {
		err = w.check(i, ans)
		c.duty, c.act = ans.Duty, nil
		if c.duty.Pending() {
			c.act = c.duty.Step(hours[w.hour], Begin{})
		}
	}
	if f, ok := c.act.(Finished); ok {
		c.act = nil
		if f.Lost {
			err = fmt.Errorf("outcome of %c lost", 'a'+i)
		}
	}
	if err == nil {
		err = w.settled()
	}
	m.add(name, w, err)
}

// check holds an answer against what happened.
func (w *world) check(i int, ans Answer) error {
	c := &w.calls[i]
	c.refused = ans.NotRunHere
	switch {
	case ans.Outcome.Kind == request.Refused && c.runsAt > 0:
		return fmt.Errorf("%c is told not run, though it ran before %c came", 'a'+i, 'a'+i)
	case ans.NotRunHere && c.ran:
		return fmt.Errorf("%c is told that it ran nothing", 'a'+i)
	case ans.Origin == FromRow && ans.Outcome != w.row.Outcome:
		return fmt.Errorf("%c gets %v, recorded is %v", 'a'+i, ans.Outcome, w.row.Outcome)
	case c.rowAt == Done && !c.touched && w.hour == c.hourAt && ans.Origin != FromRow:
		return fmt.Errorf("%c does not get the recorded outcome", 'a'+i)
	}
	return nil
}

// settled says whether the key is left claimed when all calls have ended.
func (w *world) settled() error {
	for i := range w.n {
		if c := &w.calls[i]; !c.started || c.dead || c.act != nil || c.ev != nil {
			return nil
		}
	}
	if w.row.State == Held && w.flying == [2]Row{} {
		return fmt.Errorf("the key is held by nobody")
	}
	return nil
}

// explorer visits every state that can be reached.
type explorer struct {
	step step
	want string // looks for this violation only; empty: any
	seed maphash.Seed
	seen map[uint64]struct{}
	path []string
}

func explore(s step, w world, want string) (states int, path []string, err error) {
	x := &explorer{step: s, want: want, seed: maphash.MakeSeed(), seen: map[uint64]struct{}{}}
	err = x.visit(w)
	return len(x.seen), x.path, err
}

// visitKey names a state. The types stand beside the world because the hash of
// an interface leaves its type out: all events without fields would be one, and
// whatever follows the second of them would go unvisited.
type visitKey struct {
	w     world
	types [maxCalls][2]reflect.Type
}

func keyOf(w world) visitKey {
	k := visitKey{w: w}
	for i, c := range w.calls {
		k.types[i] = [2]reflect.Type{reflect.TypeOf(c.act), reflect.TypeOf(c.ev)}
	}
	return k
}

func (x *explorer) visit(w world) error {
	h := maphash.Comparable(x.seed, keyOf(w))
	if _, ok := x.seen[h]; ok {
		return nil
	}
	x.seen[h] = struct{}{}
	m := mover{step: x.step}
	for _, mv := range m.all(w) {
		x.path = append(x.path, mv.name)
		if mv.fault != nil && strings.Contains(mv.fault.Error(), x.want) {
			return mv.fault
		}
		if mv.fault == nil {
			if err := x.visit(mv.next); err != nil {
				return err
			}
		}
		x.path = x.path[:len(x.path)-1]
	}
	return nil
}
