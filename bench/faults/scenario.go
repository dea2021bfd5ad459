package faults

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"peardrift/bench/standin/client"
)

// Row holds the measurements of a scenario.
type Row struct {
	Name string
	Sent int // number of requests
	// Incomplete counts requests whose last attempt did not complete, by its result.
	Incomplete map[client.Result]int
	// LastFailure is the time from the fault to the last attempt that did not complete;
	// after it the fault has no effect.
	LastFailure time.Duration
	Note        string
	Took        time.Duration
}

// Scenario injects one failure into a lab and restores it. Its error names the
// guarantee that was violated.
type Scenario struct {
	Name string
	Play func(ctx context.Context, l *Lab) (Row, error)
}

// Run plays the scenario and returns its row with name and duration.
func (s Scenario) Run(ctx context.Context, l *Lab) (Row, error) {
	start := time.Now()
	row, err := s.Play(ctx, l)
	row.Name, row.Took = s.Name, time.Since(start)
	return row, err
}

// Scenarios returns the scenarios in the order in which they run.
func Scenarios() []Scenario {
	return []Scenario{
		{"node killed", nodeKilled},
		{"node frozen for 3 s", nodeFrozen},
		{"target killed", targetKilled},
		{"target's connections silent", targetSilent},
		{"nodes' connections silent", nodesSilent},
		{"platform down for 3 s", platformDown},
		{"platform slow for 3 s", platformSlow},
		{"writes applied, answers lost", answersLost},
		{"request that crashes targets", crashingRequest},
		{"two operators at once", twoOperators},
		{"node starts in an outage", startInOutage},
		{"outage, node and target killed", outageAndDeaths},
		{"drain", nodeDrained},
		{"drain, then node killed", nodeDrainedThenKilled},
		{"node stopped before target", nodeStopsFirst},
		{"target stopped before node", targetStopsFirst},
		{"node stopped in overload", stopInOverload},
		{"copies of a crashing request at once", manyCopies},
		{"crashing request, drain", crashInDrain},
		{"node killed, platform down", nodeKilledInOutage},
		{"answers lost, node frozen for 4 s", answersLostAndFrozen},
		{"operators at once, answers lost", operatorsInOutage},
		{"connections silent, node killed", silentAndKilled},
		{"overload, connections silent", silentInOverload},
		{"node frozen until held dead, new set", frozenUntilDead},
		{"all nodes killed", allNodesKilled},
	}
}

// arrivalRate is the arrival rate of each class in requests/s, low enough for a busy machine.
const arrivalRate = 60

// healthyStreak is the number of consecutive requests of each class that must complete for
// the fleet to count as healthy.
const healthyStreak = 10

// play runs a load through the nodes at urls, injects a fault, runs a step during the
// fault, repairs it, and waits until requests complete again.
func (l *Lab) play(ctx context.Context, urls []string, inject, during, repair func() error) (Row, error) {
	ld := l.startLoad(ctx, urls, classes(arrivalRate))
	row, err := ld.play(ctx, inject, during, repair)
	if end := ld.finish(ctx); err == nil {
		err = end
	}
	return row, err
}

func (ld *load) play(ctx context.Context, inject, during, repair func() error) (Row, error) {
	if err := ld.awaitRecovery(ctx, healthyStreak); err != nil {
		return Row{}, err
	}
	at := time.Now()
	for _, step := range []func() error{inject, during, repair} {
		if step == nil {
			continue
		}
		if err := step(); err != nil {
			return Row{}, err
		}
	}
	if err := ld.awaitRecovery(ctx, healthyStreak); err != nil {
		return Row{}, err
	}
	return ld.measure(at), nil
}

// measure measures the effect so far of a fault that began at a time.
func (ld *load) measure(faultStart time.Time) Row {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	r := Row{Sent: len(ld.attempts), Incomplete: map[client.Result]int{}}
	for _, as := range ld.attempts {
		if canceledAtEnd(as) {
			continue
		}
		for _, a := range as {
			if a.Result != client.Completed && a.At.Sub(faultStart) > r.LastFailure {
				r.LastFailure = a.At.Sub(faultStart)
			}
		}
		if a := as[len(as)-1]; a.Final && a.Result != client.Completed {
			r.Incomplete[a.Result]++
		}
	}
	return r
}

// pause returns a step that sleeps for d.
func pause(ctx context.Context, d time.Duration) func() error {
	return func() error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(d):
			return nil
		}
	}
}

// Print writes rows as a table.
func Print(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "fault\trequests\trefused\tunknown\tfailed\tlast lost after\ttook\t")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%v\t%v\t%s\n", r.Name, r.Sent, r.Incomplete[client.Refused], r.Incomplete[client.Unknown],
			r.Incomplete[client.Failed], r.LastFailure.Round(time.Millisecond), r.Took.Round(time.Millisecond), r.Note)
	}
	return t.Flush()
}
