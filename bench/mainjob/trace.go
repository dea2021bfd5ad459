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

// span is one hop, read from a node's trace file.
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

// traceFile returns the path of the file to which a host's node appends its spans.
func traceFile(h *harness.Host) string {
	return filepath.Join(filepath.Dir(h.NodeFile()), h.Name+"-trace.jsonl")
}

// spanLine is one line of a trace file, with the fields that are used here.
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

// readTrace collects the spans of one trace from the files of all nodes.
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

// maxLineBytes is the maximum length of a line of a trace file in bytes.
const maxLineBytes = 1 << 20

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
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if !bytes.Contains(lines.Bytes(), []byte(id)) {
			continue
		}
		var l spanLine
		if json.Unmarshal(lines.Bytes(), &l) != nil {
			continue // the line is still being written; the next read gets it complete
		}
		if l.SpanContext.TraceID == id {
			spans = append(spans, newSpan(&l))
		}
	}
	if err := lines.Err(); err != nil {
		return nil, status.Wrap(CodeTrace, err, "read %s", file)
	}
	return spans, nil
}

func newSpan(l *spanLine) *span {
	attr := func(name string) string { return l.Attributes.get("peardrift." + name) }
	return &span{
		node: l.Resource.get("service.instance.id"),
		id:   l.SpanContext.SpanID, parent: l.Parent.SpanID,
		start: l.StartTime, end: l.EndTime,
		hop: attr("hop"), service: attr("service"), target: attr("target"), zone: attr("zone"),
		decision: attr("decision"), reason: attr("reason"), outcome: attr("outcome"),
	}
}

// linkSpans links spans to their parents and returns the spans without a parent among
// them: one if the trace is complete.
func linkSpans(spans []*span) []*span {
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
	byStart := func(a, b *span) int { return a.start.Compare(b.start) }
	for _, s := range spans {
		slices.SortFunc(s.children, byStart)
	}
	slices.SortFunc(roots, byStart)
	return roots
}
