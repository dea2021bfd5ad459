package main

import (
	"fmt"
	"math"
	"strings"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"

	"peardrift/bench/replay"
)

// row is a policy with its results, one per seed.
type row struct {
	policy  replay.Policy
	results []*replay.Result
}

// runAll runs each policy with each seed. Runs share no state, so their order doesn't
// affect the results.
func runAll(c *testCase, policies []replay.Policy, o *options) []row {
	rows := make([]row, len(policies))
	var g errgroup.Group
	g.SetLimit(max(1, o.Jobs))
	for i, p := range policies {
		rows[i] = row{policy: p, results: make([]*replay.Result, o.Seeds)}
		for s := range o.Seeds {
			g.Go(func() error {
				seed := o.Seed + uint64(s)
				rows[i].results[s] = replay.Run(c.deployment, c.trace(seed), p, seed)
				return nil
			})
		}
	}
	_ = g.Wait() // the functions return no error
	return rows
}

// meanAndDeviation returns the mean of a figure over the seeds and its standard deviation.
func (r *row) meanAndDeviation(figure func(*replay.Result) float64) (mean, dev float64) {
	n := float64(len(r.results))
	for _, x := range r.results {
		mean += figure(x) / n
	}
	for _, x := range r.results {
		d := figure(x) - mean
		dev += d * d / max(1, n-1)
	}
	return mean, math.Sqrt(dev)
}

func (r *row) cell(format string, figure func(*replay.Result) float64) string {
	mean, dev := r.meanAndDeviation(figure)
	return fmt.Sprintf(format+"±"+format, mean, dev)
}

func percent(figure func(*replay.Result) float64) func(*replay.Result) float64 {
	return func(r *replay.Result) float64 { return 100 * figure(r) }
}

func invertedFraction(r *replay.Result) float64 {
	return float64(r.Inverted) / math.Max(1, float64(r.RefusedImportant))
}

func formatTable(c *testCase, rows []row, o *options) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, seeds %d to %d, scale 1/%d; mean ± standard deviation over the seeds\n",
		c.name(), o.Seed, o.Seed+uint64(o.Seeds)-1, max(1, c.scale))
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "policy\tgoodput/s\t% of best\t% of blind best\t% important\tfirst try %\trecovery s\tbefore ms\tuseless %\trefused imp.\tinverted %\tattempts\textra\t")
	for i := range rows {
		r := &rows[i]
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t\n", r.policy.Name,
			r.cell("%.0f", func(x *replay.Result) float64 { return x.TriggerGoodput }),
			r.cell("%.1f", percent((*replay.Result).FractionOfBest)),
			r.cell("%.1f", percent((*replay.Result).FractionOfBlindBest)),
			r.cell("%.1f", percent((*replay.Result).ImportantServed)),
			r.cell("%.1f", percent((*replay.Result).ImportantServedFirst)),
			r.cell("%.1f", func(x *replay.Result) float64 { return x.Recovery.Seconds() }),
			r.cell("%.1f", func(x *replay.Result) float64 { return 1000 * x.MeanLatency.Seconds() }),
			r.cell("%.1f", percent(func(x *replay.Result) float64 { return x.WastedFraction })),
			r.cell("%.0f", func(x *replay.Result) float64 { return float64(x.RefusedImportant) }),
			r.cell("%.0f", percent(invertedFraction)),
			r.cell("%.2f", func(x *replay.Result) float64 { return x.AttemptsPerCall }),
			r.cell("%.0f", func(x *replay.Result) float64 { return float64(x.MaxExtraAttempts) }))
	}
	w.Flush()
	if o.Classes {
		writeClassTable(&b, c, rows)
	}
	b.WriteString("\n")
	return b.String()
}

func writeClassTable(b *strings.Builder, c *testCase, rows []row) {
	w := tabwriter.NewWriter(b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "policy\tclass\tdemand/s\tbest/s\tdone/s\tfailed/s\tserved %\tfirst try %\t")
	for i := range rows {
		r := &rows[i]
		for k := range c.deployment.Classes {
			name := c.deployment.Classes[k].Name
			of := func(f func(replay.ClassResult) float64) func(*replay.Result) float64 {
				return func(x *replay.Result) float64 { return f(x.Classes[name]) }
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t\n", r.policy.Name, name,
				r.cell("%.0f", of(func(x replay.ClassResult) float64 { return x.Demand })),
				r.cell("%.0f", of(func(x replay.ClassResult) float64 { return x.Best })),
				r.cell("%.0f", of(func(x replay.ClassResult) float64 { return x.Completed })),
				r.cell("%.0f", of(func(x replay.ClassResult) float64 { return x.Failed })),
				r.cell("%.1f", of(func(x replay.ClassResult) float64 { return 100 * x.Served })),
				r.cell("%.1f", of(func(x replay.ClassResult) float64 { return 100 * x.ServedFirst })))
		}
	}
	w.Flush()
}
