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

// row is what became of one class, through nodes and directly.
type row struct {
	tenant, class string
	nodes, direct *client.Stats
}

// load sends the mix of both deployments through the nodes and, at the same
// time and with the same arrivals, to the targets without nodes.
func (j *job) load(ctx context.Context) ([]row, error) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failed error
	rows := make(map[string]*row)
	run := func(d deploy.Deployment, cfg client.Config, direct bool) {
		rep, err := client.Run(ctx, cfg)
		mu.Lock()
		defer mu.Unlock()
		failed = errors.Join(failed, err)
		for class, s := range rep {
			put(rows, d.Tenant, class, s, direct)
		}
	}
	seed := uint64(0)
	for _, d := range j.deps {
		for _, s := range d.Services {
			seed++
			host := d.FullName(s)
			through := client.Config{Seed: seed, Classes: calling(d.Load, host), URLs: j.fleet.Entries(d)}
			wg.Go(func() { run(d, through, false) })
			straight := through
			straight.URLs = j.fleet.DirectURLs(host)
			wg.Go(func() { run(d, straight, true) })
		}
	}
	wg.Wait()
	return j.ordered(rows), failed
}

// calling returns the classes of one service: a caller without nodes has to
// know where the service's targets are.
func calling(classes []client.Class, host string) []client.Class {
	var out []client.Class
	for _, c := range classes {
		if c.Host == host {
			out = append(out, c)
		}
	}
	return out
}

func put(rows map[string]*row, tenant, class string, s *client.Stats, direct bool) {
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

// ordered returns the rows in the order of the deployments' load.
func (j *job) ordered(rows map[string]*row) []row {
	var out []row
	for _, d := range j.deps {
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

// printTable prints counts of the requests through nodes, and latencies of
// both ways.
func (j *job) printTable(rows []row) {
	j.say("\nMixed load of both deployments for %v, each request through nodes and directly at the same time.\n", j.cfg.Load)
	j.say("Counts are those through nodes; latencies are of whole completed requests in ms, all hops traced.\n")
	w := tabwriter.NewWriter(j.cfg.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\tsent\tcompleted\trefused\tfailed\tunknown\twrong\tpartial\tp50 direct\tnodes\tadded\tp99 direct\tnodes\tadded\t")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%d\t", r.class, r.nodes.Sent)
		for _, res := range results {
			fmt.Fprintf(w, "%d\t", r.nodes.ByResult[res])
		}
		for _, q := range []float64{50, 99} {
			direct, nodes := r.direct.Quantile(q), r.nodes.Quantile(q)
			fmt.Fprintf(w, "%.1f\t%.1f\t%.1f\t", ms(direct), ms(nodes), ms(nodes-direct))
		}
		fmt.Fprintln(w)
	}
	_ = w.Flush()
	sent, done := total(rows)
	j.say("Direct: %d of %d requests completed.\n", done, sent)
}

// total counts the direct requests.
func total(rows []row) (sent, completed int64) {
	for _, r := range rows {
		sent += r.direct.Sent
		completed += r.direct.ByResult[client.Completed]
	}
	return sent, completed
}

// judge names the classes whose callers were left with a false answer, or with
// none whose outcome they know; at this load there must be none.
func judge(rows []row) error {
	var faults []error
	for _, r := range rows {
		bad := func(res client.Result) bool { return r.nodes.ByResult[res] > 0 }
		if slices.ContainsFunc([]client.Result{client.Unknown, client.Wrong, client.Partial}, bad) {
			faults = append(faults, status.New(CodeAnswer, "%s: %d unknown, %d wrong, %d partial; the first: %v", r.class,
				r.nodes.ByResult[client.Unknown], r.nodes.ByResult[client.Wrong], r.nodes.ByResult[client.Partial], r.nodes.FirstFail))
		}
		if r.nodes.Sent > 0 && !bad(client.Completed) {
			faults = append(faults, status.New(CodeAnswer, "%s: none of %d requests completed", r.class, r.nodes.Sent))
		}
	}
	return errors.Join(faults...)
}
