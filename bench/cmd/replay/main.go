// Command replay runs traces through peardrift's decision cores and prints a comparison of
// policies.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"peardrift/bench/replay"
	"peardrift/bench/replay/workload"
	"peardrift/internal/status"
)

type options struct {
	Deployments []string `short:"d" long:"deployment" description:"khaosan, kalahari, shared, ladder or chatty; may be repeated (default: khaosan and kalahari, shared for flood)"`
	Scenarios   []string `short:"s" long:"scenario" description:"normal, worst, surge, crowd, slow, replace, restart, failfast, flood or all; may be repeated" default:"worst"`
	Policies    []string `short:"p" long:"policy" description:"a policy, or baselines, ablations, all; may be repeated" default:"peardrift"`
	Seed        uint64   `long:"seed" description:"first seed" default:"1"`
	Seeds       int      `long:"seeds" description:"number of seeds" default:"5"`
	Scale       int      `long:"scale" description:"divide slots, connections and demand by this" default:"1"`
	Trace       string   `long:"trace" description:"replay this recorded trace instead of a scenario"`
	Record      string   `long:"record" description:"write the trace of the first deployment, scenario and seed to this file and exit"`
	Plot        string   `long:"plot" description:"write goodput over time of each deployment and scenario as SVG into this directory"`
	Classes     bool     `long:"classes" description:"print a line for each class"`
	Jobs        int      `short:"j" long:"jobs" description:"number of parallel runs" default:"4"`
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args []string) error {
	var o options
	_, err := flags.NewParser(&o, flags.Default&^flags.PrintErrors).ParseArgs(args)
	if help := (*flags.Error)(nil); errors.As(err, &help) && help.Type == flags.ErrHelp {
		fmt.Println(help.Message)
		return nil
	}
	if err != nil {
		return status.Wrap(status.CodeInvalidSettings, err, "invalid command line")
	}
	policies, err := o.policies()
	if err != nil {
		return err
	}
	cases, err := o.cases()
	if err != nil {
		return err
	}
	if o.Record != "" {
		return recordTrace(o.Record, cases[0].trace(o.Seed))
	}
	for _, c := range cases {
		rows := runAll(c, policies, &o)
		fmt.Print(formatTable(c, rows, &o))
		if o.Plot != "" {
			if err := plotGoodput(o.Plot, c, rows); err != nil {
				return err
			}
		}
	}
	return nil
}

func (o *options) policies() ([]replay.Policy, error) {
	var out []replay.Policy
	for _, name := range o.Policies {
		switch name {
		case "all":
			out = append(out, replay.Policies()...)
		case "baselines":
			out = append(out, replay.Baselines()...)
		case "ablations":
			out = append(out, replay.Ablations()...)
		default:
			p, ok := replay.PolicyFor(name)
			if !ok {
				return nil, status.New(status.CodeInvalidSettings, "unknown policy %q", name)
			}
			out = append(out, p)
		}
	}
	return out, nil
}

// testCase is a deployment with a scenario, or with a recorded trace.
type testCase struct {
	deployment *workload.Deployment
	scenario   *workload.Scenario
	recorded   *workload.Trace
	scale      int
}

func (c *testCase) trace(seed uint64) *workload.Trace {
	if c.recorded != nil {
		return c.recorded
	}
	tr := workload.Generate(c.deployment, c.scenario, seed)
	tr.Header.Scale = c.scale
	return tr
}

func (c *testCase) name() string {
	if c.recorded != nil {
		return c.deployment.Name + "-" + c.recorded.Header.Scenario
	}
	return c.deployment.Name + "-" + c.scenario.Name
}

func (o *options) cases() ([]*testCase, error) {
	if o.Trace != "" {
		return loadTrace(o.Trace)
	}
	var out []*testCase
	for _, s := range o.Scenarios {
		names := []string{s}
		if s == "all" {
			names = workload.ScenarioNames
		}
		for _, name := range names {
			for _, d := range o.deployments(name) {
				dep := workload.Deployments()[d]
				if dep == nil {
					return nil, status.New(status.CodeInvalidSettings, "unknown deployment %q", d)
				}
				dep = dep.Scaled(max(1, o.Scale))
				sc := workload.ScenarioFor(name, dep, workload.FullPhaseDurations)
				if sc == nil {
					return nil, status.New(status.CodeInvalidSettings, "unknown scenario %q", name)
				}
				out = append(out, &testCase{deployment: dep, scenario: sc, scale: max(1, o.Scale)})
			}
		}
	}
	return out, nil
}

// deployments returns the deployments to run a scenario on. The flood scenario needs a
// deployment with two tenants.
func (o *options) deployments(scenario string) []string {
	switch {
	case len(o.Deployments) > 0:
		return o.Deployments
	case scenario == "flood":
		return []string{"shared"}
	}
	return []string{"khaosan", "kalahari"}
}

func loadTrace(name string) ([]*testCase, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, status.Wrap(status.CodeInvalidSettings, err, "cannot open the trace")
	}
	defer f.Close()
	tr, err := workload.Read(f)
	if err != nil {
		return nil, err
	}
	dep := workload.Deployments()[tr.Header.Deployment].Scaled(max(1, tr.Header.Scale))
	return []*testCase{{deployment: dep, recorded: tr, scale: tr.Header.Scale}}, nil
}

func recordTrace(name string, tr *workload.Trace) error {
	f, err := os.Create(name)
	if err != nil {
		return status.Wrap(status.CodeInvalidSettings, err, "cannot create the trace")
	}
	if err := tr.Write(f); err != nil {
		f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return status.Wrap(status.CodeInternal, err, "cannot write the trace")
	}
	fmt.Printf("%d events over %v\n", len(tr.Events), tr.Header.Duration.Round(time.Second))
	return nil
}
