package mainjob

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"peardrift/bench/deploy"
	"peardrift/bench/standin/client"
	"peardrift/bench/standin/target"
	"peardrift/internal/core/request"
	"peardrift/internal/status"
	"peardrift/internal/wire"
)

// shown is one whole request.
type shown struct {
	class  client.Class
	answer target.Answer
	bytes  int
	id     string // of its trace
	took   time.Duration
}

// show sends the deployment's main request and prints its answer and its trace.
func (j *job) show(ctx context.Context, d deploy.Deployment) error {
	s, err := j.send(ctx, d)
	if err != nil {
		return err
	}
	j.say("\n%s: %s %s%s answered whole, %d bytes in %.1f ms, request %s\n",
		s.class.Name, s.class.Method, s.class.Host, s.class.Path, s.bytes, ms(s.took), s.id)
	j.say("Its chain, as the answer tells it:\n")
	j.printChain(s.answer, 1)
	spans, err := j.awaitTrace(ctx, s)
	if err != nil {
		return err
	}
	j.say("Its trace, merged from the nodes' files, %d spans:\n", len(spans))
	j.printTrace(spans)
	return nil
}

// sendTime bounds the one request; its class's deadline is shorter.
const sendTime = 20 * time.Second

func (j *job) send(ctx context.Context, d deploy.Deployment) (shown, error) {
	s := shown{class: mainClass(d)}
	if s.class.Method == "" {
		s.class.Method = http.MethodGet
	}
	ctx, cancel := context.WithTimeout(ctx, sendTime)
	defer cancel()
	mark := "shown-" + d.Main
	req, err := http.NewRequestWithContext(ctx, s.class.Method, j.fleet.Entries(d)[0]+s.class.Path,
		strings.NewReader(strings.Repeat("u", s.class.Body)))
	if err != nil {
		return s, status.Wrap(CodeAnswer, err, "request for %s", d.Main)
	}
	req.Host = s.class.Host
	req.Header.Set("X-Mark", mark)
	if s.class.Key {
		req.Header.Set(wire.HeaderIdempotencyKey, "key-"+mark)
	}
	began := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, status.Wrap(CodeAnswer, err, "%s got no answer", d.Main)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	s.took, s.bytes = time.Since(began), len(body)
	if err != nil {
		return s, status.Wrap(CodeAnswer, err, "the answer to %s broke off", d.Main)
	}
	if resp.Header.Get(wire.HeaderOutcome) != outcomeCompleted {
		return s, status.New(CodeAnswer, "%s was answered %d: %s", d.Main, resp.StatusCode, body)
	}
	if s.answer, err = target.Verify(body, mark); err != nil {
		return s, status.Wrap(CodeAnswer, err, "the answer to %s", d.Main)
	}
	s.id = resp.Header.Get(wire.HeaderRequest)
	return s, nil
}

func mainClass(d deploy.Deployment) client.Class {
	for _, c := range d.Load {
		if c.Name == d.Main {
			return c
		}
	}
	return client.Class{Name: d.Main}
}

const (
	// traceTime is more than nodes take to write their spans.
	traceTime = 20 * time.Second
	traceStep = 100 * time.Millisecond
)

// awaitTrace reads the request's spans until none is missing. Nodes write them
// in batches, after the answer.
func (j *job) awaitTrace(ctx context.Context, s shown) ([]*span, error) {
	ctx, cancel := context.WithTimeout(ctx, traceTime)
	defer cancel()
	for {
		spans, err := j.readTrace(s.id)
		if err != nil {
			return nil, err
		}
		missing := lacks(spans, s.answer)
		if missing == nil {
			return spans, nil
		}
		select {
		case <-ctx.Done():
			return nil, missing
		case <-time.After(traceStep):
		}
	}
}

func (j *job) printChain(a target.Answer, depth int) {
	j.say("%s%s%s  %d bytes of content\n", strings.Repeat("  ", depth), a.Service, a.Path, a.Size)
	for _, r := range a.Calls {
		if r.Answer != nil {
			j.printChain(*r.Answer, depth+1)
		}
	}
}

func (j *job) printTrace(spans []*span) {
	names := make(map[string]string)
	for _, h := range j.fleet.Hosts {
		names[request.TargetIDOf(h.Name).String()] = h.Name
	}
	w := tabwriter.NewWriter(j.cfg.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "  hop\tservice\ttarget\tzone\tdecision\toutcome\tms\tat node")
	for _, s := range tree(spans) {
		printSpan(w, s, names, 1)
	}
	_ = w.Flush()
}

func printSpan(w io.Writer, s *span, names map[string]string, depth int) {
	fmt.Fprintf(w, "%s%s\t%s\t%s\t%s\t%s\t%s\t%.2f\t%s\n", strings.Repeat("  ", depth), s.hop, s.service,
		or(names[s.target], "-"), or(s.zone, "-"), strings.TrimSpace(s.decision+" "+s.reason), s.outcome, ms(s.end.Sub(s.start)), s.node)
	for _, c := range s.children {
		printSpan(w, c, names, depth+1)
	}
}

func or(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
