// Package adminapi holds the messages between the operators' tool and a node's
// control address, over net/rpc with the codec of package rpc. Fields are added,
// never renamed: tool and nodes may be of different versions.
package adminapi

import "peardrift/internal/core/request"

// Methods of the service that a node registers as "Admin".
const (
	// MethodHead tells a node that a version of a tenant's set was accepted
	// (HeadArgs, HeadReply). It is a hint: the node reads the head itself before
	// it believes it, so a wrong or hostile hint costs one read.
	MethodHead = "Admin.Head"
	// MethodStatus asks a node how it is (StatusArgs, StatusReply).
	MethodStatus = "Admin.Status"
)

// HeadArgs names an accepted version.
type HeadArgs struct {
	Tenant  request.Tenant
	Version int64
}

// HeadReply tells which version the node has in force at the moment.
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
	Members int // known to be alive, this node included
	Tenants []TenantStatus

	Build    string   // version of the node's program
	NotReady []string // what keeps the node from being ready
	Gate     GateStatus
}

// GateStatus is how the gate before the node's target stands.
type GateStatus struct {
	Limit   int     // requests that may run at once
	Running int     // requests that run
	Queued  int     // requests that wait
	Demand  float64 // recent demand in slots
	Level   float64 // what is less important than this is refused; 0: nothing is
}

// TenantStatus is what a node knows of one tenant's configuration.
type TenantStatus struct {
	Tenant  request.Tenant
	InForce int64 // version that traffic is judged by, 0 if none
	Known   int64 // highest version that the node has heard of
}
