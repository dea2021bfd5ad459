package node

import (
	"peardrift/internal/adapter/rpc"
	"peardrift/internal/claims/sharedrows"
	"peardrift/internal/core/member"
)

func (n *Node) newClaimRows() *sharedrows.Rows {
	n.claimPeers = rpc.NewClaimPeers(rpc.DefaultConfig())
	return sharedrows.New(n.table, n.claimPeers, uint64(n.self.ID), n.pool, sharedrows.DefaultConfig(), n.metrics.Scope())
}

// updateClaimBatchers sets the nodes that may batch claims. A leaving node is excluded
// because it would return the claims sent to it.
func (n *Node) updateClaimBatchers(v *member.View) {
	var ms []sharedrows.Member
	v.All(func(m member.Member) bool {
		if m.Status == member.Alive {
			ms = append(ms, sharedrows.Member{ID: uint64(m.ID), Addr: m.ControlAddr})
		}
		return true
	})
	n.claimPeers.SetNodeCount(len(ms))
	n.rows.SetMembers(ms)
}
