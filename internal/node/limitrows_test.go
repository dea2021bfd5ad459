package node

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"peardrift/internal/port"
	"peardrift/internal/status"
)

// stubTable counts its calls and answers all of them with err.
type stubTable struct {
	err   error
	calls int
}

func (s *stubTable) Get(context.Context, string) (port.Item, error) {
	s.calls++
	return port.Item{Version: 7}, s.err
}

func (s *stubTable) Put(context.Context, port.Put) error {
	s.calls++
	return s.err
}

func (s *stubTable) PutAll(context.Context, []port.Put) error {
	s.calls++
	return s.err
}

// rowClientVia returns a client with table local and one other node with table remote.
func rowClientVia(local, remote *stubTable) *rowClient {
	unreachable := false
	other := &rowClient{table: remote}
	return &rowClient{
		table: local,
		call: func(_ context.Context, _ string, in *RowArgs, out *RowReply) error {
			*out = other.serve(in)
			return nil
		},
		peers:            func() []string { return []string{"other"} },
		tableUnreachable: func() bool { return unreachable },
		markUnreachable:  func() { unreachable = true },
	}
}

// Guards against losing a lease because only its holder can't reach the table.
func TestRowIsReadThroughAnotherNodeWhenTableIsUnreachable(t *testing.T) {
	is := is.New(t)
	local, remote := &stubTable{err: port.ErrUnavailable}, &stubTable{}
	r := rowClientVia(local, remote)
	for range 2 {
		it, err := r.do(RowArgs{Key: limitRowKey(8, 3)})
		is.NoErr(err)
		is.Equal(it.Version, int64(7))
	}
	is.Equal(local.calls, 1) // the second call goes straight to the other node
	is.Equal(remote.calls, 2)
}

// Guards against applying a write twice: an ambiguous one may already have taken effect.
func TestAmbiguousRowWriteIsNotRetried(t *testing.T) {
	is := is.New(t)
	local, remote := &stubTable{err: port.ErrAmbiguous}, &stubTable{}
	_, err := rowClientVia(local, remote).do(RowArgs{Write: true, Put: port.Put{Item: port.Item{Key: limitRowKey(8, 3)}}})
	is.True(errors.Is(err, port.ErrAmbiguous))
	is.Equal(remote.calls, 0)
}

// Guards against a node that reads or writes arbitrary table rows for another node.
func TestOnlyRateLimitRowsAreServed(t *testing.T) {
	is := is.New(t)
	table := &stubTable{}
	r := &rowClient{table: table}
	for _, in := range []RowArgs{
		{Key: "claims/1"},
		{Write: true, Put: port.Put{Item: port.Item{Key: "claims/1"}}},
		{Write: true, Key: limitRowKey(8, 3), Put: port.Put{Item: port.Item{Key: "claims/1"}}},
	} {
		is.Equal(r.serve(&in).Code, status.CodeRowNotServed)
	}
	is.Equal(table.calls, 0)
	is.Equal(r.serve(&RowArgs{Key: limitRowKey(8, 3)}).Code, status.Code(""))
}
