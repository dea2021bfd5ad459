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

// Status is what a node tells operators of itself.
type Status struct {
	Name     string                   `json:"name"`
	Build    buildinfo.Info           `json:"build"`
	Service  request.Service          `json:"service"`
	Zone     string                   `json:"zone"`
	Ready    bool                     `json:"ready"`
	NotReady []string                 `json:"not_ready,omitempty"` // what keeps it from being ready
	Leaving  bool                     `json:"leaving"`
	Members  map[string]int           `json:"members"` // by status
	Complete bool                     `json:"complete"`
	Versions map[request.Tenant]int64 `json:"versions"` // in force
	InFlight int                      `json:"in_flight"`
	Gate     Gate                     `json:"gate"`
	Control  ControlCost              `json:"control"`
}

// Gate is how the admission gate before the target stands.
type Gate struct {
	Limit      int     `json:"limit"`      // requests that may run at once
	Running    int     `json:"running"`    // requests that run
	Queued     int     `json:"queued"`     // requests that wait
	Demand     float64 `json:"demand"`     // recent demand in slots
	Level      float64 `json:"level"`      // what is less important than this is refused; 0: nothing is
	Overloaded bool    `json:"overloaded"` // the queue stands
	ServiceMS  float64 `json:"service_ms"` // expected time of a request on the target
	BacklogMS  float64 `json:"backlog_ms"` // time that the queue takes
	Decisions  Counts  `json:"decisions"`
}

// Counts are the gate's final decisions since the start, by code where it refused.
type Counts struct {
	Admitted         uint64 `json:"admitted"`
	Overloaded       uint64 `json:"overloaded"`
	OverShare        uint64 `json:"over-share"`
	DeadlineTooShort uint64 `json:"deadline-too-short"`
	Draining         uint64 `json:"draining"`
	Canceled         uint64 `json:"canceled"`
}

func gateOf(st admission.Stats) Gate {
	return Gate{
		Limit: st.Limit, Running: st.Running, Queued: st.Queued, Demand: st.Demand,
		Level: st.Level.AsImportance(), Overloaded: st.Active,
		ServiceMS: milliseconds(st.Service), BacklogMS: milliseconds(st.Backlog),
		Decisions: Counts{
			Admitted: st.Admitted, Overloaded: st.Overloaded, OverShare: st.OverShare,
			DeadlineTooShort: st.DeadlineShort, Draining: st.Counts.Draining, Canceled: st.CanceledQueued,
		},
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// ControlCost is what control has cost since the start.
type ControlCost struct {
	Bytes int64 `json:"bytes"` // sent and received, headers included
	Calls int64 `json:"calls"`
}

// Status returns a snapshot; false once control has ended.
func (n *Node) Status() (Status, bool) {
	s := Status{
		Name: n.self.Name, Build: buildinfo.Read(), Service: n.self.Service, Zone: n.self.Place.Zone,
		InFlight: n.engine.InFlight(), Gate: gateOf(n.engine.GateStats()),
		Members: make(map[string]int), Versions: make(map[request.Tenant]int64),
	}
	ok := n.control.ask(func() {
		c := n.control
		s.NotReady = c.obstacles()
		s.Ready, s.Leaving, s.Complete = len(s.NotReady) == 0, c.leaving, c.state.Complete()
		s.Control = ControlCost{Bytes: c.meter.Total(), Calls: c.meter.Calls()}
		for _, t := range c.conf.index().Tenants() {
			s.Versions[t] = c.conf.index().Version(t)
		}
		c.state.Snapshot().All(func(m member.Member) bool {
			s.Members[m.Status.String()]++
			return true
		})
	})
	return s, ok
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
