package node

import (
	"go.uber.org/zap"

	"peardrift/internal/adapter/oteltrace"
	"peardrift/internal/adapter/tallymetrics"
	"peardrift/internal/adapter/zaplog"
	"peardrift/internal/core/admission"
	"peardrift/internal/core/configset"
	"peardrift/internal/core/member"
	"peardrift/internal/core/request"
	"peardrift/internal/core/suspect"
	"peardrift/internal/core/targetspeed"
	"peardrift/internal/dataplane"
)

// observer passes each hop to metrics, traces and logs; hops that completed are logged at
// debug level only. Each sink limits its own volume.
type observer struct {
	metrics *tallymetrics.Metrics
	tracer  *oteltrace.Tracer
	log     *zap.Logger
}

// Hop implements dataplane.Observer.
func (o *observer) Hop(h *dataplane.Hop) {
	o.metrics.Hop(h)
	o.tracer.Hop(h)
	if h.Kind == dataplane.HopAttempt {
		return // the hop of its call is logged
	}
	level := zap.InfoLevel
	if h.Outcome == request.Completed {
		level = zap.DebugLevel
	}
	if ce := o.log.Check(level, outcomeMessages[h.Outcome]); ce != nil {
		ce.Write(hopFields(h)...)
	}
}

// outcomeMessages maps outcomes to log messages.
var outcomeMessages = map[request.Outcome]string{
	request.Completed: "call completed",
	request.Refused:   "call refused",
	request.Failed:    "call failed",
	request.Unknown:   "call unknown",
}

// hopFields returns a hop's log fields. The retry fields are present only if a retry was
// decided on.
func hopFields(h *dataplane.Hop) []zap.Field {
	fields := []zap.Field{
		zap.Stringer("hop", h.Kind), zaplog.Request(h.ID), zaplog.Service(h.Service), zaplog.Class(h.Class),
		zaplog.Tenant(h.Tenant), zaplog.Outcome(h.Outcome), zap.String("code", string(h.Code)),
		zap.Duration("took", h.End.Sub(h.Start)), zaplog.Version(h.Version),
	}
	if h.Name != "" {
		fields = append(fields, zaplog.Name(h.Name))
	}
	if h.Importance > 0 {
		fields = append(fields, zaplog.Importance(h.Importance))
	}
	if h.Organisation != "" {
		fields = append(fields, zaplog.Organisation(h.Organisation))
	}
	if h.Target != 0 {
		fields = append(fields, zaplog.Target(h.Target), zap.String("zone", h.Zone))
	}
	if h.LeftZone {
		fields = append(fields, zaplog.LeftZone(true))
	}
	if h.Level > 0 {
		fields = append(fields, zaplog.Level(h.Level))
	}
	if h.Kind == dataplane.HopEntry {
		fields = append(fields, zaplog.CalleeLevel(h.KnownLevel))
	}
	if h.Queued > 0 {
		fields = append(fields, zap.Duration("queued", h.Queued))
	}
	if h.Sends > 1 || h.Resend != "" {
		fields = append(fields, zap.Int("sends", h.Sends), zap.String("resend", h.Resend))
	}
	if h.Waited > 0 {
		fields = append(fields, zap.Duration("waited", h.Waited), zap.Stringer("wait_result", h.WaitResult))
	}
	if h.Truncated != dataplane.NotTruncated {
		fields = append(fields, zaplog.Truncated(h.Truncated.String()))
	}
	if h.Detail != "" {
		fields = append(fields, zaplog.Detail(h.Detail))
	}
	if h.Retry != "" {
		fields = append(fields, zap.Int("attempts", h.Attempt), zap.Int("allowance", h.Allowance), zap.String("retry", h.Retry))
	}
	return fields
}

// updateGauges sets the node's gauges. It runs on the control goroutine.
func (n *Node) updateGauges(c *control) {
	g := n.metrics.Gauges
	st := n.engine.GateStats()
	g.InFlight.Update(float64(n.engine.InFlight()))
	g.Running.Update(float64(st.Running))
	g.Queued.Update(float64(st.Queued))
	g.Waiting.Update(float64(n.engine.WaitingStats().Waiting))
	g.Limit.Update(float64(st.Limit))
	g.RateLimit.Update(st.Rate)
	g.Level.Update(float64(st.Level))
	g.Backlog.Update(st.Backlog.Seconds())
	g.Demand.Update(st.Demand)
	speed := n.engine.TargetSpeed()
	g.TimeFactorStated.Update(speed.Stated)
	g.TimeFactorMeasured.Update(speed.Measured)
	g.TimeFactorTrust.Update(speed.Trust)
	g.Suspects.Update(float64(n.engine.Suspects()))
	g.ConfigVersion.Update(float64(c.config.index().Version(n.self.Tenant)))
	g.Ready.Update(boolGauge(c.published.ready))
	g.Draining.Update(boolGauge(c.leaving))
	g.TargetUp.Update(boolGauge(c.targetUp))
	if started, ended := c.overload.observe(c.now(), st.Level > 0); started {
		n.log.Warn("overload began", overloadFields(st)...)
	} else if ended {
		n.log.Info("overload over", overloadFields(st)...)
	}
	if fields := c.gateReport.report(c.now(), st); fields != nil {
		n.log.Info("gate refuses", fields...)
	}
}

// logFigureTrust logs a change of trust in the time factor that the own target states.
func (n *Node) logFigureTrust(change targetspeed.Change, st targetspeed.Stats) {
	message := "target's time factor believed"
	if change == targetspeed.Lost {
		message = "target's time factor not believed"
	}
	n.log.Info(message, zap.Float64("stated", st.Stated), zap.Float64("measured", st.Measured), zap.Float64("trust", st.Trust))
}

// logClosedConnections logs connections that were closed because of a limit since the last
// tick. It runs on the control goroutine.
func (n *Node) logClosedConnections() {
	for listener, c := range n.conns.sinceLast() {
		if c.rejected > 0 {
			n.log.Warn("connections turned away", zap.String("face", listener), zap.Int64("count", c.rejected))
		}
		if c.evicted > 0 {
			n.log.Warn("stalled connections closed", zap.String("face", listener), zap.Int64("count", c.evicted))
		}
	}
}

// updateMemberGauges sets the gauges that only membership changes affect.
func (n *Node) updateMemberGauges(v *member.View) {
	all, alive := 0, 0
	v.All(func(m member.Member) bool {
		all++
		if m.Status == member.Alive {
			alive++
		}
		return true
	})
	n.metrics.Gauges.Members.Update(float64(all))
	n.metrics.Gauges.Alive.Update(float64(alive))
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// metricLabels returns the services and classes that have metric series.
func metricLabels(idx *configset.Index) (services []request.Service, names []request.Class) {
	services = idx.Services()
	for _, s := range services {
		info, _ := idx.Service(s)
		for _, c := range info.Classes {
			names = append(names, c.Name)
		}
	}
	return services, names
}

// overloadFields returns the gate's log fields.
func overloadFields(st admission.Stats) []zap.Field {
	return []zap.Field{
		zaplog.Level(st.Level), zap.Int("limit", st.Limit),
		zap.Float64("demand", st.Demand), zap.Int("queued", st.Queued),
	}
}

// reportFields returns a crash report's log fields.
func reportFields(r suspect.Report) []zap.Field {
	return []zap.Field{zaplog.Target(r.Crash.Target), zap.Int("in_flight", r.InFlight)}
}
