package latency

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"peardrift/internal/status"
)

// quantiles are the printed quantiles, in percent.
var quantiles = []float64{50, 99, 99.9}

// Print writes a table of the cells: the median over the rounds of each quantile, and
// of the latency added by nodes also the minimum and maximum. "from due" is the added
// latency from the scheduled send times, which includes the generator's delay. "busy" is
// the CPU utilization of the machine, direct and through nodes; near 100 the figures
// show the limit of the machine.
func Print(out io.Writer, cells []Cell) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "request\tcalls/s\tquantile\tdirect ms\tnodes ms\tadded ms\t(least to greatest)\tadded a call ms\tratio\tfrom due ms\tcompleted\tlate p99 ms\tbusy %\tcaller us\tnode CPU us/call\t")
	for _, c := range cells {
		for i, q := range quantiles {
			c.printLine(w, q, i == 0)
		}
	}
	_ = w.Flush()
	for _, c := range cells {
		c.printFailed(out)
	}
}

// printFailed prints the numbers of requests that did not complete, by code.
func (c *Cell) printFailed(out io.Writer) {
	direct, nodes := make(map[status.Code]int), make(map[status.Code]int)
	for _, r := range c.Rounds {
		addFailures(direct, r.Direct)
		addFailures(nodes, r.Nodes)
	}
	if len(direct)+len(nodes) > 0 {
		fmt.Fprintf(out, "%s at %.0f calls/s, not completed: direct %v, nodes %v\n", c.Kind, c.Rate, direct, nodes)
	}
}

// notSent is the code of arrivals that the generator did not send because too many
// requests were in flight.
const notSent status.Code = "not-sent"

func addFailures(into map[status.Code]int, s *Sample) {
	for code, n := range s.Failed {
		into[code] += n
	}
	if s.Unsent > 0 {
		into[notSent] += s.Unsent
	}
}

func (c *Cell) printLine(w io.Writer, q float64, firstLine bool) {
	direct, nodes, added := c.quantile(q, (*Sample).fromSent)
	_, _, addedFromDue := c.quantile(q, (*Sample).fromDue)
	calls := 1.0
	if c.Kind == PathChain {
		calls = ChainDepth
	}
	medianAdded := median(added)
	fmt.Fprintf(w, "%s\t%.0f\tp%g\t%.2f\t%.2f\t%.2f\t(%.2f to %.2f)\t%.2f\t%.1f\t%.2f\t", c.Kind, c.Rate, q, median(direct), median(nodes),
		medianAdded, slices.Min(added), slices.Max(added), medianAdded/calls, median(nodes)/median(direct), median(addedFromDue))
	if !firstLine {
		fmt.Fprintln(w, "\t\t\t\t\t")
		return
	}
	sent, completed := c.counts()
	fmt.Fprintf(w, "%d of %d\t%.2f\t%.0f, %.0f\t%.0f\t%.0f\t\n", completed, sent, c.worstSendDelay(),
		100*c.utilization((*Round).direct), 100*c.utilization((*Round).nodes), c.callerCPU(), c.nodeCPU())
}

func (s *Sample) fromSent() *hdrhistogram.Histogram { return s.Latency }
func (s *Sample) fromDue() *hdrhistogram.Histogram  { return s.LatencyFromDue }

func (r *Round) direct() *Sample { return r.Direct }
func (r *Round) nodes() *Sample  { return r.Nodes }

// quantile returns a quantile of each round in ms, direct and through nodes, and the
// difference.
func (c *Cell) quantile(q float64, of func(*Sample) *hdrhistogram.Histogram) (direct, nodes, added []float64) {
	for _, r := range c.Rounds {
		d, n := float64(of(r.Direct).ValueAtQuantile(q))/1e3, float64(of(r.Nodes).ValueAtQuantile(q))/1e3
		direct, nodes, added = append(direct, d), append(nodes, n), append(added, n-d)
	}
	return direct, nodes, added
}

// counts returns the total numbers of requests, including unsent ones, and of completed
// requests, direct and through nodes.
func (c *Cell) counts() (sent, completed int) {
	for _, r := range c.Rounds {
		for _, s := range []*Sample{r.Direct, r.Nodes} {
			sent += s.Sent + s.Unsent
			completed += s.Completed
		}
	}
	return sent, completed
}

// worstSendDelay returns the worst p99 in ms of the send delay over all rounds, direct
// and through nodes.
func (c *Cell) worstSendDelay() float64 {
	worst := 0.0
	for _, r := range c.Rounds {
		worst = max(worst, float64(r.Direct.SendDelay.ValueAtQuantile(99))/1e3, float64(r.Nodes.SendDelay.ValueAtQuantile(99))/1e3)
	}
	return worst
}

func (c *Cell) nodeCPU() float64 {
	var us []float64
	for _, r := range c.Rounds {
		us = append(us, float64(r.NodeCPU)/float64(time.Microsecond))
	}
	return median(us)
}

// utilization returns the median over the rounds of the machine's CPU utilization, for
// the samples that of selects.
func (c *Cell) utilization(of func(*Round) *Sample) float64 {
	var shares []float64
	for i := range c.Rounds {
		shares = append(shares, of(&c.Rounds[i]).Utilization)
	}
	return median(shares)
}

// callerCPU returns the generator's CPU time per request in µs: the minimum over all
// rounds, direct and through nodes, because higher values include more interference
// from other work on the machine.
func (c *Cell) callerCPU() float64 {
	var us []float64
	for _, r := range c.Rounds {
		us = append(us, float64(r.Direct.CallerCPU)/float64(time.Microsecond), float64(r.Nodes.CallerCPU)/float64(time.Microsecond))
	}
	return slices.Min(us)
}

func median(vs []float64) float64 {
	s := slices.Sorted(slices.Values(vs))
	if len(s) == 0 {
		return 0
	}
	return s[len(s)/2]
}

// PrintNodes writes the resident memory of the nodes and their CPU time when idle.
func PrintNodes(out io.Writer, r *Result) {
	fmt.Fprintf(out, "Processor time of an idle node: %.2f%% of a core (mean)\n", 100*r.IdleCPU)
	for _, m := range []struct {
		when  string
		bytes []int64
	}{{"idle", r.Idle}, {"after the load", r.Loaded}} {
		if len(m.bytes) > 0 {
			fmt.Fprintf(out, "Resident memory of a node, %s: %.1f to %.1f MB\n", m.when,
				float64(slices.Min(m.bytes))/1e6, float64(slices.Max(m.bytes))/1e6)
		}
	}
}
