package apply

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
	"peardrift/internal/port"
	"peardrift/internal/status"
)

// CodeSharesExceeded is the code of an apply after which the shares of all tenants would
// exceed 1.
const CodeSharesExceeded status.Code = "shares-exceeded"

// shareTolerance allows for rounding errors in the sum of shares.
const shareTolerance = 1e-9

// ConflictError is the error of an apply whose base is not the accepted version. It matches
// status.CodeConflict.
type ConflictError struct {
	Tenant  request.Tenant
	Base    int64
	Current int64
}

// Error implements error.
func (c *ConflictError) Error() string {
	return fmt.Sprintf("the set of %s is at version %d, not %d: review the changes and apply again on base %d",
		c.Tenant, c.Current, c.Base, c.Current)
}

// Unwrap returns the *status.Error with status.CodeConflict.
func (c *ConflictError) Unwrap() error {
	return status.New(status.CodeConflict, "version %d is accepted", c.Current)
}

// Result is the result of a successful apply.
type Result struct {
	Version int64
	Digest  configset.Digest
	// AlreadyAccepted reports that an earlier apply of the same set on the same base was
	// already accepted.
	AlreadyAccepted bool
	// Unchanged reports that the accepted version has the same content, so that no new
	// version was created.
	Unchanged bool
}

// attempt is the state of one apply.
type attempt struct {
	*Store
	set    configset.Set
	by     string
	base   int64
	body   []byte
	digest configset.Digest
	token  string
}

// Apply submits a whole set that is based on version base (0: the tenant has none yet).
// Its errors:
//
//   - status.CodeInvalidSet: the set is invalid
//   - *ConflictError: the accepted version is not base
//   - CodeSharesExceeded: the shares of all tenants would exceed 1
//   - status.CodePlatformDown: the platform is unreachable; nothing was accepted
//   - status.CodeOutcomeUnknown: the set may have been accepted; applying the same
//     set and base again resolves it
func (s *Store) Apply(ctx context.Context, set configset.Set, base int64, by string) (Result, error) {
	if ps := configset.Validate(set); len(ps) > 0 {
		return Result{}, status.New(status.CodeInvalidSet, "%s: %s (%d problems in all)",
			ps[0].Field, ps[0].Message, len(ps))
	}
	body, digest, err := configset.Encode(set)
	if err != nil {
		return Result{}, err
	}
	a := &attempt{Store: s, set: set, by: by, base: base, body: body, digest: digest, token: s.token()}
	if done, acc, err := a.checkCurrent(ctx); done || err != nil {
		return acc, err
	}
	if err := a.putObject(ctx); err != nil {
		return Result{}, err
	}
	return a.commit(ctx)
}

// checkCurrent compares the accepted version with the base; done means that there is
// nothing to write.
func (a *attempt) checkCurrent(ctx context.Context) (done bool, acc Result, err error) {
	current, digest, err := a.current(ctx)
	if err != nil {
		return false, acc, status.Wrap(status.CodeOf(err), err, "cannot read the accepted version; nothing was written")
	}
	if current == a.base {
		acc = Result{Version: current, Digest: a.digest, Unchanged: true}
		return digest == a.digest, acc, nil
	}
	if current > a.base {
		r, err := a.Version(ctx, a.set.Tenant, a.base+1)
		if err != nil && !errors.Is(err, port.ErrNotFound) {
			return false, acc, status.Wrap(status.CodeOf(err), err, "cannot read the history; nothing was written")
		}
		if err == nil && r.Digest == a.digest {
			return true, Result{Version: r.Version, Digest: r.Digest, AlreadyAccepted: true}, nil
		}
	}
	return false, acc, &ConflictError{Tenant: a.set.Tenant, Base: a.base, Current: current}
}

// current returns the accepted version and digest, version 0 if there is none.
func (a *attempt) current(ctx context.Context) (int64, configset.Digest, error) {
	head, err := a.Head(ctx, a.set.Tenant)
	if errors.Is(err, port.ErrNotFound) {
		return 0, configset.Digest{}, nil
	}
	return head.Version, head.Digest, err
}

// putObject writes the set's bytes. Nothing refers to them yet, so a write with a lost
// response is simply repeated.
func (a *attempt) putObject(ctx context.Context) error {
	err := a.retry(ctx, func() error {
		return a.objects.Put(ctx, objectName(a.set.Tenant, a.digest), a.body)
	})
	if err != nil {
		return status.Wrap(status.CodePlatformDown, err, "cannot write the set to the object store; nothing was accepted")
	}
	return nil
}

// commit makes the deciding write and retries it until its outcome is known.
func (a *attempt) commit(ctx context.Context) (Result, error) {
	ambiguous := false
	err := a.retry(ctx, func() error {
		err := a.writeOnce(ctx)
		if errors.Is(err, port.ErrAmbiguous) {
			ambiguous = true
		}
		if err == nil || (!ambiguous && !errors.Is(err, port.ErrConditionFailed)) {
			return err
		}
		return a.resolve(ctx, err)
	})
	switch {
	case err == nil:
		return Result{Version: a.base + 1, Digest: a.digest}, nil
	case isRejected(err) || (isPermanent(err) && !ambiguous):
		return Result{}, err
	case ambiguous:
		return Result{}, status.Wrap(status.CodeOutcomeUnknown, err,
			"the set may have been accepted as version %d; apply the same set again on base %d", a.base+1, a.base)
	default:
		return Result{}, status.Wrap(status.CodePlatformDown, err, "nothing was accepted")
	}
}

// writeOnce makes one attempt at the deciding write.
func (a *attempt) writeOnce(ctx context.Context) error {
	puts, err := a.buildPuts(ctx)
	if err != nil {
		return err
	}
	return a.table.PutAll(ctx, puts)
}

func (a *attempt) buildPuts(ctx context.Context) ([]port.Put, error) {
	t, version := a.set.Tenant, a.base+1
	value := record{
		Digest: a.digest.String(), Object: objectName(t, a.digest), Bytes: len(a.body),
		Share: a.set.Share, By: a.by, At: a.now().UTC().Truncate(time.Millisecond),
	}
	head, err := encodeRow(headKey(t), version, a.token, value)
	if err != nil {
		return nil, err
	}
	history, err := encodeRow(historyKey(t, version), 1, a.token, value)
	if err != nil {
		return nil, err
	}
	puts := []port.Put{{Item: head, IfVersion: a.base}, {Item: history}}
	share, err := a.sharePut(ctx)
	if err != nil || share == nil {
		return puts, err
	}
	return append(puts, *share), nil
}

// sharePut checks that the sum of all shares stays within 1 and returns the write of the
// ledger, nil if the share does not change. A ledger that changes between this read and
// the write fails the write's condition, so two tenants that raise their shares
// concurrently can't exceed 1 together.
func (a *attempt) sharePut(ctx context.Context) (*port.Put, error) {
	version, l, err := a.ledger(ctx)
	if err != nil {
		return nil, err
	}
	if l.Shares[a.set.Tenant] == a.set.Share {
		return nil, nil
	}
	l.Shares[a.set.Tenant] = a.set.Share
	sum := 0.0
	for _, share := range l.Shares {
		sum += share
	}
	if sum > 1+shareTolerance {
		return nil, status.New(CodeSharesExceeded, "the shares of all %d tenants would be %.4g with %.4g for %s; the maximum is 1",
			len(l.Shares), sum, a.set.Share, a.set.Tenant)
	}
	it, err := encodeRow(sharesKey, version+1, a.token, l)
	if err != nil {
		return nil, err
	}
	return &port.Put{Item: it, IfVersion: version}, nil
}

// resolve determines the outcome of a write that failed with cause, or of an earlier
// ambiguous one. It returns nil if it was accepted, a *ConflictError if another set was,
// else cause, which leads to another attempt: the head is unchanged, and an earlier write
// may still take effect.
func (a *attempt) resolve(ctx context.Context, cause error) error {
	r, err := a.Version(ctx, a.set.Tenant, a.base+1)
	switch {
	case errors.Is(err, port.ErrNotFound):
		return cause
	case err != nil:
		return err
	case r.Token == a.token:
		return nil
	}
	current, _, err := a.current(ctx)
	if err != nil {
		return err
	}
	return &ConflictError{Tenant: a.set.Tenant, Base: a.base, Current: current}
}

// isRejected reports whether an error proves that the set was not and will not be
// accepted, even after an ambiguous write. CodeSharesExceeded does: the ledger has
// changed since that write's condition was read, so the write can't take effect.
func isRejected(err error) bool {
	code := status.CodeOf(err)
	return code == status.CodeConflict || code == CodeSharesExceeded
}

// isPermanent reports whether a retry can't succeed after err.
func isPermanent(err error) bool {
	var e *status.Error
	if !errors.As(err, &e) {
		return false
	}
	switch e.Code {
	case status.CodeConflict, status.CodeTooLarge, status.CodeProtocol, status.CodeInternal, CodeSharesExceeded:
		return true
	default:
		return false
	}
}

// retry repeats op while its error is transient, up to the configured attempts.
func (a *attempt) retry(ctx context.Context, op func() error) error {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = a.cfg.InitialDelay
	policy.MaxInterval = a.cfg.MaxDelay
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		err := op()
		if err != nil && isPermanent(err) {
			return struct{}{}, backoff.Permanent(err)
		}
		return struct{}{}, err
	}, backoff.WithBackOff(policy), backoff.WithMaxTries(uint(a.cfg.Attempts)))
	return err
}
