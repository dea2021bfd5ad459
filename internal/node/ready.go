package node

import "go.uber.org/zap"

// Reasons for which a node is not ready, as shown to operators.
const (
	notReadyMembers  = "the other nodes are not known yet"
	notReadyConfig   = "the newest configuration is not in force yet"
	notReadyService  = "no set in force declares the target's service"
	notReadyTarget   = "the target does not answer its health check"
	notReadyLeaving  = "the target is leaving"
	notReadyStopping = "the node is stopping"
)

// acceptsCalls reports whether new calls are accepted, including those for the target.
func (s viewInputs) acceptsCalls() bool { return s.ready && s.targetUp && !s.leaving && !s.retiring }

// logReady logs that the node has become ready, or why it no longer is.
func (c *control) logReady(previous viewInputs) {
	switch {
	case c.published.acceptsCalls() && !previous.acceptsCalls():
		c.log.Info("ready")
	case !c.published.acceptsCalls() && previous.acceptsCalls():
		c.log.Warn("not ready", zap.Strings("because", c.notReadyReasons()))
	}
}

// canRoute reports whether calls can be admitted and routed. A node that accepted calls
// before it knew the configuration would refuse them as calls of unknown services; before
// it knew the other members, for lack of targets.
func (c *control) canRoute() bool {
	return c.membersKnown() && c.knowsService() && c.config.state.Ready()
}

// knowsService reports whether the sets in force say how to serve the callers of the node. A
// target whose service is not declared still has callers where calls are routed by host,
// also while an integration's set has no route.
func (c *control) knowsService() bool {
	index := c.config.index()
	_, declared := index.Service(c.self.Service)
	return declared || index.HasRoutes() || c.config.watch != nil && index.Version(c.self.Tenant) > 0
}

// membersKnown reports whether the member list has ever been complete. A serving node
// that later joins through further nodes knows no less than before; treating it as new
// would refuse calls needlessly.
func (c *control) membersKnown() bool {
	c.membersComplete = c.membersComplete || c.state.Complete()
	return c.membersComplete
}

// notReadyReasons returns the reasons for which the node is not ready for new calls; none
// if it is ready. Each reason has a different remedy, which "not ready" alone would hide
// from operators and load balancers.
func (c *control) notReadyReasons() []string {
	var out []string
	for _, o := range []struct {
		holds bool
		text  string
	}{
		{!c.membersKnown(), notReadyMembers},
		{!c.config.state.Ready(), notReadyConfig},
		{c.config.state.Ready() && !c.knowsService(), notReadyService},
		{!c.targetUp, notReadyTarget},
		{c.leaving, notReadyLeaving},
		{c.retiring, notReadyStopping},
	} {
		if o.holds {
			out = append(out, o.text)
		}
	}
	return out
}
