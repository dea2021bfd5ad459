package mainjob

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"text/tabwriter"

	"peardrift/bench/deploy"
	"peardrift/bench/standin/client"
	"peardrift/internal/status"
)

// row holds the statistics of one class, through nodes and directly.
type row struct {
	tenant, class string
	nodes, direct *client.Stats
}

// runLoad sends the request mix of both deployments through the nodes and, concurrently
// with the same arrivals, to the targets without nodes.
func (j *job) runLoad(ctx context.Context) ([]row, error) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var loadErr error
	rows := make(map[string]*row)
	run := func(d deploy.Deployment, cfg client.Config, direct bool) {
		rep, err := client.Run(ctx, cfg)
		mu.Lock()
		defer mu.Unlock()
		loadErr = errors.Join(loadErr, err)
		for class, s := range rep {
			setStats(rows, d.Tenant, class, s, direct)
		}
	}
	seed := uint64(0)
	for _, d := range j.deployments {
		for _, s := range d.Services {
			seed++
			host := d.FullName(s)
			viaNodes := client.Config{Seed: seed, Classes: classesOf(d.Load, host), URLs: j.fleet.EntryURLs(d)}
			wg.Go(func() { run(d, viaNodes, false) })
			direct := viaNodes
			direct.URLs = j.fleet.DirectURLs(host)
			wg.Go(func() { run(d, direct, true) })
		}
	}
	wg.Wait()
	return j.inLoadOrder(rows), loadErr
}

// classesOf returns the classes that call one service. Load runs per service because a
// caller without nodes has to address the service's targets.
func classesOf(classes []client.Class, host string) []client.Class {
	var out []client.Class
	for _, c := range classes {
		if c.Host == host {
			out = append(out, c)
		}
	}
	return out
}

func setStats(rows map[string]*row, tenant, class string, s *client.Stats, direct bool) {
	key := tenant + "/" + class
	if rows[key] == nil {
		rows[key] = &row{tenant: tenant, class: class}
	}
	if direct {
		rows[key].direct = s
	} else {
		rows[key].nodes = s
	}
}

// inLoadOrder returns the rows in the order of the load in the deployments.
func (j *job) inLoadOrder(rows map[string]*row) []row {
	var out []row
	for _, d := range j.deployments {
		for _, c := range d.Load {
			if r := rows[d.Tenant+"/"+c.Name]; r != nil {
				out = append(out, *r)
			}
		}
	}
	return out
}

var results = []client.Result{
	client.Completed, client.Refused, client.Failed, client.Unknown, client.Wrong, client.Partial,
}

// printTable prints the result counts of requests through nodes, and the latencies
// through nodes and directly.
func (j *job) printTable(rows []row) {
	j.printf("\nMixed load of both deployments for %v, each request through nodes and directly at the same time.\n", j.cfg.Load)
	j.printf("Counts are those through nodes; latencies are of whole completed requests in ms, all hops traced.\n")
	w := tabwriter.NewWriter(j.cfg.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\tsent\tcompleted\trefused\tfailed\tunknown\twrong\tpartial\tp50 direct\tnodes\tadded\tp99 direct\tnodes\tadded\t")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%d\t", r.class, r.nodes.Sent)
		for _, res := range results {
			fmt.Fprintf(w, "%d\t", r.nodes.ByResult[res])
		}
		for _, q := range []float64{50, 99} {
			direct, nodes := r.direct.Quantile(q), r.nodes.Quantile(q)
			fmt.Fprintf(w, "%.1f\t%.1f\t%.1f\t", milliseconds(direct), milliseconds(nodes), milliseconds(nodes-direct))
		}
		fmt.Fprintln(w)
	}
	_ = w.Flush()
	sent, done := directTotals(rows)
	j.printf("Direct: %d of %d requests completed.\n", done, sent)
}

// directTotals returns the numbers of sent and completed direct requests.
func directTotals(rows []row) (sent, completed int64) {
	for _, r := range rows {
		sent += r.direct.Sent
		completed += r.direct.ByResult[client.Completed]
	}
	return sent, completed
}

// checkResults returns an error for each class with a wrong or partial answer, an unknown
// outcome, or no completed request. At this load there must be none.
func checkResults(rows []row) error {
	var errs []error
	for _, r := range rows {
		has := func(res client.Result) bool { return r.nodes.ByResult[res] > 0 }
		if slices.ContainsFunc([]client.Result{client.Unknown, client.Wrong, client.Partial}, has) {
			errs = append(errs, status.New(CodeAnswer, "%s: %d unknown, %d wrong, %d partial; first failure: %v", r.class,
				r.nodes.ByResult[client.Unknown], r.nodes.ByResult[client.Wrong], r.nodes.ByResult[client.Partial], r.nodes.FirstError))
		}
		if r.nodes.Sent > 0 && !has(client.Completed) {
			errs = append(errs, status.New(CodeAnswer, "%s: none of %d requests completed", r.class, r.nodes.Sent))
		}
	}
	return errors.Join(errs...)
}
