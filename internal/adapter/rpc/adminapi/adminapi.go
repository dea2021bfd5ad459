// Package adminapi defines the messages that the operators' tool exchanges with
// a node's control address, over net/rpc with the codec of package rpc. Fields
// may be added but not renamed: the tool and the nodes may differ in version.
package adminapi

import "peardrift/internal/core/request"

// Methods of the service that a node registers as "Admin".
const (
	// MethodHead notifies a node that a version of a tenant's set was accepted
	// (HeadArgs, HeadReply). It is a hint: the node reads the head itself to
	// verify it, so a wrong or malicious hint costs one read.
	MethodHead = "Admin.Head"
	// MethodStatus returns a node's status (StatusArgs, StatusReply).
	MethodStatus = "Admin.Status"
)

// HeadArgs names an accepted version.
type HeadArgs struct {
	Tenant  request.Tenant
	Version int64
}

// HeadReply returns the version that the node currently has in force.
type HeadReply struct {
	InForce int64
}

// StatusArgs asks for a node's status.
type StatusArgs struct{}

// StatusReply is a node's status.
type StatusReply struct {
	Node    string
	Service request.Service
	Region  string
	Zone    string
	Ready   bool
	Leaving bool
	Members int // live members, this node included
	Tenants []TenantStatus

	Build    string   // version of the node's program
	NotReady []string // reasons why the node is not ready
	Gate     GateStatus
}

// GateStatus is the state of admission control in front of the node's target.
type GateStatus struct {
	Limit   int     // concurrency limit
	Running int     // requests in flight
	Queued  int     // requests waiting in the queue
	Demand  float64 // recent demand in slots
	Level   float64 // requests of lower importance are refused; 0: none are
}

// TenantStatus is a node's view of one tenant's configuration.
type TenantStatus struct {
	Tenant  request.Tenant
	InForce int64 // version applied to traffic, 0 if none
	Known   int64 // highest version known to the node
}
