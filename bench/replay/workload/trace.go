package workload

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"peardrift/internal/status"
)

// Format names the trace format and its version.
const Format = "peardrift-trace/1"

// Header is the first line of a trace.
type Header struct {
	Format     string        `json:"format"`
	Deployment string        `json:"deployment"`
	Scenario   string        `json:"scenario"`
	Seed       uint64        `json:"seed"`
	Scale      int           `json:"scale"`           // slots and connections of the deployment are divided by it
	Hard       float64       `json:"hard"`            // part of the clients that ignore Retry-After
	Hasty      float64       `json:"hasty,omitempty"` // clients wait 1/Hasty of their usual time for a try; 0 counts as 1
	From       time.Duration `json:"from"`            // the trigger begins
	To         time.Duration `json:"to"`              // and ends
	Lasts      time.Duration `json:"lasts"`
}

// Event is one line of a trace: a client's request, or a fault.
type Event struct {
	T       time.Duration `json:"t"` // since the start
	Tenant  string        `json:"tenant,omitempty"`
	Class   string        `json:"class,omitempty"`
	Client  int           `json:"client,omitempty"`
	Zone    int           `json:"zone,omitempty"`
	Fault   Fault         `json:"fault,omitempty"`
	Service string        `json:"service,omitempty"`
	Target  int           `json:"target,omitempty"`
	Factor  float64       `json:"factor,omitempty"`
}

// Trace is a header and its events in order of time.
type Trace struct {
	Header Header
	Events []Event
}

// Write stores a trace as JSON lines, times in nanoseconds.
func (t *Trace) Write(w io.Writer) error {
	buf := bufio.NewWriter(w)
	enc := json.NewEncoder(buf)
	if err := enc.Encode(&t.Header); err != nil {
		return status.Wrap(status.CodeInternal, err, "cannot write the trace's header")
	}
	for i := range t.Events {
		if err := enc.Encode(&t.Events[i]); err != nil {
			return status.Wrap(status.CodeInternal, err, "cannot write event %d", i)
		}
	}
	if err := buf.Flush(); err != nil {
		return status.Wrap(status.CodeInternal, err, "cannot write the trace")
	}
	return nil
}

// Read loads a trace and checks it against the deployment that it names:
// unknown classes, services or keys and times that go back are refused.
func Read(r io.Reader) (*Trace, error) {
	dec := json.NewDecoder(bufio.NewReader(r))
	dec.DisallowUnknownFields()
	t := &Trace{}
	if err := dec.Decode(&t.Header); err != nil {
		return nil, status.Wrap(status.CodeMalformed, err, "no trace header")
	}
	if t.Header.Format != Format {
		return nil, status.New(status.CodeMalformed, "trace format %q, want %q", t.Header.Format, Format)
	}
	d := Deployments()[t.Header.Deployment]
	if d == nil {
		return nil, status.New(status.CodeMalformed, "trace of unknown deployment %q", t.Header.Deployment)
	}
	if !t.Header.valid() {
		return nil, status.New(status.CodeMalformed, "the trigger doesn't lie within a trace of at most %v", longest)
	}
	targets := d.targets()
	for last := time.Duration(0); ; {
		var e Event
		err := dec.Decode(&e)
		if err == io.EOF {
			return t, nil
		}
		if err != nil {
			return nil, status.Wrap(status.CodeMalformed, err, "trace event %d", len(t.Events))
		}
		if e.T < last || e.T > t.Header.Lasts || !d.knows(&e, targets) {
			return nil, status.New(status.CodeMalformed, "trace event %d at %v is out of order or names what %s doesn't have", len(t.Events), e.T, d.Name)
		}
		last = e.T
		t.Events = append(t.Events, e)
	}
}

// longest bounds a trace, so that a wrong time can't ask for endless memory.
const longest = time.Hour

func (h *Header) valid() bool {
	return 0 < h.From && h.From < h.To && h.To <= h.Lasts && h.Lasts <= longest
}

// targets returns the number of targets by service.
func (d *Deployment) targets() map[string]int {
	out := map[string]int{}
	for _, s := range d.Services {
		out[s.Name] = s.Targets
	}
	return out
}

// knows reports whether an event fits the deployment; targets counts those that
// a service has had so far.
func (d *Deployment) knows(e *Event, targets map[string]int) bool {
	if e.Fault == "" {
		return d.Class(e.Class) != nil && e.Client >= 0 && e.Zone >= 0 && e.Zone < d.Zones
	}
	if e.Fault == Start && targets[e.Service] > 0 {
		targets[e.Service]++
		return true
	}
	return e.Target >= 0 && e.Target < targets[e.Service] && e.Factor >= 0
}
