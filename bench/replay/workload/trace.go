package workload

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"peardrift/internal/status"
)

// Format is the name and version of the trace format.
const Format = "peardrift-trace/1"

// Header is the first line of a trace.
type Header struct {
	Format             string        `json:"format"`
	Deployment         string        `json:"deployment"`
	Scenario           string        `json:"scenario"`
	Seed               uint64        `json:"seed"`
	Scale              int           `json:"scale"`           // divisor of the deployment's slots and connections
	AggressiveFraction float64       `json:"hard"`            // fraction of clients that ignore Retry-After
	TimeoutDivisor     float64       `json:"hasty,omitempty"` // divisor of the clients' timeout per attempt; 0 counts as 1
	From               time.Duration `json:"from"`            // start of the trigger phase
	To                 time.Duration `json:"to"`              // end of the trigger phase
	Duration           time.Duration `json:"lasts"`
}

// Event is one line of a trace: a client's request, or a fault.
type Event struct {
	T       time.Duration `json:"t"` // since the start of the trace
	Tenant  string        `json:"tenant,omitempty"`
	Class   string        `json:"class,omitempty"`
	Client  int           `json:"client,omitempty"`
	Zone    int           `json:"zone,omitempty"`
	Fault   Fault         `json:"fault,omitempty"`
	Service string        `json:"service,omitempty"`
	Target  int           `json:"target,omitempty"`
	Factor  float64       `json:"factor,omitempty"`
}

// Trace is a header with events in order of time.
type Trace struct {
	Header Header
	Events []Event
}

// Write writes the trace as JSON lines, with times in nanoseconds.
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

// Read reads a trace and validates it against the deployment that its header names.
// It fails with status.CodeMalformed for a syntax error, an unknown deployment, class,
// service or key, and for times out of order.
func Read(r io.Reader) (*Trace, error) {
	dec := json.NewDecoder(bufio.NewReader(r))
	dec.DisallowUnknownFields()
	t := &Trace{}
	if err := dec.Decode(&t.Header); err != nil {
		return nil, status.Wrap(status.CodeMalformed, err, "cannot read the trace header")
	}
	if t.Header.Format != Format {
		return nil, status.New(status.CodeMalformed, "trace format %q, want %q", t.Header.Format, Format)
	}
	d := Deployments()[t.Header.Deployment]
	if d == nil {
		return nil, status.New(status.CodeMalformed, "unknown deployment %q in trace header", t.Header.Deployment)
	}
	if !t.Header.valid() {
		return nil, status.New(status.CodeMalformed, "trigger phase is outside the trace, or the trace is longer than %v", maxTraceDuration)
	}
	targets := d.targetCounts()
	for last := time.Duration(0); ; {
		var e Event
		err := dec.Decode(&e)
		if err == io.EOF {
			return t, nil
		}
		if err != nil {
			return nil, status.Wrap(status.CodeMalformed, err, "cannot read trace event %d", len(t.Events))
		}
		if e.T < last || e.T > t.Header.Duration || !d.validEvent(&e, targets) {
			return nil, status.New(status.CodeMalformed, "trace event %d at %v is out of order or refers to something that deployment %s doesn't have", len(t.Events), e.T, d.Name)
		}
		last = e.T
		t.Events = append(t.Events, e)
	}
}

// maxTraceDuration limits the memory that a trace with a wrong time can take.
const maxTraceDuration = time.Hour

func (h *Header) valid() bool {
	return 0 < h.From && h.From < h.To && h.To <= h.Duration && h.Duration <= maxTraceDuration
}

// targetCounts returns the number of targets by service.
func (d *Deployment) targetCounts() map[string]int {
	out := map[string]int{}
	for _, s := range d.Services {
		out[s.Name] = s.Targets
	}
	return out
}

// validEvent reports whether an event refers to known items of the deployment. targets
// holds the number of targets started so far, by service; a Start event increments it.
func (d *Deployment) validEvent(e *Event, targets map[string]int) bool {
	if e.Fault == "" {
		return d.Class(e.Class) != nil && e.Client >= 0 && e.Zone >= 0 && e.Zone < d.Zones
	}
	if e.Fault == Start && targets[e.Service] > 0 {
		targets[e.Service]++
		return true
	}
	return e.Target >= 0 && e.Target < targets[e.Service] && e.Factor >= 0
}
