package claim

import "time"

type task uint8

const (
	nothing task = iota
	toRecord
	toRelease
	toFence
)

// Duty is what an attempt leaves to be done at the table. It may be tried as
// often as it takes, after the caller has its answer: each try starts with
// Begin. Until it is Finished the key stays as the attempt left it, and repeats
// are told "in progress" or "unknown". A Duty that dies with its node costs
// that key, never a second run.
type Duty struct {
	cfg   *Config
	task  task
	token string
	row   Row   // toRecord: the row to write
	base  int64 // toRelease: the version held; toFence: the last version that a write in doubt was conditional on
	phase phase
}

// Pending reports whether there is anything to do.
func (d *Duty) Pending() bool { return d.task != nothing }

// Urgent reports whether a caller that repeats at once is better served after
// the first try: by a recorded outcome, or by a claim that is free again.
func (d *Duty) Urgent() bool { return d.task == toRecord || d.task == toRelease }

// Records reports whether an outcome is to be recorded.
func (d *Duty) Records() bool { return d.task == toRecord }

func recording(cfg *Config, row Row) Duty {
	return Duty{cfg: cfg, task: toRecord, token: row.Token, row: row}
}

func releasing(cfg *Config, token string, held int64) Duty {
	return Duty{cfg: cfg, task: toRelease, token: token, base: held}
}

// fence returns the duty to undo a claim write whose answer was lost and that
// could not be settled. It may have taken effect, or may yet: reading the row
// absent is not enough. A Free row of our own is written in its place, under
// the same condition, so that one of the two fails.
func fence(cfg *Config, token string, base int64) Duty {
	return Duty{cfg: cfg, task: toFence, token: token, base: base}
}

// Step takes the next event and returns Write, Read, Later or Finished.
func (d *Duty) Step(now time.Duration, e Event) Action {
	if _, ok := e.(Begin); ok {
		return d.begin(now)
	}
	switch d.phase {
	case writing:
		return d.wrote(e)
	case reading:
		return d.read(now, e)
	default:
		return nil
	}
}

func (d *Duty) begin(now time.Duration) Action {
	switch d.task {
	case toRecord:
		return d.write(d.row)
	case toRelease:
		return d.free(now, d.base)
	case toFence:
		return d.look()
	default:
		return d.finish(false)
	}
}

func (d *Duty) wrote(e Event) Action {
	switch e.(type) {
	case Written:
		return d.finish(false)
	case NoRoom:
		// Only a fence writes where nothing is. What has no room for it has none
		// for the claim that it fences off: rows never get smaller.
		return d.finish(false)
	case ConditionFailed:
		return d.refused()
	default:
		return Later{}
	}
}

// refused handles a failed condition. Only the holder moves a row on from its
// claim: a release that fails was done by an earlier try of it.
func (d *Duty) refused() Action {
	if d.task == toRelease {
		return d.finish(false)
	}
	return d.look()
}

func (d *Duty) read(now time.Duration, e Event) Action {
	r, ok := e.(RowRead)
	if !ok {
		return Later{}
	}
	if d.task == toRecord {
		return d.finish(r.Row.State != Done || r.Row.Token != d.token)
	}
	switch {
	case r.Row.State == Held && r.Row.Token == d.token:
		return d.free(now, r.Row.Version)
	case r.Row.Version > d.base:
		return d.finish(false)
	default:
		return d.free(now, r.Row.Version)
	}
}

// free writes a Free row over version.
func (d *Duty) free(now time.Duration, version int64) Action {
	return d.write(Row{
		Version: version + 1, Token: d.token, State: Free, Expires: now + d.cfg.FreeFor,
	})
}

func (d *Duty) write(r Row) Action {
	d.phase = writing
	return Write{Row: r, Wait: d.cfg.OpWait}
}

func (d *Duty) look() Action {
	d.phase = reading
	return Read{Wait: d.cfg.OpWait}
}

func (d *Duty) finish(lost bool) Action {
	d.phase, d.task = ended, nothing
	return Finished{Lost: lost}
}
