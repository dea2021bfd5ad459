package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"syscall"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"peardrift/internal/adapter/zaplog"
	"peardrift/internal/core/member"
	"peardrift/internal/core/ratelimit"
	"peardrift/internal/port"
	"peardrift/internal/status"
)

const (
	// rowTimeout bounds a table call.
	rowTimeout = time.Second
	// peerRowTimeout bounds a table call made through another node.
	peerRowTimeout = 1500 * time.Millisecond
	// proxyDuration is how long table calls go through another node after the table
	// was unreachable from this one.
	proxyDuration = 5 * time.Second
	// holderProbeInterval is the minimum time between probes for an ended lease holder.
	holderProbeInterval = time.Second
	// holderProbeTimeout bounds a probe.
	holderProbeTimeout = 300 * time.Millisecond
)

const methodRow = limitsName + ".Row"

// limitRowPrefix is the key prefix of the rows that hold the leases of rate limit shards.
const limitRowPrefix = "limits/"

// limitRowKey returns the key of a shard's row.
func limitRowKey(shards, n int) string { return fmt.Sprintf("%s%d/%d", limitRowPrefix, shards, n) }

// RowArgs asks a node to make a table call.
type RowArgs struct {
	Write bool     // execute Put; otherwise read Key
	Put   port.Put // if Write
	Key   string   // if not Write
}

// key returns the key of the row that is read or written.
func (a *RowArgs) key() string {
	if a.Write {
		return a.Put.Item.Key
	}
	return a.Key
}

// RowReply is the reply to RowArgs.
type RowReply struct {
	Item port.Item
	Code status.Code // code of the failure; empty on success
}

// rowClient calls the platform's table, through another node while the table is
// unreachable from this one. Otherwise a lease holder would lose its lease although most
// of the fleet can reach the table.
type rowClient struct {
	table            port.Table
	call             func(ctx context.Context, addr string, in *RowArgs, out *RowReply) error
	peers            func() []string // control addresses of the other nodes
	tableUnreachable func() bool     // a recent call from this node failed
	// markUnreachable makes tableUnreachable report true for a while.
	markUnreachable func()
}

// do makes a table call directly or, if the table is unreachable, through another node.
func (r *rowClient) do(in RowArgs) (port.Item, error) {
	if !r.tableUnreachable() {
		it, err := r.callTable(in)
		if !errors.Is(err, port.ErrUnavailable) && !errors.Is(err, port.ErrAmbiguous) {
			return it, err
		}
		r.markUnreachable()
		if in.Write && errors.Is(err, port.ErrAmbiguous) {
			return it, err // the write may have been applied; a later read tells
		}
	}
	peers := r.peers()
	if len(peers) == 0 {
		return r.callTable(in)
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerRowTimeout)
	defer cancel()
	var out RowReply
	if err := r.call(ctx, peers[rand.IntN(len(peers))], &in, &out); err != nil {
		return port.Item{}, status.Wrap(port.ErrAmbiguous.Code, err, "table call through another node")
	}
	if out.Code != "" {
		return port.Item{}, status.New(out.Code, "table call through another node failed")
	}
	return out.Item, nil
}

func (r *rowClient) callTable(in RowArgs) (port.Item, error) {
	ctx, cancel := context.WithTimeout(context.Background(), rowTimeout)
	defer cancel()
	if in.Write {
		return port.Item{}, r.table.Put(ctx, in.Put)
	}
	return r.table.Get(ctx, in.Key)
}

// serve makes a table call for another node, restricted to the rows of rate limits and
// leaves.
func (r *rowClient) serve(in *RowArgs) RowReply {
	if !strings.HasPrefix(in.key(), limitRowPrefix) && !strings.HasPrefix(in.key(), leaveRowPrefix) {
		return RowReply{Code: status.CodeRowNotServed}
	}
	it, err := r.callTable(*in)
	if err != nil {
		return RowReply{Code: status.CodeOf(err)}
	}
	return RowReply{Item: it}
}

func (l *limiter) newRowClient(table port.Table) *rowClient {
	return &rowClient{
		table: table,
		call: func(ctx context.Context, addr string, in *RowArgs, out *RowReply) error {
			return l.calls.Call(ctx, addr, methodRow, in, out)
		},
		peers: func() []string {
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.otherNodes
		},
		tableUnreachable: func() bool { return l.now() < time.Duration(l.proxyUntil.Load()) },
		markUnreachable:  func() { l.proxyUntil.Store(int64(l.now() + proxyDuration)) },
	}
}

// stepLease makes the next table call that a shard's lease requires.
func (l *limiter) stepLease(s *shard) {
	now := l.now()
	if held := s.lease.Held(now); held != s.loggedHeld {
		s.loggedHeld = held
		l.log.Info("rate limits divided here", zap.Int("shard", s.n), zap.Bool("holds", held))
	}
	if l.retiring {
		return
	}
	do, row, version := s.lease.Next(now)
	switch do {
	case ratelimit.Read:
		l.callRowAsync(s, func() func() { return l.readRow(s) })
	case ratelimit.Write:
		l.callRowAsync(s, func() func() { return l.writeRow(s, row, version) })
	}
}

// callRowAsync makes a table call in the background.
func (l *limiter) callRowAsync(s *shard, f func() func()) {
	err := l.submit(func() {
		done := f()
		l.post(func() {
			l.applyRestores()
			done()
			l.stepLease(s)
		})
	})
	if err != nil {
		s.lease.HandleFailure(l.now())
	}
}

func (l *limiter) readRow(s *shard) func() {
	it, err := l.rows.do(RowArgs{Key: s.key})
	var row ratelimit.Row
	if err == nil {
		err = msgpack.Unmarshal(it.Value, &row)
	} else if errors.Is(err, port.ErrNotFound) {
		it, err = port.Item{}, nil
	}
	return func() {
		if err != nil {
			l.log.Warn("rate limits' row not read", zap.Int("shard", s.n), zaplog.Error(err))
			s.lease.HandleFailure(l.now())
			return
		}
		s.lease.HandleRow(l.now(), row, it.Version)
	}
}

func (l *limiter) writeRow(s *shard, row ratelimit.Row, version int64) func() {
	value, err := msgpack.Marshal(&row)
	if err == nil {
		_, err = l.rows.do(RowArgs{Write: true, Put: port.Put{
			Item:      port.Item{Key: s.key, Version: version + 1, Value: value, Token: fmt.Sprintf("%x-%d", row.Incarnation, row.Count)},
			IfVersion: version,
		}})
	}
	mayHaveApplied := err == nil || !errors.Is(err, port.ErrUnavailable)
	return func() { s.lease.HandleWrite(l.now(), mayHaveApplied) }
}

// probeHolder checks whether the process that holds a shard's lease has ended: a machine
// with no listener at the holder's address refuses the connection at once.
func (l *limiter) probeHolder(s *shard, holder member.Member) {
	now := l.now()
	if now < s.holderProbed+holderProbeInterval {
		return
	}
	s.holderProbed = now
	_ = l.submit(func() {
		c, err := net.DialTimeout("tcp", holder.ControlAddr, holderProbeTimeout)
		if err == nil {
			_ = c.Close()
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			l.post(func() {
				s.lease.HolderGone(l.now(), holder.ID)
				l.stepLease(s)
			})
		}
	})
}

// Row makes a table call for another node.
func (s *limitsService) Row(in *RowArgs, out *RowReply) error {
	*out = s.control.limiter.rows.serve(in)
	return nil
}
