package apply

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"peardrift/internal/core/confset"
	"peardrift/internal/core/request"
	"peardrift/internal/port"
	"peardrift/internal/status"
)

// CodeShares: the shares of all tenants would exceed the whole.
const CodeShares status.Code = "shares-exceeded"

// shareSlack absorbs rounding in the sum of shares.
const shareSlack = 1e-9

// Conflict is the failure of an apply whose base is not the accepted version
// any more. It matches status.CodeConflict.
type Conflict struct {
	Tenant  request.Tenant
	Base    int64
	Current int64
}

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("the set of %s is at version %d, not %d: look at what changed and apply again on base %d",
		c.Tenant, c.Current, c.Base, c.Current)
}

// Unwrap returns the typed failure that callers compare with.
func (c *Conflict) Unwrap() error {
	return status.New(status.CodeConflict, "version %d is accepted", c.Current)
}

// Accepted tells of a successful apply.
type Accepted struct {
	Version int64
	Digest  confset.Digest
	// Settled: an earlier apply of the same set on the same base had been
	// accepted already.
	Settled bool
	// Unchanged: the accepted version has the same content, so there is no new one.
	Unchanged bool
}

// attempt is one apply under way.
type attempt struct {
	*Store
	set    confset.Set
	by     string
	base   int64
	body   []byte
	digest confset.Digest
	token  string
}

// Apply submits a whole set that was made from version base (0: the tenant has
// none yet). Its failures:
//
//   - status.CodeInvalidSet: the set is not valid
//   - *Conflict: another version than base is accepted
//   - CodeShares: the shares of all tenants would exceed the whole
//   - status.CodePlatformDown: the platform can't be reached, nothing was accepted
//   - status.CodeOutcomeUnknown: it may have been accepted; asking again with the
//     same set and base settles it
func (s *Store) Apply(ctx context.Context, set confset.Set, base int64, by string) (Accepted, error) {
	if ps := confset.Validate(set); len(ps) > 0 {
		return Accepted{}, status.New(status.CodeInvalidSet, "%s: %s (%d problems in all)",
			ps[0].Field, ps[0].Message, len(ps))
	}
	body, digest, err := confset.Encode(set)
	if err != nil {
		return Accepted{}, err
	}
	a := &attempt{Store: s, set: set, by: by, base: base, body: body, digest: digest, token: s.token()}
	if done, acc, err := a.compare(ctx); done || err != nil {
		return acc, err
	}
	if err := a.putObject(ctx); err != nil {
		return Accepted{}, err
	}
	return a.decide(ctx)
}

// compare looks at the accepted version; done means that there is nothing to
// write.
func (a *attempt) compare(ctx context.Context) (done bool, acc Accepted, err error) {
	current, digest, err := a.current(ctx)
	if err != nil {
		return false, acc, status.Wrap(status.CodeOf(err), err, "the accepted version can't be read; nothing was written")
	}
	if current == a.base {
		acc = Accepted{Version: current, Digest: a.digest, Unchanged: true}
		return digest == a.digest, acc, nil
	}
	if current > a.base {
		r, err := a.Version(ctx, a.set.Tenant, a.base+1)
		if err != nil && !errors.Is(err, port.ErrNotFound) {
			return false, acc, status.Wrap(status.CodeOf(err), err, "the history can't be read; nothing was written")
		}
		if err == nil && r.Digest == a.digest {
			return true, Accepted{Version: r.Version, Digest: r.Digest, Settled: true}, nil
		}
	}
	return false, acc, &Conflict{Tenant: a.set.Tenant, Base: a.base, Current: current}
}

// current returns the accepted version and digest, version 0 if there is none.
func (a *attempt) current(ctx context.Context) (int64, confset.Digest, error) {
	head, err := a.Head(ctx, a.set.Tenant)
	if errors.Is(err, port.ErrNotFound) {
		return 0, confset.Digest{}, nil
	}
	return head.Version, head.Digest, err
}

// putObject writes the set's bytes. Nothing refers to them yet, so whether a
// lost write took effect does not matter: it is made again.
func (a *attempt) putObject(ctx context.Context) error {
	err := a.retry(ctx, func() error {
		return a.objects.Put(ctx, objectName(a.set.Tenant, a.digest), a.body)
	})
	if err != nil {
		return status.Wrap(status.CodePlatformDown, err, "the object store does not take the set; nothing was accepted")
	}
	return nil
}

// decide makes the write that decides until its outcome is known.
func (a *attempt) decide(ctx context.Context) (Accepted, error) {
	inDoubt := false
	err := a.retry(ctx, func() error {
		err := a.write(ctx)
		if errors.Is(err, port.ErrAmbiguous) {
			inDoubt = true
		}
		if err == nil || (!inDoubt && !errors.Is(err, port.ErrConditionFailed)) {
			return err
		}
		return a.settle(ctx, err)
	})
	switch {
	case err == nil:
		return Accepted{Version: a.base + 1, Digest: a.digest}, nil
	case decided(err) || (final(err) && !inDoubt):
		return Accepted{}, err
	case inDoubt:
		return Accepted{}, status.Wrap(status.CodeOutcomeUnknown, err,
			"the set may have been accepted as version %d; ask again with the same set and base %d", a.base+1, a.base)
	default:
		return Accepted{}, status.Wrap(status.CodePlatformDown, err, "nothing was accepted")
	}
}

// write makes the deciding write once.
func (a *attempt) write(ctx context.Context) error {
	puts, err := a.puts(ctx)
	if err != nil {
		return err
	}
	return a.table.PutAll(ctx, puts)
}

func (a *attempt) puts(ctx context.Context) ([]port.Put, error) {
	t, version := a.set.Tenant, a.base+1
	value := record{
		Digest: a.digest.String(), Object: objectName(t, a.digest), Bytes: len(a.body),
		Share: a.set.Share, By: a.by, At: a.now().UTC().Truncate(time.Millisecond),
	}
	head, err := encodeRow(headKey(t), version, a.token, value)
	if err != nil {
		return nil, err
	}
	past, err := encodeRow(historyKey(t, version), 1, a.token, value)
	if err != nil {
		return nil, err
	}
	puts := []port.Put{{Item: head, IfVersion: a.base}, {Item: past}}
	share, err := a.sharePut(ctx)
	if err != nil || share == nil {
		return puts, err
	}
	return append(puts, *share), nil
}

// sharePut checks the tenant's share against the whole and returns the write of
// the ledger, nil if the share does not change. A ledger that changes between
// this read and the write fails the write's condition, so two tenants that
// raise their shares at the same time can't together exceed the whole.
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
	if sum > 1+shareSlack {
		return nil, status.New(CodeShares, "the shares of all %d tenants would be %.4g with %.4g for %s; 1 is the whole",
			len(l.Shares), sum, a.set.Share, a.set.Tenant)
	}
	it, err := encodeRow(sharesKey, version+1, a.token, l)
	if err != nil {
		return nil, err
	}
	return &port.Put{Item: it, IfVersion: version}, nil
}

// settle finds out what became of a write that failed with cause, or of an
// earlier one in doubt: nil if it was accepted, a *Conflict if another one was,
// else cause, for another attempt: the head has not moved, and an earlier write
// may still land.
func (a *attempt) settle(ctx context.Context, cause error) error {
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
	return &Conflict{Tenant: a.set.Tenant, Base: a.base, Current: current}
}

// decided reports whether a failure says for certain that the set was not and
// will not be accepted, even after a write in doubt. Of CodeShares it does: the
// ledger has changed since that write's condition was read, so it can't land.
func decided(err error) bool {
	code := status.CodeOf(err)
	return code == status.CodeConflict || code == CodeShares
}

// final reports whether another attempt can't change a failure.
func final(err error) bool {
	var e *status.Error
	if !errors.As(err, &e) {
		return false
	}
	switch e.Code {
	case status.CodeConflict, status.CodeTooLarge, status.CodeProtocol, status.CodeInternal, CodeShares:
		return true
	default:
		return false
	}
}

// retry repeats op while its failure may pass, within the configured attempts.
func (a *attempt) retry(ctx context.Context, op func() error) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = a.cfg.Pause
	pause.MaxInterval = a.cfg.MaxPause
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		err := op()
		if err != nil && final(err) {
			return struct{}{}, backoff.Permanent(err)
		}
		return struct{}{}, err
	}, backoff.WithBackOff(pause), backoff.WithMaxTries(uint(a.cfg.Attempts)))
	return err
}
