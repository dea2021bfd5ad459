package claim

import (
	"fmt"
	"hash/maphash"
	"reflect"
	"strings"
	"time"

	"peardrift/internal/core/request"
)

// The model runs calls with one key as attempts of different nodes on one row.
// Each action of an attempt has two steps, its effect and the delivery of its
// result; any other call may step in between, which models a pause. Faults are a
// kill, a lost answer with the write applied, not applied or applied later, a
// duplicated write, a failed read, and a target whose result is unknown.

const maxCalls = 3

// call is one attempt with its follow-up in the model.
type call struct {
	attempt         Attempt
	followUp        FollowUp
	act             Action // to be carried out; nil when done or when ev is pending
	ev              Event  // result to be delivered
	started         bool
	killed          bool
	faulted         bool // affected by a fault
	refused         bool // answered "not run"
	ran             bool
	runsAtStart     int   // runs when it started
	rowStateAtStart State // row state when it started
	timeAtStart     int   // time index when it started
}

// modelState is comparable, so that each state is explored once.
type modelState struct {
	calls     [maxCalls]call
	n         int
	row       Row
	inFlight  [2]Row // writes in flight whose callers gave up; State Absent: none
	timeIndex int    // index into modelTimes
	runs      int
	faults    int // remaining fault budget
}

// modelTimes are the times of the model: a call that started at the first is past
// its deadline at the second, and past the end of any run at the third.
var modelTimes = [...]time.Duration{t0, t0 + 2*time.Second, t0 + time.Hour}

// stepFunc passes an event to an attempt; unsound variants replace it.
type stepFunc func(a *Attempt, now time.Duration, e Event) Action

func soundStep(a *Attempt, now time.Duration, e Event) Action { return a.Step(now, e) }

func newModel(n, faults int) modelState {
	w := modelState{n: n, faults: faults}
	for i := range n {
		w.calls[i].attempt = New(DefaultConfig(), testRequest(string(rune('a'+i))))
	}
	return w
}

// transition is one possible next state, or the violation found on the way to it.
type transition struct {
	name      string
	next      modelState
	violation error
}

type enumerator struct {
	step        stepFunc
	transitions []transition
}

func (m *enumerator) add(name string, next modelState, err error) {
	m.transitions = append(m.transitions, transition{name, next, err})
}

// successors returns all transitions from a state.
func (m *enumerator) successors(w modelState) []transition {
	m.transitions = m.transitions[:0]
	if w.timeIndex+1 < len(modelTimes) {
		next := w
		next.timeIndex++
		m.add("time passes", next, nil)
	}
	for i, r := range w.inFlight {
		if r.State != Absent {
			next := w
			next.inFlight[i] = Row{}
			next.apply(r)
			m.add("late write arrives", next, nil)
		}
	}
	for i := range w.n {
		m.call(w, i)
	}
	return m.transitions
}

func (m *enumerator) call(w modelState, i int) {
	c := &w.calls[i]
	name := string(rune('a' + i))
	switch {
	case c.killed:
	case !c.started:
		if i > 0 && !w.calls[i-1].started {
			return // calls are identical: other orders differ only in their names
		}
		c.started, c.runsAtStart, c.rowStateAtStart, c.timeAtStart = true, w.runs, w.row.State, w.timeIndex
		c.attempt.req.Deadline = modelTimes[w.timeIndex] + time.Second
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
		case RetryLater:
			m.deliver(name+" tries again", w, i, Begin{})
		default:
			return
		}
		m.kill(name, w, i)
	}
}

// kill adds the transition in which the call's node dies.
func (m *enumerator) kill(name string, w modelState, i int) {
	if w.useFault(i) {
		w.calls[i].killed = true
		m.add(name+" is killed", w, nil)
	}
}

// useFault spends one fault and reports whether the budget allowed it.
func (w *modelState) useFault(i int) bool {
	w.faults--
	w.calls[i].faulted = true
	return w.faults >= 0
}

func (w *modelState) apply(r Row) bool {
	if w.row.Version != r.Version-1 {
		return false
	}
	w.row = r
	return true
}

// addInFlight adds a write in flight and reports whether the model has room.
func (w *modelState) addInFlight(r Row) bool {
	for i := range w.inFlight {
		if w.inFlight[i].State == Absent {
			w.inFlight[i] = r
			return true
		}
	}
	return false
}

func (m *enumerator) write(name string, w modelState, i int, r Row) {
	did := w
	did.calls[i].ev = ConditionFailed{}
	if did.apply(r) {
		did.calls[i].ev = Written{}
	}
	m.add(name+" writes", did, nil)
	if !w.useFault(i) {
		return
	}
	did.useFault(i)
	if again := did; again.addInFlight(r) {
		m.add(name+" writes twice", again, nil)
	}
	did.calls[i].ev = Ambiguous{}
	m.add(name+" writes, answer lost", did, nil)
	w.calls[i].ev = NotWritten{}
	m.add(name+" can't write", w, nil)
	w.calls[i].ev = Ambiguous{}
	m.add(name+" loses its write", w, nil)
	if w.addInFlight(r) {
		m.add(name+" writes late", w, nil)
	}
}

func (m *enumerator) read(name string, w modelState, i int) {
	did := w
	did.calls[i].ev = RowRead{w.row}
	m.add(name+" reads", did, nil)
	if w.useFault(i) {
		w.calls[i].ev = ReadFailed{}
		m.add(name+" can't read", w, nil)
	}
}

// runOutcome is the outcome of the run of call i.
func runOutcome(i int) Outcome {
	return Outcome{Kind: request.Completed, Status: 200, Body: string(rune('a' + i)), BodyStored: true}
}

func (m *enumerator) run(name string, w modelState, i int) {
	not := w
	not.calls[i].ev = TargetNotRun{}
	m.add(name+"'s target refuses", not, nil)
	ran := w
	ran.runs++
	ran.calls[i].ran = true
	ran.calls[i].ev = TargetDone{runOutcome(i)}
	m.add(name+" runs", ran, atMostOnce(&ran, i))
	if !w.useFault(i) {
		return
	}
	ran.useFault(i)
	ran.calls[i].ev = TargetDone{}
	m.add(name+" runs, answer lost", ran, atMostOnce(&ran, i))
	w.calls[i].ev = TargetDone{}
	m.add(name+"'s target is cut off", w, nil)
}

func atMostOnce(w *modelState, i int) error {
	if w.runs > 1 {
		return fmt.Errorf("run %d, by %c", w.runs, 'a'+i)
	}
	if w.calls[i].refused {
		return fmt.Errorf("%c runs after it answered not run", 'a'+i)
	}
	return nil
}

// deliver passes an event to the attempt or its follow-up.
func (m *enumerator) deliver(name string, w modelState, i int, e Event) {
	c := &w.calls[i]
	c.ev = nil
	var err error
	if c.followUp.Pending() {
		c.act = c.followUp.Step(modelTimes[w.timeIndex], e)
	} else {
		c.act = m.step(&c.attempt, modelTimes[w.timeIndex], e)
	}
	if ans, ok := c.act.(Answer); ok {
		err = w.check(i, ans)
		c.followUp, c.act = ans.FollowUp, nil
		if c.followUp.Pending() {
			c.act = c.followUp.Step(modelTimes[w.timeIndex], Begin{})
		}
	}
	if f, ok := c.act.(Finished); ok {
		c.act = nil
		if f.Lost {
			err = fmt.Errorf("outcome of %c lost", 'a'+i)
		}
	}
	if err == nil {
		err = w.checkNotHeld()
	}
	m.add(name, w, err)
}

// check verifies an answer against the history of the model.
func (w *modelState) check(i int, ans Answer) error {
	c := &w.calls[i]
	c.refused = ans.NotRunByCall
	switch {
	case ans.Outcome.Kind == request.Refused && c.runsAtStart > 0:
		return fmt.Errorf("%c is told not run, though it ran before %c came", 'a'+i, 'a'+i)
	case ans.NotRunByCall && c.ran:
		return fmt.Errorf("%c is told that it ran nothing", 'a'+i)
	case ans.Origin == FromRow && ans.Outcome != w.row.Outcome:
		return fmt.Errorf("%c gets %v, recorded is %v", 'a'+i, ans.Outcome, w.row.Outcome)
	case c.rowStateAtStart == Done && !c.faulted && w.timeIndex == c.timeAtStart && ans.Origin != FromRow:
		return fmt.Errorf("%c does not get the recorded outcome", 'a'+i)
	}
	return nil
}

// checkNotHeld fails if the key is still held after all calls have ended.
func (w *modelState) checkNotHeld() error {
	for i := range w.n {
		if c := &w.calls[i]; !c.started || c.killed || c.act != nil || c.ev != nil {
			return nil
		}
	}
	if w.row.State == Held && w.inFlight == [2]Row{} {
		return fmt.Errorf("the key is held by nobody")
	}
	return nil
}

// explorer visits every reachable state.
type explorer struct {
	step stepFunc
	want string // reports only this violation; empty: any
	seed maphash.Seed
	seen map[uint64]struct{}
	path []string
}

func explore(s stepFunc, w modelState, want string) (states int, path []string, err error) {
	x := &explorer{step: s, want: want, seed: maphash.MakeSeed(), seen: map[uint64]struct{}{}}
	err = x.visit(w)
	return len(x.seen), x.path, err
}

// stateKey identifies a state. It includes the types because the hash of an
// interface omits its type: all events without fields would hash alike, and the
// states after the second one would not be visited.
type stateKey struct {
	state modelState
	types [maxCalls][2]reflect.Type
}

func keyOfState(w modelState) stateKey {
	k := stateKey{state: w}
	for i, c := range w.calls {
		k.types[i] = [2]reflect.Type{reflect.TypeOf(c.act), reflect.TypeOf(c.ev)}
	}
	return k
}

func (x *explorer) visit(w modelState) error {
	h := maphash.Comparable(x.seed, keyOfState(w))
	if _, ok := x.seen[h]; ok {
		return nil
	}
	x.seen[h] = struct{}{}
	m := enumerator{step: x.step}
	for _, mv := range m.successors(w) {
		x.path = append(x.path, mv.name)
		if mv.violation != nil && strings.Contains(mv.violation.Error(), x.want) {
			return mv.violation
		}
		if mv.violation == nil {
			if err := x.visit(mv.next); err != nil {
				return err
			}
		}
		x.path = x.path[:len(x.path)-1]
	}
	return nil
}
