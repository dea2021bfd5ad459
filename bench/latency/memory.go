package latency

import (
	"context"
	"fmt"
	"time"

	"peardrift/bench/harness"
	"peardrift/internal/adapter/rpc"
	"peardrift/internal/core/member"
	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// Memory is the resident memory of one node process.
type Memory struct {
	Known    int // members that the node knows, including itself
	Resident int64
}

const (
	// targetServices is the number of services of a fleet at the size the project aims for.
	targetServices = 760
	// recordsPerMessage is the number of records in one message.
	recordsPerMessage = 50
	// incarnation is the incarnation of the synthetic members.
	incarnation = 1
	// gcTime lets the node garbage-collect the memory of the messages.
	gcTime = 20 * time.Second
)

// MeasureMemory starts one node, sends it a growing number of synthetic members over its
// control listener, as a peer does, and measures its memory at each number in members.
func MeasureMemory(ctx context.Context, cfg Config, members []int) ([]Memory, error) {
	f, err := harness.New(cfg.Bins)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	defer context.AfterFunc(ctx, f.Close)()
	d := chain(1, cfg.ServiceTime)
	d.Services = d.Services[ChainDepth-1:] // the last service makes no calls
	if err := startHosts(ctx, f, d); err != nil {
		return nil, err
	}
	pool := rpc.NewPool(rpc.DefaultConfig(), &rpc.Meter{})
	defer pool.Close()
	var out []Memory
	known := 1
	for _, n := range members {
		if err := sendMembers(ctx, pool, f.Hosts[0].Addr.Control, known, n); err != nil {
			return nil, err
		}
		known = max(known, n)
		time.Sleep(gcTime)
		st, err := f.Hosts[0].Status()
		if err != nil {
			return nil, err
		}
		sum := 0
		for _, c := range st.Members {
			sum += c
		}
		out = append(out, Memory{Known: sum, Resident: residentMemory(f)[0]})
	}
	return out, nil
}

// sendMembers sends a node the records of the synthetic members k with from <= k < to.
func sendMembers(ctx context.Context, pool *rpc.Pool, addr string, from, to int) error {
	for i := from; i < to; i += recordsPerMessage {
		m := &member.Message{Kind: member.Join, From: syntheticMember(1).ID, Incarnation: incarnation, Partial: true}
		for k := i; k < min(i+recordsPerMessage, to); k++ {
			m.Records = append(m.Records, syntheticMember(k))
		}
		var reply member.Message
		if err := pool.Call(ctx, addr, rpc.GossipName+".Exchange", m, &reply); err != nil {
			return status.Wrap(status.CodeInternal, err, "send member records")
		}
	}
	return nil
}

// syntheticMember returns the k-th synthetic member, with a unique address where nothing
// listens.
func syntheticMember(k int) *member.Record {
	name := fmt.Sprintf("tenant%d-service%03d-%05d", k%2, k%targetServices, k)
	host := fmt.Sprintf("127.%d.%d.%d", 1+k>>16, k>>8&0xff, k&0xff)
	return &member.Record{
		ID: request.TargetIDOf(name), Name: name,
		Service: request.Service(fmt.Sprintf("service%03d.tenant%d", k%targetServices, k%2)),
		Tenant:  request.Tenant(fmt.Sprintf("tenant%d", k%2)),
		Zone:    fmt.Sprintf("zone-%d", k%9), Region: fmt.Sprintf("region-%d", k%3),
		DataAddr: host + ":7401", ControlAddr: host + ":7403", Incarnation: incarnation, Slots: 100, Connections: 800,
	}
}
