package faults

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"peardrift/bench/standin/client"
)

// Row is what a scenario measured.
type Row struct {
	Name string
	Sent int // requests
	// Lost are requests whose last attempt did not complete, by what it was told.
	Lost map[client.Result]int
	// Noticed is the time from the fault to the last attempt that did not
	// complete: from then on the fault costs nothing.
	Noticed time.Duration
	Note    string
	Took    time.Duration
}

// Scenario plays one failure on a lab and leaves it whole again. Its error says
// what did not hold.
type Scenario struct {
	Name string
	Play func(ctx context.Context, l *Lab) (Row, error)
}

// Run plays the scenario.
func (s Scenario) Run(ctx context.Context, l *Lab) (Row, error) {
	began := time.Now()
	row, err := s.Play(ctx, l)
	row.Name, row.Took = s.Name, time.Since(began)
	return row, err
}

// All returns the scenarios in the order in which they are played.
func All() []Scenario {
	return []Scenario{
		{"node killed", nodeKilled},
		{"node frozen for 3 s", nodeFrozen},
		{"target killed", targetKilled},
		{"target's connections silent", targetSilent},
		{"nodes' connections silent", nodesSilent},
		{"platform down for 3 s", platformDown},
		{"platform slow for 3 s", platformSlow},
		{"writes applied, answers lost", answersLost},
		{"request that crashes targets", crashes},
		{"two operators at once", twoOperators},
		{"node starts in an outage", startInOutage},
		{"outage, node and target killed", outageAndDeaths},
		{"drain", drained},
		{"drain, then node killed", drainedThenKilled},
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
		{"node frozen until held dead, new set", frozenTillDead},
	}
}

// rate is the arrivals of each class a second, small enough for a busy machine.
const rate = 60

// steady is how many requests of each class complete in a row when the fleet
// is well.
const steady = 10

// play runs a load through all nodes of the services that stay, breaks
// something, waits for while, mends it, and waits until requests complete again.
func (l *Lab) play(ctx context.Context, urls []string, breaks, while, mends func() error) (Row, error) {
	ld := l.begin(ctx, urls, classes(rate))
	row, err := ld.play(ctx, breaks, while, mends)
	if end := ld.end(ctx); err == nil {
		err = end
	}
	return row, err
}

func (ld *load) play(ctx context.Context, breaks, while, mends func() error) (Row, error) {
	if err := ld.recovered(ctx, steady); err != nil {
		return Row{}, err
	}
	at := time.Now()
	for _, step := range []func() error{breaks, while, mends} {
		if step == nil {
			continue
		}
		if err := step(); err != nil {
			return Row{}, err
		}
	}
	if err := ld.recovered(ctx, steady); err != nil {
		return Row{}, err
	}
	return ld.row(at), nil
}

// row measures what a fault at a time has cost so far.
func (ld *load) row(at time.Time) Row {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	r := Row{Sent: len(ld.attempts), Lost: map[client.Result]int{}}
	for _, as := range ld.attempts {
		if gaveUp(as) {
			continue
		}
		for _, a := range as {
			if a.Result != client.Completed && a.At.Sub(at) > r.Noticed {
				r.Noticed = a.At.Sub(at)
			}
		}
		if a := as[len(as)-1]; a.Final && a.Result != client.Completed {
			r.Lost[a.Result]++
		}
	}
	return r
}

// pause returns a step that waits.
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
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%v\t%v\t%s\n", r.Name, r.Sent, r.Lost[client.Refused], r.Lost[client.Unknown],
			r.Lost[client.Failed], r.Noticed.Round(time.Millisecond), r.Took.Round(time.Millisecond), r.Note)
	}
	return t.Flush()
}
