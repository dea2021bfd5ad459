package claim

import "time"

type task uint8

const (
	taskNone task = iota
	taskRecord
	taskRelease
	taskFence
)

// FollowUp is the state machine for the work that an attempt leaves at the table. It
// may be retried without limit after the caller has its answer; each try starts
// with Begin. Until it is Finished the key stays as the attempt left it, and
// repeats are answered "in progress" or "unknown". A FollowUp lost with its node
// makes that key unusable but never causes a second run.
type FollowUp struct {
	cfg         *Config
	task        task
	token       string
	row         Row   // taskRecord: the row to write
	baseVersion int64 // taskRelease: the version held; taskFence: the last version that an ambiguous write was conditional on
	phase       phase
}

// Pending reports whether any work is left.
func (d *FollowUp) Pending() bool { return d.task != taskNone }

// BeforeAnswer reports whether the first try should precede the answer, because a
// caller that repeats immediately then finds the outcome recorded or the claim
// released.
func (d *FollowUp) BeforeAnswer() bool { return d.task == taskRecord || d.task == taskRelease }

// RecordsOutcome reports whether the follow-up records an outcome.
func (d *FollowUp) RecordsOutcome() bool { return d.task == taskRecord }

func newRecordDuty(cfg *Config, row Row) FollowUp {
	return FollowUp{cfg: cfg, task: taskRecord, token: row.Token, row: row}
}

func newReleaseDuty(cfg *Config, token string, held int64) FollowUp {
	return FollowUp{cfg: cfg, task: taskRelease, token: token, baseVersion: held}
}

// newFenceDuty returns the follow-up that undoes a claim write whose result is
// unknown. The write may have taken effect or may still do so, so reading the row
// as absent is not enough. The follow-up writes a Free row under the same condition,
// so that one of the two writes fails.
func newFenceDuty(cfg *Config, token string, base int64) FollowUp {
	return FollowUp{cfg: cfg, task: taskFence, token: token, baseVersion: base}
}

// Step handles an event and returns Write, Read, RetryLater or Finished.
func (d *FollowUp) Step(now time.Duration, e Event) Action {
	if _, ok := e.(Begin); ok {
		return d.start(now)
	}
	switch d.phase {
	case writing:
		return d.onWriteResult(e)
	case reading:
		return d.onReadResult(now, e)
	default:
		return nil
	}
}

func (d *FollowUp) start(now time.Duration) Action {
	switch d.task {
	case taskRecord:
		return d.write(d.row)
	case taskRelease:
		return d.writeFree(now, d.baseVersion)
	case taskFence:
		return d.readRow()
	default:
		return d.finish(false)
	}
}

func (d *FollowUp) onWriteResult(e Event) Action {
	switch e.(type) {
	case Written:
		return d.finish(false)
	case NoRoom:
		// Only a fence writes an entry that does not exist yet. A row without room
		// for the fence has none for the fenced claim either: rows never shrink.
		return d.finish(false)
	case ConditionFailed:
		return d.onConditionFailed()
	default:
		return RetryLater{}
	}
}

// onConditionFailed handles a failed condition. Only the holder moves a row on
// from its claim, so a release that fails was already done by an earlier try.
func (d *FollowUp) onConditionFailed() Action {
	if d.task == taskRelease {
		return d.finish(false)
	}
	return d.readRow()
}

func (d *FollowUp) onReadResult(now time.Duration, e Event) Action {
	r, ok := e.(RowRead)
	if !ok {
		return RetryLater{}
	}
	if d.task == taskRecord {
		return d.finish(r.Row.State != Done || r.Row.Token != d.token)
	}
	switch {
	case r.Row.State == Held && r.Row.Token == d.token:
		return d.writeFree(now, r.Row.Version)
	case r.Row.Version > d.baseVersion:
		return d.finish(false)
	default:
		return d.writeFree(now, r.Row.Version)
	}
}

// writeFree replaces the row at version with a Free row.
func (d *FollowUp) writeFree(now time.Duration, version int64) Action {
	return d.write(Row{
		Version: version + 1, Token: d.token, State: Free, Expires: now + d.cfg.FreeRetention,
	})
}

func (d *FollowUp) write(r Row) Action {
	d.phase = writing
	return Write{Row: r, Wait: d.cfg.OpTimeout}
}

func (d *FollowUp) readRow() Action {
	d.phase = reading
	return Read{Wait: d.cfg.OpTimeout}
}

func (d *FollowUp) finish(lost bool) Action {
	d.phase, d.task = ended, taskNone
	return Finished{Lost: lost}
}
