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

// quantiles that are shown.
var quantiles = []float64{50, 99, 99.9}

// Print writes a table of the cells: the median over the rounds of each
// quantile, and of what the nodes add to it the least and the greatest as well.
// "from due" is what they add counted from when each request was due, which
// holds the generator's delay too; "busy" how much of the machine was in use,
// direct and through nodes: near 100 it is the machine that is measured.
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

// printFailed says what the requests that did not complete were answered.
func (c *Cell) printFailed(out io.Writer) {
	direct, nodes := make(map[status.Code]int), make(map[status.Code]int)
	for _, r := range c.Rounds {
		sum(direct, r.Direct)
		sum(nodes, r.Nodes)
	}
	if len(direct)+len(nodes) > 0 {
		fmt.Fprintf(out, "%s at %.0f calls/s, not completed: direct %v, nodes %v\n", c.Kind, c.Rate, direct, nodes)
	}
}

// notSent stands for arrivals that the generator did not send, as too many
// requests were in flight.
const notSent status.Code = "not-sent"

func sum(into map[status.Code]int, s *Sample) {
	for code, n := range s.Failed {
		into[code] += n
	}
	if s.Overrun > 0 {
		into[notSent] += s.Overrun
	}
}

func (c *Cell) printLine(w io.Writer, q float64, head bool) {
	direct, nodes, added := c.quantile(q, (*Sample).fromSent)
	_, _, due := c.quantile(q, (*Sample).fromDue)
	calls := 1.0
	if c.Kind == PathChain {
		calls = Depth
	}
	mid := median(added)
	fmt.Fprintf(w, "%s\t%.0f\tp%g\t%.2f\t%.2f\t%.2f\t(%.2f to %.2f)\t%.2f\t%.1f\t%.2f\t", c.Kind, c.Rate, q, median(direct), median(nodes),
		mid, slices.Min(added), slices.Max(added), mid/calls, median(nodes)/median(direct), median(due))
	if !head {
		fmt.Fprintln(w, "\t\t\t\t\t")
		return
	}
	sent, completed := c.counts()
	fmt.Fprintf(w, "%d of %d\t%.2f\t%.0f, %.0f\t%.0f\t%.0f\t\n", completed, sent, c.late(),
		100*c.busy((*Round).direct), 100*c.busy((*Round).nodes), c.caller(), c.cpu())
}

func (s *Sample) fromSent() *hdrhistogram.Histogram { return s.Latency }
func (s *Sample) fromDue() *hdrhistogram.Histogram  { return s.FromDue }

func (r *Round) direct() *Sample { return r.Direct }
func (r *Round) nodes() *Sample  { return r.Nodes }

// quantile returns the quantile in ms of each round, and what the nodes added.
func (c *Cell) quantile(q float64, of func(*Sample) *hdrhistogram.Histogram) (direct, nodes, added []float64) {
	for _, r := range c.Rounds {
		d, n := float64(of(r.Direct).ValueAtQuantile(q))/1e3, float64(of(r.Nodes).ValueAtQuantile(q))/1e3
		direct, nodes, added = append(direct, d), append(nodes, n), append(added, n-d)
	}
	return direct, nodes, added
}

// counts sums both ways: requests, overruns included, and those completed.
func (c *Cell) counts() (sent, completed int) {
	for _, r := range c.Rounds {
		for _, s := range []*Sample{r.Direct, r.Nodes} {
			sent += s.Sent + s.Overrun
			completed += s.Completed
		}
	}
	return sent, completed
}

// late returns the p99 in ms by which requests were sent late, of the way and
// round where it was worst.
func (c *Cell) late() float64 {
	worst := 0.0
	for _, r := range c.Rounds {
		worst = max(worst, float64(r.Direct.Late.ValueAtQuantile(99))/1e3, float64(r.Nodes.Late.ValueAtQuantile(99))/1e3)
	}
	return worst
}

func (c *Cell) cpu() float64 {
	var us []float64
	for _, r := range c.Rounds {
		us = append(us, float64(r.NodeCPU)/float64(time.Microsecond))
	}
	return median(us)
}

// busy returns the median over the rounds of the machine's load in one way.
func (c *Cell) busy(of func(*Round) *Sample) float64 {
	var shares []float64
	for i := range c.Rounds {
		shares = append(shares, of(&c.Rounds[i]).Busy)
	}
	return median(shares)
}

// caller returns the generator's processor time for each request in µs, of the
// way and round where it was least: the others hold more of the machine's work.
func (c *Cell) caller() float64 {
	var us []float64
	for _, r := range c.Rounds {
		us = append(us, float64(r.Direct.Caller)/float64(time.Microsecond), float64(r.Nodes.Caller)/float64(time.Microsecond))
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

// PrintNodes writes what the nodes take beside the calls: memory, and
// processor time while there are none.
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
