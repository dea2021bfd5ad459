package node

import (
	"peardrift/internal/adapter/rpc"
	"peardrift/internal/claims/shared"
	"peardrift/internal/core/member"
)

func (n *Node) sharedRows() *shared.Rows {
	n.claimPeers = rpc.NewClaimPeers(rpc.DefaultConfig())
	return shared.New(n.table, n.claimPeers, uint64(n.self.ID), n.pool, shared.DefaultConfig(), n.metrics.Scope())
}

// setBatchers takes in who may batch claims. A node that leaves may not: it would
// hand back what it is sent.
func (n *Node) setBatchers(v *member.View) {
	var ms []shared.Member
	v.All(func(m member.Member) bool {
		if m.Status == member.Alive {
			ms = append(ms, shared.Member{ID: uint64(m.ID), Addr: m.Control})
		}
		return true
	})
	n.claimPeers.SetCount(len(ms))
	n.rows.SetMembers(ms)
}
