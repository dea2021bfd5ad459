package overload

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/bench/harness"
	"peardrift/bench/replay/workload"
	"peardrift/bench/standin/client"
)

// Symptom: while there is too much to do, something runs twice, a caller is told
// "not run" of what ran, or payouts and uploads are refused and status checks
// served.
// Events: a deep service slows, demand doubles, clients retry hard, on real
// processes; then all is normal again.
// Cause: none is known; the replay can't show faults of the wiring.
//
// Only counts are judged, and of the order only what differs by a factor of more
// than twenty: in a run at a load average of 106, 3% of the least important class
// were served, 75 and 100% of the important ones.
func TestWorstCaseOnProcesses(t *testing.T) {
	is := is.New(t)
	end, err := harness.Turn()
	is.NoErr(err)
	defer end()
	root, err := harness.Root()
	is.NoErr(err)
	bins, err := harness.Build(root, t.TempDir())
	is.NoErr(err)
	lengths := workload.Lengths{Before: time.Second, During: 4 * time.Second, After: time.Second}
	c, err := NewCase("kalahari", "worst", Size{Targets: 2, Slots: 16, Stretch: 1}, lengths, 1)
	is.NoErr(err)
	l, err := Open(t.Context(), bins, c)
	is.NoErr(err)
	defer l.Close()
	out, err := l.Play(t.Context(), false)
	is.NoErr(err)
	is.NoErr(out.Print(t.Output()))
	is.NoErr(out.Nodes.Broken.Err())
	is.True(out.Nodes.Results[client.Refused] > 0) // there was an overload
	least := out.Nodes.Classes["claim-status"].Served
	is.True(out.Nodes.Classes["upload"].Served >= least)
	is.True(out.Nodes.Classes["payout-approval"].Served >= least)
}

func TestFalseRefusalsAreSeen(t *testing.T) {
	start := time.Now()
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	refused := client.Attempt{At: at(0), Result: client.Refused}
	failed := client.Attempt{At: at(2), Result: client.Failed}
	for _, tc := range []struct {
		name string
		as   []client.Attempt
		runs []run
		want bool
	}{
		{"nothing ran", []client.Attempt{refused}, nil, false},
		{"refused and ran", []client.Attempt{refused}, []run{{began: at(1)}}, true},
		{"refused, then ran", []client.Attempt{refused, failed}, []run{{began: at(3)}}, false},
		{"ran, then failed", []client.Attempt{refused, failed}, []run{{began: at(1)}}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is.New(t).Equal(falselyRefused(tc.as, tc.runs), tc.want)
		})
	}
}

func TestSlotTimeIsDivided(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	as := []client.Attempt{
		{At: start, Result: client.Failed},
		{At: start.Add(time.Second), Result: client.Completed},
	}
	tl := &tally{}
	tl.spent(as, []run{
		{began: start, held: 3 * time.Second},
		{began: start.Add(time.Second), held: 5 * time.Second},
	})
	is.Equal(tl.useless, 3*time.Second)
	is.Equal(tl.useful, 5*time.Second)
}

// The processes must run what the replay plays: as many calls of each class at each
// service.
func TestTargetsDoWhatTheReplayDoes(t *testing.T) {
	for _, tc := range []struct{ deployment, scenario string }{{"khaosan", "worst"}, {"kalahari", Stop}, {"shared", Flood}} {
		t.Run(tc.deployment, func(t *testing.T) {
			is := is.New(t)
			c, err := NewCase(tc.deployment, tc.scenario, Size{Targets: 2, Slots: 8, Stretch: 2}, workload.FullLengths, 1)
			is.NoErr(err)
			for _, class := range c.Dep.Classes {
				for _, s := range c.Dep.Services {
					want := calls(&class.Root, s.Name)
					is.Equal(want > 0, at(&class, s.Name) != nil)
					is.True(c.sent(&class, s.Name) == want) // as many calls as the chain has
				}
			}
		})
	}
}

// sent is the mean number of requests that the targets of a service get for one
// of the class, worked out from what the targets are told to do.
func (c *Case) sent(class *workload.Class, service string) float64 {
	var count func(name string) float64
	count = func(name string) float64 {
		n := 0.0
		if name == c.full(service) {
			n = 1
		}
		for _, d := range c.deployments() {
			for _, s := range d.Services {
				if d.FullName(s) != name {
					continue
				}
				for _, r := range s.Routes {
					if r.Prefix != path(class) {
						continue
					}
					for _, call := range r.Calls {
						chance := call.Chance
						if chance == 0 {
							chance = 1
						}
						n += chance * count(call.Service)
					}
				}
			}
		}
		return n
	}
	return count(c.full(class.Root.Service))
}
