package node

import (
	"encoding/json"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"

	"peardrift/internal/core/admission"
	"peardrift/internal/core/member"
	"peardrift/internal/core/request"
)

// Status is what a node tells operators of itself.
type Status struct {
	Name     string                   `json:"name"`
	Service  request.Service          `json:"service"`
	Zone     string                   `json:"zone"`
	Ready    bool                     `json:"ready"`
	Leaving  bool                     `json:"leaving"`
	Members  map[string]int           `json:"members"` // by status
	Complete bool                     `json:"complete"`
	Versions map[request.Tenant]int64 `json:"versions"`
	InFlight int                      `json:"in_flight"`
	Gate     admission.Stats          `json:"gate"`
	Control  ControlCost              `json:"control"`
}

// ControlCost is what control has cost since the start.
type ControlCost struct {
	Bytes int64 `json:"bytes"` // sent and received, headers included
	Calls int64 `json:"calls"`
}

// Status returns a snapshot; false once control has ended.
func (n *Node) Status() (Status, bool) {
	s := Status{
		Name: n.self.Name, Service: n.self.Service, Zone: n.self.Place.Zone,
		InFlight: n.engine.InFlight(), Gate: n.engine.GateStats(),
		Members: make(map[string]int), Versions: make(map[request.Tenant]int64),
	}
	ok := n.control.ask(func() {
		c := n.control
		s.Ready, s.Leaving, s.Complete = c.ready() && c.targetUp, c.leaving, c.state.Complete()
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
