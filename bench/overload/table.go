package overload

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"peardrift/bench/replay"
	"peardrift/bench/standin/client"
)

// Print writes an outcome as tables: totals, classes during the trigger, and goodput
// over time.
func (o *Outcome) Print(w io.Writer) error {
	h, d := o.Case.Trace.Header, o.Case.Deployment
	fmt.Fprintf(w, "\n%s, %s, seed %d: %v before, %v of the trigger, %v after; ", h.Deployment, h.Scenario, h.Seed,
		h.From, h.To-h.From, h.Duration-h.To)
	fmt.Fprintf(w, "sustainable %.0f requests/s, highest possible in the trigger %.0f.\n", d.SustainableRate(), o.Predicted.BestGoodput)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "\tgoodput/s\tof highest\timportant served\tfirst try\trecovery\tuseless work\timportant refused\twith lesser done\tsent per need\ttries a request\t")
	if o.Nodes != nil {
		o.printMeasured(tw, "nodes", o.Nodes)
	}
	o.printReplayed(tw, "replay", o.Predicted)
	if o.Direct != nil {
		o.printMeasured(tw, "straight", o.Direct)
	}
	o.printReplayed(tw, "replay, no control", o.PredictedWithoutControl)
	if err := tw.Flush(); err != nil || o.Nodes == nil {
		return err
	}
	o.printResults(w)
	if err := o.printClasses(w); err != nil {
		return err
	}
	return o.printGoodput(w)
}

func (o *Outcome) printReplayed(w io.Writer, name string, r *replay.Result) {
	fmt.Fprintf(w, "%s\t%.1f\t%.1f%%\t%.1f%%\t%.1f%%\t%s\t%.1f%%\t%d\t%d\t", name, r.TriggerGoodput, percent(r.FractionOfBest()), percent(r.ImportantServed()),
		percent(r.ImportantServedFirst()), formatRecovery(r), percent(r.WastedFraction), r.RefusedImportant, r.Inverted)
	fmt.Fprint(w, "\t\t\n")
}

func (o *Outcome) printMeasured(w io.Writer, name string, m *Measured) {
	r := &m.Result
	fmt.Fprintf(w, "%s\t%.1f\t%.1f%%\t%.1f%%\t%.1f%%\t%s\t%.1f%%\t%d\t%d\t%.2f\t%.2f\t\n", name, r.TriggerGoodput, percent(r.FractionOfBest()), percent(r.ImportantServed()),
		percent(r.ImportantServedFirst()), formatRecovery(r), percent(r.WastedFraction), r.RefusedImportant, r.Inverted, m.SentPerNeeded, float64(m.Attempts)/float64(max(1, m.Requests)))
}

func percent(part float64) float64 { return 100 * part }

func formatRecovery(r *replay.Result) string {
	if !r.Recovered {
		return "not in " + r.Recovery.String()
	}
	return fmt.Sprintf("%.1fs", r.Recovery.Seconds())
}

// printResults prints the final results of requests, the violated guarantees, and the
// codes of attempts that did not complete.
func (o *Outcome) printResults(w io.Writer) {
	for _, m := range []struct {
		name string
		of   *Measured
	}{{"nodes", o.Nodes}, {"straight", o.Direct}} {
		if m.of == nil {
			continue
		}
		fmt.Fprintf(w, "%s: %d requests:", m.name, m.of.Requests)
		for _, r := range []client.Result{client.Completed, client.Refused, client.Failed, client.Unknown} {
			fmt.Fprintf(w, " %d %s", m.of.Results[r], r)
		}
		fmt.Fprintf(w, "; %d ran twice, %d falsely not run, %d wrong, %d partial. Tries by code:",
			m.of.Violations.DuplicateRuns, m.of.Violations.FalseRefusals, m.of.Violations.WrongAnswers, m.of.Violations.PartialAnswers)
		for _, code := range slices.Sorted(maps.Keys(m.of.Codes)) {
			fmt.Fprintf(w, " %d %q", m.of.Codes[code], code)
		}
		fmt.Fprintf(w, ". Before the trigger targets held slots %.2f times as long as told.\n", m.of.SlotTimeRatio)
	}
}

// printClasses prints the results of each class during the trigger.
func (o *Outcome) printClasses(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "class\timportance\tdemand/s\thighest\tnodes\treplay\tstraight\tserved: nodes\treplay\tstraight\tfirst try: nodes\treplay\t")
	for _, c := range o.Case.Deployment.Classes {
		n, r, s := o.Nodes.Classes[c.Name], o.Predicted.Classes[c.Name], replay.ClassResult{}
		if o.Direct != nil {
			s = o.Direct.Classes[c.Name]
		}
		fmt.Fprintf(tw, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f%%\t%.1f%%\t%.1f%%\t%.1f%%\t%.1f%%\t\n", c.Name, c.Importance, n.Demand, n.Best,
			n.Completed, r.Completed, s.Completed, percent(n.Served), percent(r.Served), percent(s.Served), percent(n.ServedFirst), percent(r.ServedFirst))
	}
	return tw.Flush()
}

// printGoodput prints the goodput of each second.
func (o *Outcome) printGoodput(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "second\tnodes\treplay\tstraight\t")
	step := int(time.Second / replay.Bin)
	for i := 0; i+step <= len(o.Nodes.Goodput); i += step {
		fmt.Fprintf(tw, "%d\t%.0f\t%.0f\t", i/step, mean(o.Nodes.Goodput[i:i+step]), mean(o.Predicted.Goodput[i:i+step]))
		if o.Direct != nil {
			fmt.Fprintf(tw, "%.0f", mean(o.Direct.Goodput[i:i+step]))
		}
		fmt.Fprint(tw, "\t\n")
	}
	return tw.Flush()
}

func mean(x []float64) (sum float64) {
	for _, v := range x {
		sum += v / float64(len(x))
	}
	return sum
}
