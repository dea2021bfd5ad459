package overload

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/bench/harness"
	"peardrift/bench/replay/workload"
	"peardrift/bench/standin/client"
)

// Guards against duplicate runs, false refusals, and payouts and uploads being refused
// while status checks are served, in an overload on real processes: a deep service
// slows, demand doubles and clients retry aggressively. No cause is known; the replay
// can't show integration faults.
//
// Only counts are checked, and the order of classes only where it differs by a factor
// of more than 20: in a run at a load average of 106, 3% of the least important class
// were served, and 75% and 100% of the important ones.
func TestWorstCaseOnProcesses(t *testing.T) {
	is := is.New(t)
	release, err := harness.AcquireRunLock()
	is.NoErr(err)
	defer release()
	root, err := harness.WorkspaceRoot()
	is.NoErr(err)
	bins, err := harness.Build(root, t.TempDir())
	is.NoErr(err)
	durations := workload.PhaseDurations{Before: time.Second, During: 4 * time.Second, After: time.Second}
	c, err := NewCase("kalahari", "worst", Size{Targets: 2, Slots: 16, Stretch: 1}, durations, 1)
	is.NoErr(err)
	l, err := Open(t.Context(), bins, c)
	is.NoErr(err)
	defer l.Close()
	outcome, err := l.Play(t.Context(), false)
	is.NoErr(err)
	is.NoErr(outcome.Print(t.Output()))
	is.NoErr(outcome.Nodes.Violations.Err())
	is.True(outcome.Nodes.Results[client.Refused] > 0) // there was an overload
	leastServed := outcome.Nodes.Classes["claim-status"].Served
	is.True(outcome.Nodes.Classes["upload"].Served >= leastServed)
	is.True(outcome.Nodes.Classes["payout-approval"].Served >= leastServed)
}

func TestFalselyRefused(t *testing.T) {
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

func TestSlotTimeSplitIntoUsefulAndWasted(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	as := []client.Attempt{
		{At: start, Result: client.Failed},
		{At: start.Add(time.Second), Result: client.Completed},
	}
	tl := &tally{}
	tl.addSlotTime(as, []run{
		{began: start, slotTime: 3 * time.Second},
		{began: start.Add(time.Second), slotTime: 5 * time.Second},
	})
	is.Equal(tl.wasted, 3*time.Second)
	is.Equal(tl.useful, 5*time.Second)
}

// The processes must make as many calls of each class at each service as the replay.
func TestTargetRoutesMatchReplay(t *testing.T) {
	for _, tc := range []struct{ deployment, scenario string }{{"khaosan", "worst"}, {"kalahari", Stop}, {"shared", Flood}} {
		t.Run(tc.deployment, func(t *testing.T) {
			is := is.New(t)
			c, err := NewCase(tc.deployment, tc.scenario, Size{Targets: 2, Slots: 8, Stretch: 2}, workload.FullPhaseDurations, 1)
			is.NoErr(err)
			for _, class := range c.Deployment.Classes {
				for _, s := range c.Deployment.Services {
					want := meanCalls(&class.Root, s.Name)
					is.Equal(want > 0, callAt(&class, s.Name) != nil)
					is.True(c.meanRequests(&class, s.Name) == want) // as many calls as the call chain has
				}
			}
		})
	}
}

// meanRequests returns the mean number of requests that the targets of a service
// receive per request of a class, computed from the routes of the targets.
func (c *Case) meanRequests(class *workload.Class, service string) float64 {
	var count func(name string) float64
	count = func(name string) float64 {
		n := 0.0
		if name == c.fullName(service) {
			n = 1
		}
		for _, d := range c.deployments() {
			for _, s := range d.Services {
				if d.FullName(s) != name {
					continue
				}
				for _, r := range s.Routes {
					if r.Prefix != pathOf(class) {
						continue
					}
					for _, call := range r.Calls {
						probability := call.Probability
						if probability == 0 {
							probability = 1
						}
						n += probability * count(call.Service)
					}
				}
			}
		}
		return n
	}
	return count(c.fullName(class.Root.Service))
}
