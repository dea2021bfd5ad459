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
	Known    int // members that it knows, itself included
	Resident int64
}

const (
	// targetServices is the number of services at the target size.
	targetServices = 760
	// perMessage is the number of records in one message.
	perMessage = 50
	// incarnation is that of the members made up here.
	incarnation = 1
	// rest lets the node collect what the messages left behind.
	rest = 20 * time.Second
)

// MeasureMemory starts one node and tells it of more and more members that
// don't exist, as a peer would, over its control listener.
func MeasureMemory(ctx context.Context, cfg Config, members []int) ([]Memory, error) {
	f, err := harness.New(cfg.Bins)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	defer context.AfterFunc(ctx, f.Close)()
	d := chain(1, cfg.Service)
	d.Services = d.Services[Depth-1:] // it calls nobody
	if err := bringUp(ctx, f, d); err != nil {
		return nil, err
	}
	pool := rpc.NewPool(rpc.DefaultConfig(), &rpc.Meter{})
	defer pool.Close()
	var out []Memory
	known := 1
	for _, n := range members {
		if err := tell(ctx, pool, f.Hosts[0].Addr.Control, known, n); err != nil {
			return nil, err
		}
		known = max(known, n)
		time.Sleep(rest)
		st, err := f.Hosts[0].Status()
		if err != nil {
			return nil, err
		}
		sum := 0
		for _, c := range st.Members {
			sum += c
		}
		out = append(out, Memory{Known: sum, Resident: resident(f)[0]})
	}
	return out, nil
}

// tell sends the records of members from..to-1 to a node.
func tell(ctx context.Context, pool *rpc.Pool, addr string, from, to int) error {
	for i := from; i < to; i += perMessage {
		m := &member.Message{Kind: member.Join, From: madeUp(1).ID, Incarnation: incarnation, Partial: true}
		for k := i; k < min(i+perMessage, to); k++ {
			m.Records = append(m.Records, madeUp(k))
		}
		var reply member.Message
		if err := pool.Call(ctx, addr, rpc.GossipName+".Exchange", m, &reply); err != nil {
			return status.Wrap(status.CodeInternal, err, "tell of members")
		}
	}
	return nil
}

// madeUp is the k-th member, on an address of its own where nobody listens.
func madeUp(k int) *member.Record {
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
