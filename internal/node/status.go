package node

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"peardrift/internal/buildinfo"
	"peardrift/internal/core/admission"
	"peardrift/internal/core/member"
	"peardrift/internal/core/request"
)

// Status is the node's state as shown to operators.
type Status struct {
	Name     string                   `json:"name"`
	Build    buildinfo.Info           `json:"build"`
	Service  request.Service          `json:"service"`
	Zone     string                   `json:"zone"`
	Ready    bool                     `json:"ready"`
	NotReady []string                 `json:"not_ready,omitempty"` // reasons; empty if ready
	Leaving  bool                     `json:"leaving"`
	Members  map[string]int           `json:"members"` // number of members by status, as calls are routed
	Complete bool                     `json:"complete"`
	Versions map[request.Tenant]int64 `json:"versions"` // version in force by tenant
	InFlight int                      `json:"in_flight"`
	Gate     Gate                     `json:"gate"`
	Control  ControlCost              `json:"control"`
}

// Gate is the state of the target's admission gate.
type Gate struct {
	Limit      int            `json:"limit"`      // maximum concurrent requests
	Running    int            `json:"running"`    // running requests
	Queued     int            `json:"queued"`     // queued requests
	Demand     float64        `json:"demand"`     // recent demand, in slots
	Level      float64        `json:"level"`      // requests of lower importance are refused; 0: none are
	Overloaded bool           `json:"overloaded"` // the queue does not drain
	ServiceMS  float64        `json:"service_ms"` // expected service time of a request at the target
	BacklogMS  float64        `json:"backlog_ms"` // expected time to drain the queue
	Decisions  DecisionCounts `json:"decisions"`
}

// DecisionCounts holds the gate's final decisions since the start; refusals are by code.
type DecisionCounts struct {
	Admitted         uint64 `json:"admitted"`
	Overloaded       uint64 `json:"overloaded"`
	OverShare        uint64 `json:"over-share"`
	DeadlineTooShort uint64 `json:"deadline-too-short"`
	Draining         uint64 `json:"draining"`
	Canceled         uint64 `json:"canceled"`
}

func newGate(st admission.Stats) Gate {
	return Gate{
		Limit: st.Limit, Running: st.Running, Queued: st.Queued, Demand: st.Demand,
		Level: st.Level.AsImportance(), Overloaded: st.Active,
		ServiceMS: milliseconds(st.Service), BacklogMS: milliseconds(st.Backlog),
		Decisions: DecisionCounts{
			Admitted: st.Admitted, Overloaded: st.Overloaded, OverShare: st.OverShare,
			DeadlineTooShort: st.DeadlineShort, Draining: st.Counts.Draining, Canceled: st.CanceledQueued,
		},
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// ControlCost is the control plane's traffic since the start.
type ControlCost struct {
	Bytes int64 `json:"bytes"` // sent and received, headers included
	Calls int64 `json:"calls"`
}

// Status returns a snapshot; false if the control goroutine has ended.
func (n *Node) Status() (Status, bool) {
	s := Status{
		Name: n.self.Name, Build: buildinfo.Read(), Service: n.self.Service, Zone: n.self.Place.Zone,
		InFlight: n.engine.InFlight(), Gate: newGate(n.engine.GateStats()),
		Members: make(map[string]int), Versions: make(map[request.Tenant]int64),
	}
	ok := n.control.ask(func() {
		c := n.control
		s.NotReady = c.notReadyReasons()
		s.Ready, s.Leaving = len(s.NotReady) == 0, c.leaving
		s.Control = ControlCost{Bytes: c.meter.Total(), Calls: c.meter.Calls()}
		for _, t := range c.config.index().Tenants() {
			s.Versions[t] = c.config.index().Version(t)
		}
		s.setMembers(c.published)
	})
	return s, ok
}

// setMembers sets the members that calls are routed to. The control state may be one tick
// ahead: a caller that waits for a target's node would be refused for lack of targets.
func (s *Status) setMembers(published viewInputs) {
	s.Complete = published.complete
	if published.members == nil {
		return
	}
	published.members.All(func(m member.Member) bool {
		s.Members[m.Status.String()]++
		return true
	})
}

func (n *Node) serveStatus(c *app.RequestContext) {
	s, ok := n.Status()
	if !ok {
		c.String(http.StatusServiceUnavailable, "stopping\n")
		return
	}
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		c.String(http.StatusInternalServerError, "%v\n", err)
		return
	}
	c.Data(http.StatusOK, "application/json", b)
}
