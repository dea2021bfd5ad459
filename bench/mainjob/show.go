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

// response is one completed request.
type response struct {
	class  client.Class
	answer target.Answer
	bytes  int
	id     string // request ID, which is also the trace ID
	took   time.Duration
}

// show sends the deployment's main request and prints its answer and trace.
func (j *job) show(ctx context.Context, d deploy.Deployment) error {
	s, err := j.send(ctx, d)
	if err != nil {
		return err
	}
	j.printf("\n%s: %s %s%s answered whole, %d bytes in %.1f ms, request %s\n",
		s.class.Name, s.class.Method, s.class.Host, s.class.Path, s.bytes, milliseconds(s.took), s.id)
	j.printf("Its chain, as the answer tells it:\n")
	j.printChain(s.answer, 1)
	spans, err := j.awaitTrace(ctx, s)
	if err != nil {
		return err
	}
	j.printf("Its trace, merged from the nodes' files, %d spans:\n", len(spans))
	j.printTrace(spans)
	return nil
}

// sendTimeout is the timeout of the request. The deadline of its class is shorter.
const sendTimeout = 20 * time.Second

func (j *job) send(ctx context.Context, d deploy.Deployment) (response, error) {
	s := response{class: mainClass(d)}
	if s.class.Method == "" {
		s.class.Method = http.MethodGet
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	mark := "shown-" + d.Main
	req, err := http.NewRequestWithContext(ctx, s.class.Method, j.fleet.EntryURLs(d)[0]+s.class.Path,
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
		return s, status.Wrap(CodeAnswer, err, "send %s", d.Main)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	s.took, s.bytes = time.Since(began), len(body)
	if err != nil {
		return s, status.Wrap(CodeAnswer, err, "read the answer to %s", d.Main)
	}
	if resp.Header.Get(wire.HeaderOutcome) != outcomeCompleted {
		return s, status.New(CodeAnswer, "%s was answered %d: %s", d.Main, resp.StatusCode, body)
	}
	if s.answer, err = target.Verify(body, mark); err != nil {
		return s, status.Wrap(CodeAnswer, err, "verify the answer to %s", d.Main)
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
	// traceTimeout exceeds the time that nodes take to write their spans.
	traceTimeout      = 20 * time.Second
	tracePollInterval = 100 * time.Millisecond
)

// awaitTrace reads the request's spans until the trace is complete. Nodes write spans
// in batches, after the answer.
func (j *job) awaitTrace(ctx context.Context, s response) ([]*span, error) {
	ctx, cancel := context.WithTimeout(ctx, traceTimeout)
	defer cancel()
	for {
		spans, err := j.readTrace(s.id)
		if err != nil {
			return nil, err
		}
		missing := checkTrace(spans, s.answer)
		if missing == nil {
			return spans, nil
		}
		select {
		case <-ctx.Done():
			return nil, missing
		case <-time.After(tracePollInterval):
		}
	}
}

func (j *job) printChain(a target.Answer, depth int) {
	j.printf("%s%s%s  %d bytes of content\n", strings.Repeat("  ", depth), a.Service, a.Path, a.Size)
	for _, r := range a.Calls {
		if r.Answer != nil {
			j.printChain(*r.Answer, depth+1)
		}
	}
}

func (j *job) printTrace(spans []*span) {
	nodeNames := make(map[string]string)
	for _, h := range j.fleet.Hosts {
		nodeNames[request.TargetIDOf(h.Name).String()] = h.Name
	}
	w := tabwriter.NewWriter(j.cfg.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "  hop\tservice\ttarget\tzone\tdecision\toutcome\tms\tat node")
	for _, s := range linkSpans(spans) {
		printSpan(w, s, nodeNames, 1)
	}
	_ = w.Flush()
}

func printSpan(w io.Writer, s *span, names map[string]string, depth int) {
	fmt.Fprintf(w, "%s%s\t%s\t%s\t%s\t%s\t%s\t%.2f\t%s\n", strings.Repeat("  ", depth), s.hop, s.service,
		firstNonEmpty(names[s.target], "-"), firstNonEmpty(s.zone, "-"), strings.TrimSpace(s.decision+" "+s.reason), s.outcome, milliseconds(s.end.Sub(s.start)), s.node)
	for _, c := range s.children {
		printSpan(w, c, names, depth+1)
	}
}

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
