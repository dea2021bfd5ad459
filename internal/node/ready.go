package node

import "go.uber.org/zap"

// What keeps a node from being ready, in operators' words.
const (
	obstacleMembers  = "the other nodes are not known yet"
	obstacleConfig   = "the newest configuration is not in force yet"
	obstacleService  = "no set in force declares the target's service"
	obstacleTarget   = "the target does not answer its health check"
	obstacleLeaving  = "the target is leaving"
	obstacleStopping = "the node is stopping"
)

// open: new calls are taken, for the target too.
func (s shown) open() bool { return s.ready && s.up && !s.leaving && !s.retires }

// logReady logs that the node has become ready, or why it no longer is.
func (c *control) logReady(before shown) {
	switch {
	case c.shown.open() && !before.open():
		c.log.Info("ready")
	case !c.shown.open() && before.open():
		c.log.Warn("not ready", zap.Strings("because", c.obstacles()))
	}
}

// judges: calls can be judged and sent. A node that took calls before it knew
// the configuration would refuse them as of unknown services; one that didn't
// know the other members, for lack of targets.
func (c *control) judges() bool {
	_, known := c.conf.index().Service(c.self.Service)
	known = known || c.conf.index().Routed() // a target whose service has no route has callers all the same
	return c.membersKnown() && known && c.conf.state.Ready()
}

// membersKnown reports whether the members have been known at some time. A node
// that serves and then joins through nodes that it finds later knows no less
// than before: taking it for new would refuse calls for nothing.
func (c *control) membersKnown() bool {
	c.whole = c.whole || c.state.Complete()
	return c.whole
}

// obstacles returns what keeps the node from being ready for new calls; nothing
// if it is. A balancer or operator sees only "not ready" otherwise, and the
// remedies have nothing in common.
func (c *control) obstacles() []string {
	_, known := c.conf.index().Service(c.self.Service)
	var out []string
	for _, o := range []struct {
		holds bool
		text  string
	}{
		{!c.membersKnown(), obstacleMembers},
		{!c.conf.state.Ready(), obstacleConfig},
		{c.conf.state.Ready() && !known && !c.conf.index().Routed(), obstacleService},
		{!c.targetUp, obstacleTarget},
		{c.leaving, obstacleLeaving},
		{c.retiring, obstacleStopping},
	} {
		if o.holds {
			out = append(out, o.text)
		}
	}
	return out
}
