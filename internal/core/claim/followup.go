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
func (f *FollowUp) Pending() bool { return f.task != taskNone }

// BeforeAnswer reports whether the first try should precede the answer, because a
// caller that repeats immediately then finds the outcome recorded or the claim
// released.
func (f *FollowUp) BeforeAnswer() bool { return f.task == taskRecord || f.task == taskRelease }

// RecordsOutcome reports whether the follow-up records an outcome.
func (f *FollowUp) RecordsOutcome() bool { return f.task == taskRecord }

func newRecordFollowUp(cfg *Config, row Row) FollowUp {
	return FollowUp{cfg: cfg, task: taskRecord, token: row.Token, row: row}
}

func newReleaseFollowUp(cfg *Config, token string, held int64) FollowUp {
	return FollowUp{cfg: cfg, task: taskRelease, token: token, baseVersion: held}
}

// newFenceFollowUp returns the follow-up that undoes a claim write whose result is
// unknown. The write may have taken effect or may still do so, so reading the row
// as absent is not enough. The follow-up writes a Free row under the same condition,
// so that one of the two writes fails.
func newFenceFollowUp(cfg *Config, token string, base int64) FollowUp {
	return FollowUp{cfg: cfg, task: taskFence, token: token, baseVersion: base}
}

// Step handles an event and returns Write, Read, RetryLater or Finished.
func (f *FollowUp) Step(now time.Duration, e Event) Action {
	if _, ok := e.(Begin); ok {
		return f.start(now)
	}
	switch f.phase {
	case writing:
		return f.onWriteResult(e)
	case reading:
		return f.onReadResult(now, e)
	default:
		return nil
	}
}

func (f *FollowUp) start(now time.Duration) Action {
	switch f.task {
	case taskRecord:
		return f.write(f.row)
	case taskRelease:
		return f.writeFree(now, f.baseVersion)
	case taskFence:
		return f.readRow()
	default:
		return f.finish(false)
	}
}

func (f *FollowUp) onWriteResult(e Event) Action {
	switch e.(type) {
	case Written:
		return f.finish(false)
	case NoRoom:
		// Only a fence writes an entry that does not exist yet. A row without room
		// for the fence has none for the fenced claim either: rows never shrink.
		return f.finish(false)
	case ConditionFailed:
		return f.onConditionFailed()
	default:
		return RetryLater{}
	}
}

// onConditionFailed handles a failed condition. Only the holder moves a row on
// from its claim, so a release that fails was already done by an earlier try.
func (f *FollowUp) onConditionFailed() Action {
	if f.task == taskRelease {
		return f.finish(false)
	}
	return f.readRow()
}

func (f *FollowUp) onReadResult(now time.Duration, e Event) Action {
	r, ok := e.(RowRead)
	if !ok {
		return RetryLater{}
	}
	if f.task == taskRecord {
		return f.finish(r.Row.State != Done || r.Row.Token != f.token)
	}
	switch {
	case r.Row.State == Held && r.Row.Token == f.token:
		return f.writeFree(now, r.Row.Version)
	case r.Row.Version > f.baseVersion:
		return f.finish(false)
	default:
		return f.writeFree(now, r.Row.Version)
	}
}

// writeFree replaces the row at version with a Free row.
func (f *FollowUp) writeFree(now time.Duration, version int64) Action {
	return f.write(Row{
		Version: version + 1, Token: f.token, State: Free, Expires: now + f.cfg.FreeRetention,
	})
}

func (f *FollowUp) write(r Row) Action {
	f.phase = writing
	return Write{Row: r, Wait: f.cfg.OpTimeout}
}

func (f *FollowUp) readRow() Action {
	f.phase = reading
	return Read{Wait: f.cfg.OpTimeout}
}

func (f *FollowUp) finish(lost bool) Action {
	f.phase, f.task = ended, taskNone
	return Finished{Lost: lost}
}
