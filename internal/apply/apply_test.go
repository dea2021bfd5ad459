package apply

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
	"peardrift/internal/port"
	"peardrift/internal/port/porttest"
	"peardrift/internal/status"
)

// testStore returns a store with deterministic tokens and a fixed time.
func testStore(table port.Table, objects port.Objects) *Store {
	s := New(table, objects, Config{Attempts: 3, InitialDelay: time.Nanosecond, MaxDelay: time.Nanosecond})
	n := 0
	s.token = func() string { n++; return fmt.Sprintf("token-%d", n) }
	s.now = func() time.Time { return time.Unix(1700000000, 0) }
	return s
}

// testSet returns a valid set; slots distinguishes it from others.
func testSet(t request.Tenant, share float64, slots int) configset.Set {
	return configset.Set{Tenant: t, Share: share, Services: []configset.Service{{
		Name: "feed", Slots: slots, Connections: slots + 1000,
		Classes: []configset.Class{{Name: "read", Path: "/", Deadline: time.Second}},
	}}}
}

func TestApplyAndRead(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table, objects := porttest.NewTable(), porttest.NewObjects()
	s := testStore(table, objects)
	for v := int64(1); v <= 3; v++ {
		acc, err := s.Apply(ctx, testSet("khaosan", 0.5, int(v)), v-1, "ada")
		is.NoErr(err)
		is.Equal(acc.Version, v)
	}
	head, err := s.Head(ctx, "khaosan")
	is.NoErr(err)
	set, err := s.Set(ctx, head)
	is.NoErr(err)
	is.Equal(set.Version, int64(3))
	is.Equal(set.Services[0].Slots, 3)
	history, err := s.History(ctx, "khaosan", 2)
	is.NoErr(err)
	is.Equal(len(history), 2)
	is.Equal(history[1].Version, int64(2))
	is.Equal(history[1].By, "ada")
	tenants, _, err := s.Tenants(ctx)
	is.NoErr(err)
	is.Equal(tenants, []request.Tenant{"khaosan"})

	acc, err := s.Apply(ctx, testSet("khaosan", 0.5, 3), 3, "ada")
	is.NoErr(err)
	is.True(acc.Unchanged && acc.Version == 3) // the same content creates no version
	_, err = s.Apply(ctx, configset.Set{Tenant: "khaosan"}, 3, "ada")
	is.Equal(status.CodeOf(err), status.CodeInvalidSet)
	is.Equal(objects.Len(), 3)
}

// Guards against a silently lost update: two operators apply different sets based on
// version 1, and the later write replaces the earlier one without checking its base.
func TestApplyOnStaleBaseIsAConflict(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := testStore(porttest.NewTable(), porttest.NewObjects())
	_, err := s.Apply(ctx, testSet("khaosan", 0.5, 1), 0, "ada")
	is.NoErr(err)
	_, err = s.Apply(ctx, testSet("khaosan", 0.5, 2), 1, "ada")
	is.NoErr(err)
	_, err = s.Apply(ctx, testSet("khaosan", 0.5, 3), 1, "grace")
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Current, int64(2))
	is.Equal(status.CodeOf(err), status.CodeConflict)
	_, err = s.Apply(ctx, testSet("khaosan", 0.5, 3), 7, "grace")
	is.True(errors.As(err, &conflict)) // a base that was never accepted
	acc, err := s.Apply(ctx, testSet("khaosan", 0.5, 2), 1, "ada")
	is.NoErr(err)
	is.True(acc.AlreadyAccepted) // repeating the accepted apply is no conflict
}

// Guards against reporting failure for an apply that takes effect, or success for one that
// doesn't: the deciding write or its response is lost or delayed, and a lost response is
// taken for a failure, or an unchanged head for proof that the write never takes effect.
func TestLostResponsesAreResolved(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults []porttest.Fault // of the deciding writes, in order
		want   status.Code      // "" for accepted
	}{
		{"response lost", []porttest.Fault{porttest.LostResponse}, ""},
		{"request lost", []porttest.Fault{porttest.LostRequest}, ""},
		{"delayed", []porttest.Fault{porttest.Delayed}, ""},
		{"delayed twice", []porttest.Fault{porttest.Delayed, porttest.Delayed}, ""},
		{"unavailable once", []porttest.Fault{porttest.Unavailable}, ""},
		{"unavailable", []porttest.Fault{porttest.Unavailable, porttest.Unavailable, porttest.Unavailable}, status.CodePlatformDown},
		{"all requests lost", []porttest.Fault{porttest.LostRequest, porttest.LostRequest, porttest.LostRequest}, status.CodeOutcomeUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			table := porttest.NewTable()
			s := testStore(table, porttest.NewObjects())
			faults := tc.faults
			table.SetScript(func(op porttest.Op, _ string) porttest.Fault {
				if op != porttest.OpPutAll || len(faults) == 0 {
					return porttest.None
				}
				f := faults[0]
				faults = faults[1:]
				return f
			})
			acc, err := s.Apply(ctx, testSet("khaosan", 0.5, 1), 0, "ada")
			if tc.want != "" {
				is.Equal(status.CodeOf(err), tc.want)
			} else {
				is.NoErr(err)
				is.Equal(acc.Version, int64(1))
			}
			acc, err = s.Apply(ctx, testSet("khaosan", 0.5, 1), 0, "ada") // repeating the apply resolves all of them
			is.NoErr(err)
			is.Equal(acc.Version, int64(1))
		})
	}
}

// Guards against reporting "nothing was accepted" for a set in force: the write takes
// effect, its response is lost, the platform goes down, and the failure to read the row
// back must not replace the unknown outcome.
func TestOutageAfterLostResponseIsUnknown(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := porttest.NewTable()
	s := testStore(table, porttest.NewObjects())
	down := false
	table.SetScript(func(op porttest.Op, _ string) porttest.Fault {
		if down {
			return porttest.Unavailable
		}
		down = op == porttest.OpPutAll
		if down {
			return porttest.LostResponse
		}
		return porttest.None
	})
	_, err := s.Apply(ctx, testSet("khaosan", 0.5, 1), 0, "ada")
	is.Equal(status.CodeOf(err), status.CodeOutcomeUnknown)
	_, err = s.Apply(ctx, testSet("khaosan", 0.5, 1), 0, "ada")
	is.Equal(status.CodeOf(err), status.CodePlatformDown)
	table.SetScript(nil)
	acc, err := s.Apply(ctx, testSet("khaosan", 0.5, 1), 0, "ada")
	is.NoErr(err)
	is.True(acc.AlreadyAccepted || acc.Unchanged)
}

// Guards against a head that names a missing object, which results from writing the head
// first while the object store is down.
func TestObjectIsWrittenBeforeHead(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table, objects := porttest.NewTable(), porttest.NewObjects()
	s := testStore(table, objects)
	objects.SetScript(func(porttest.Op, string) porttest.Fault { return porttest.Unavailable })
	_, err := s.Apply(ctx, testSet("khaosan", 0.5, 1), 0, "ada")
	is.Equal(status.CodeOf(err), status.CodePlatformDown)
	_, err = s.Head(ctx, "khaosan")
	is.True(errors.Is(err, port.ErrNotFound))
}

func TestSharesMustNotExceedOne(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := porttest.NewTable()
	s := testStore(table, porttest.NewObjects())
	_, err := s.Apply(ctx, testSet("khaosan", 0.6, 1), 0, "ada")
	is.NoErr(err)
	_, err = s.Apply(ctx, testSet("kalahari", 0.5, 1), 0, "grace")
	is.Equal(status.CodeOf(err), CodeSharesExceeded)
	_, err = s.Apply(ctx, testSet("kalahari", 0.4, 1), 0, "grace")
	is.NoErr(err)
	_, err = s.Apply(ctx, testSet("khaosan", 0.5, 1), 1, "ada")
	is.NoErr(err) // a tenant may lower its share
	_, err = s.Apply(ctx, testSet("kalahari", 0.5, 1), 1, "grace")
	is.NoErr(err)
}
