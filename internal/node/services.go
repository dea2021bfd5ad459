package node

import (
	"context"
	"time"

	"peardrift/internal/adapter/rpc"
	"peardrift/internal/adapter/rpc/adminapi"
	"peardrift/internal/core/configsync"
	"peardrift/internal/core/member"
	"peardrift/internal/core/request"
	"peardrift/internal/core/suspect"
	"peardrift/internal/status"
)

// Names and methods of the control services between nodes.
const (
	configName    = "Config"
	methodAsk     = configName + ".Ask"
	methodNext    = configName + ".Next"
	suspectsName  = "Suspects"
	methodReport  = suspectsName + ".Report"
	methodRecall  = suspectsName + ".Recall"
	adminName     = "Admin"
	reportTimeout = time.Second
)

// register adds the control services to the server.
func (n *Node) register() error {
	for name, rcvr := range map[string]any{
		rpc.GossipName: rpc.NewGossipService(n.control.exchange),
		configName:     &configService{n.control},
		suspectsName:   &suspectService{n},
		limitsName:     &limitsService{n.control},
		leavesName:     &leaveService{n.control},
		adminName:      &adminService{n},
		rpc.ClaimsName: rpc.NewClaimsService(n.rows.Serve, n.control.meter),
	} {
		if err := n.server.Register(name, rcvr); err != nil {
			return err
		}
	}
	return nil
}

// configService answers peers' requests for configuration. Its methods run on net/rpc's
// goroutines.
type configService struct{ control *control }

// Ask blocks until the core replies to the peer.
func (s *configService) Ask(in *configsync.Ask, out *configsync.Reply) error {
	return await(s.control, out, func() <-chan configsync.Reply { return s.control.config.handleAsk(*in) })
}

// Next blocks until the watch replies to the child.
func (s *configService) Next(in *WatchArgs, out *WatchReply) error {
	return await(s.control, out, func() <-chan WatchReply { return s.control.config.watch.handlePoll(*in) })
}

var errStopping = status.New(status.CodeDraining, "the node is stopping")

// await runs start on the control goroutine and waits for the result of the channel that it
// returns.
func await[T any](c *control, out *T, start func() <-chan T) error {
	var answer <-chan T
	if !c.ask(func() { answer = start() }) {
		return errStopping
	}
	select {
	case *out = <-answer:
		return nil
	case <-c.done:
		return errStopping
	}
}

// suspectService receives crash reports from nodes of the same service.
type suspectService struct{ node *Node }

// Recall holds the crash reports for a node that joins its service.
type Recall struct{ Reports []suspect.Report }

// Report merges a report.
func (s *suspectService) Report(in *suspect.Report, _ *struct{}) error {
	s.node.engine.MergeSuspects(*in)
	return nil
}

// Recall returns all remembered reports.
func (s *suspectService) Recall(_ *struct{}, out *Recall) error {
	out.Reports = s.node.engine.KnownSuspects()
	return nil
}

// reportCrash tells the other nodes of the service which requests were in flight when the
// own target died. It calls each node directly, because the caller retries the request
// long before gossip would arrive.
func (n *Node) reportCrash(r suspect.Report) {
	n.metrics.Counters.TargetCrashes.Inc(1)
	n.log.Warn("target died", reportFields(r)...)
	n.control.post(func() {
		n.control.handleTargetDeath()
		for _, m := range n.control.published.members.Members(n.self.Service) {
			if m.ID != n.self.ID && m.Status != member.Dead {
				n.sendReport(m.ControlAddr, r)
			}
		}
	})
}

func (n *Node) sendReport(addr string, r suspect.Report) {
	_ = n.pool.Submit(func() {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		_ = n.calls.CallOnce(ctx, addr, methodReport, &r, &struct{}{})
	})
}

// fetchSuspects asks a node of the own service for its known suspects. Without them a
// starting node would let each suspect request crash its target again.
func (n *Node) fetchSuspects() {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	for _, addr := range n.servicePeers() {
		var known Recall
		if err := n.calls.CallOnce(ctx, addr, methodRecall, &struct{}{}, &known); err != nil {
			continue
		}
		for _, r := range known.Reports {
			n.engine.MergeSuspects(r)
		}
		return
	}
}

// servicePeers returns the control addresses of the other nodes of the service.
func (n *Node) servicePeers() []string {
	var addrs []string
	n.control.ask(func() {
		for _, m := range n.control.state.Snapshot().Members(n.self.Service) {
			if m.ID != n.self.ID && m.Status == member.Alive {
				addrs = append(addrs, m.ControlAddr)
			}
		}
	})
	return addrs
}

// adminService serves the operators' command-line tool.
type adminService struct{ node *Node }

// Head receives the hint that a version was accepted.
func (s *adminService) Head(in *adminapi.HeadArgs, out *adminapi.HeadReply) error {
	c := s.node.control
	c.ask(func() {
		c.config.execute(c.config.state.Hint(c.config.now(), in.Tenant, in.Version))
		out.InForce = c.config.state.InForce(in.Tenant)
	})
	return nil
}

// Status returns the node's status.
func (s *adminService) Status(_ *adminapi.StatusArgs, out *adminapi.StatusReply) error {
	st, ok := s.node.Status()
	if !ok {
		return status.New(status.CodeDraining, "the node is stopping")
	}
	*out = adminapi.StatusReply{
		Node: st.Name, Service: st.Service, Region: s.node.self.Place.Region, Zone: st.Zone,
		Ready: st.Ready, Leaving: st.Leaving, Members: st.Members[member.Alive.String()],
		Build: st.Build.String(), NotReady: st.NotReady,
		Gate: adminapi.GateStatus{
			Limit: st.Gate.Limit, Running: st.Gate.Running, Queued: st.Gate.Queued,
			Demand: st.Gate.Demand, Level: st.Gate.Level,
		},
	}
	c := s.node.control
	c.ask(func() {
		for _, h := range c.config.state.Known() {
			out.Tenants = append(out.Tenants, tenantStatus(c, h.Tenant, h.Version))
		}
	})
	return nil
}

func tenantStatus(c *control, t request.Tenant, known int64) adminapi.TenantStatus {
	return adminapi.TenantStatus{Tenant: t, InForce: c.config.state.InForce(t), Known: known}
}
