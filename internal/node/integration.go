package node

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"peardrift/internal/adapter/hertzhttp"
	"peardrift/internal/adapter/zaplog"
	"peardrift/internal/core/lifetime"
	"peardrift/internal/core/ratelimit"
	"peardrift/internal/dataplane"
	"peardrift/internal/port"
	"peardrift/internal/status"
	"peardrift/internal/wire"
)

// Integration adapts a node to an environment that doesn't use the project's default
// interfaces: the dialect of callers and targets, the platform's storage of rows and
// accepted sets, and targets that announce themselves.
type Integration struct {
	Dialect wire.Dialect
	Table   Table
	Sets    port.WatchedSets
	// PropagationBound is the time within which an accepted set must be in force at every
	// node; 0 selects the default, 3 s.
	PropagationBound time.Duration
	// Reports returns the handler for the own target's reports. take returns nil once a
	// report may be acknowledged: it has been applied, and a leave is recorded outside the
	// process. refused is called with the reason for which a report is invalid.
	Reports func(take func(port.Report) error, refused func(error)) hertzhttp.Handler
	// Bootstrap reports that the whole fleet starts for the first time.
	Bootstrap bool
	// RetryBudget is the number of retries that all nodes together may send to one
	// service in RetryWindow, in addition to a fraction of its requests.
	RetryBudget float64
	RetryWindow time.Duration
	// ResendRatio bounds, per call of a service and in RetryWindow, how often targets get
	// calls again that they have rejected; 0: never.
	ResendRatio float64
	// Limits are the bounds that the fleet must keep when it enforces organisations'
	// rate limits.
	Limits ratelimit.Terms
}

// Table is the platform's table with a Close method.
type Table interface {
	port.Table
	Close()
}

// handleReport applies a report of the own target. When it returns nil, the report is in
// force, and a leave also binds a later process of this node.
func (n *Node) handleReport(r port.Report) error {
	if err := lifetime.Check(r, n.self.Service, time.Now()); err != nil {
		n.logRefusedReport(err)
		return err
	}
	var rec *recording
	var err error
	if !n.control.ask(func() { rec, err = n.control.handleReport(r) }) {
		return errStopping
	}
	if err == nil && rec != nil {
		err = rec.wait()
	}
	if err != nil && !errors.Is(err, errReportAgain) {
		n.log.Warn("leave not acknowledged", zap.String("instance", r.Instance), zaplog.Error(err))
	}
	return err
}

// errReportAgain makes a target report again soon. It shows that the report was not one from
// before a leave.
var errReportAgain = status.New(status.CodeNotReady, "report again: this node was just started")

// logRefusedReport logs a report that was rejected.
func (n *Node) logRefusedReport(err error) { n.log.Warn("report refused", zaplog.Error(err)) }

// handleOtherInstance records that another instance answers at the target's address.
func (n *Node) handleOtherInstance(instance string) {
	_ = n.pool.Submit(func() {
		n.control.ask(func() { n.control.handleOtherInstance(instance) })
	})
}

// handleNotice applies what the own target's answers say of it.
func (n *Node) handleNotice(instance string, notice wire.Notice) {
	n.log.Info("target notice", zap.String("instance", instance), zap.Float64("per_second", notice.RateLimit), zap.Bool("leaving", notice.Leaving))
	if !notice.Leaving {
		return
	}
	_ = n.pool.Submit(func() {
		n.control.ask(func() { n.control.handleLeaving(instance) })
	})
}

// handleLeaving records that the own target leaves.
func (c *control) handleLeaving(instance string) {
	before := c.targetLifetime.State()
	c.applyLifetime(before, c.targetLifetime.Left(instance), "answer")
	if before.Instance == instance {
		_, _ = c.recordLeave(instance, before.StartedAt) // nobody waits for it
	}
}

// handleReport applies a report. It returns the recording of the leave that it reports, or
// nil.
func (c *control) handleReport(r port.Report) (*recording, error) {
	before := c.targetLifetime.State()
	c.applyLifetime(before, c.targetLifetime.Report(r), "report")
	if !r.Leaving && !r.Final {
		if c.targetLifetime.Awaits(r.Instance) {
			return nil, errReportAgain
		}
		return nil, nil
	}
	return c.recordLeave(r.Instance, r.StartedAt)
}

func (c *control) handleOtherInstance(instance string) {
	before := c.targetLifetime.State()
	c.applyLifetime(before, c.targetLifetime.Answered(instance), "answer")
}

// applyLifetime applies the target's lifetime state. It announces a new lifetime to the
// other nodes as a new incarnation: their measurements of the previous one, and that it
// was leaving, don't apply to this one.
func (c *control) applyLifetime(previous, current lifetime.State, by string) {
	if previous.Instance == current.Instance && previous.StartedAt == current.StartedAt && previous.AcceptsCalls == current.AcceptsCalls && previous.Slots == current.Slots {
		return
	}
	c.engine.SetTargetState(dataplane.TargetState{Instance: current.Instance, StartedAt: current.StartedAt, Slots: current.Slots, AcceptsCalls: current.AcceptsCalls})
	c.log.Info("target", zap.String("instance", current.Instance), zap.Int64("born", current.StartedAt), zap.Bool("takes", current.AcceptsCalls),
		zap.Int("slots", current.Slots), zap.Duration("cold", current.Cold), zap.String("by", by))
	if current.AcceptsCalls {
		rec := c.node.record()
		rec.Slots = uint32(current.Slots)
		c.state.Update(c.now(), rec)
	}
}
