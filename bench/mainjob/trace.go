package mainjob

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"time"

	"peardrift/bench/harness"
	"peardrift/internal/status"
)

// span is one hop as a node's trace file tells it.
type span struct {
	node             string
	id, parent       string
	start, end       time.Time
	hop, service     string
	target, zone     string
	decision, reason string
	outcome          string
	children         []*span
}

// traceFile is where a host's node appends its spans.
func traceFile(h *harness.Host) string {
	return filepath.Join(filepath.Dir(h.NodeFile()), h.Name+"-trace.jsonl")
}

// spanLine is a line of a trace file, as far as it is used here.
type spanLine struct {
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	StartTime   time.Time
	EndTime     time.Time
	Attributes  attributes
	Resource    attributes
}

type attributes []struct {
	Key   string
	Value struct{ Value any }
}

func (as attributes) get(key string) string {
	for _, a := range as {
		if a.Key == key {
			return fmt.Sprint(a.Value.Value)
		}
	}
	return ""
}

// readTrace gathers the spans of one trace from all nodes' files.
func (j *job) readTrace(id string) ([]*span, error) {
	var spans []*span
	for _, h := range j.fleet.Hosts {
		found, err := readSpans(traceFile(h), id)
		if err != nil {
			return nil, err
		}
		spans = append(spans, found...)
	}
	return spans, nil
}

// maxLine bounds a line of a trace file.
const maxLine = 1 << 20

func readSpans(file, id string) ([]*span, error) {
	f, err := os.Open(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, status.Wrap(CodeTrace, err, "open %s", file)
	}
	defer f.Close()
	var spans []*span
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		if !bytes.Contains(lines.Bytes(), []byte(id)) {
			continue
		}
		var l spanLine
		if json.Unmarshal(lines.Bytes(), &l) != nil {
			continue // a line still being written; the next look reads it whole
		}
		if l.SpanContext.TraceID == id {
			spans = append(spans, spanOf(&l))
		}
	}
	if err := lines.Err(); err != nil {
		return nil, status.Wrap(CodeTrace, err, "read %s", file)
	}
	return spans, nil
}

func spanOf(l *spanLine) *span {
	attr := func(name string) string { return l.Attributes.get("peardrift." + name) }
	return &span{
		node: l.Resource.get("service.instance.id"),
		id:   l.SpanContext.SpanID, parent: l.Parent.SpanID,
		start: l.StartTime, end: l.EndTime,
		hop: attr("hop"), service: attr("service"), target: attr("target"), zone: attr("zone"),
		decision: attr("decision"), reason: attr("reason"), outcome: attr("outcome"),
	}
}

// tree links spans to their parents and returns those that have none among
// them: one, if the trace is whole.
func tree(spans []*span) []*span {
	byID := make(map[string]*span, len(spans))
	for _, s := range spans {
		byID[s.id], s.children = s, nil
	}
	var roots []*span
	for _, s := range spans {
		if p := byID[s.parent]; p != nil {
			p.children = append(p.children, s)
		} else {
			roots = append(roots, s)
		}
	}
	early := func(a, b *span) int { return a.start.Compare(b.start) }
	for _, s := range spans {
		slices.SortFunc(s.children, early)
	}
	slices.SortFunc(roots, early)
	return roots
}
