package ratelimit

import (
	"time"

	"peardrift/internal/core/request"
)

// GrantRequest is sent by a node to the lease holder of a shard.
type GrantRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 read by the codec

	Shard       int
	Shards      int // number of shards in the asking node's configuration
	Node        request.TargetID
	Incarnation uint64 // changes with each start of the node
	Seq         uint64 // increases with each request of one Incarnation
	// Starting: the node has just started, so an earlier process of it has ended.
	Starting bool
	// Leaving: the node returns everything it holds.
	Leaving bool
	Needs   []Need
}

// Need is the entry of one organisation in a GrantRequest: the demand and what the node
// holds.
type Need struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 read by the codec

	Organisation request.Organisation
	Demand       float32       // requests per second; 0: the node gives up its grant
	Returned     float32       // tokens that it returns with that
	Waiting      bool          // a request is waiting for a token
	Held         Part          // current holding; zero if none
	Remaining    time.Duration // remaining validity of Held
}

// Part is a part of an organisation's limit.
type Part struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 read by the codec

	Rate     float32 // tokens per second
	Capacity float32 // maximum tokens in the bucket
	Tokens   float32 // current tokens in the bucket
}

// GrantReply answers a GrantRequest.
type GrantReply struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 read by the codec

	// Divides: the node holds the shard's lease. Otherwise Holder may name the node
	// that does.
	Divides bool
	Holder  request.TargetID
	Grants  []Grant
}

// Grant is a part that the asking node may use instead of what it held, valid for a
// time that starts with its request.
type Grant struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 read by the codec

	Organisation request.Organisation
	LimitRate    float64 // the rate limit that it is a part of
	Part         Part    // Tokens are added to the bucket's
	Validity     time.Duration
	// RetryAfter is the time until more tokens may be available; 0 means now.
	RetryAfter time.Duration
}

// Shards returns the number of shards for the limits of n organisations. It changes
// only when n doubles, because all nodes must agree on it and holdings must then be
// reported to other lease holders.
func Shards(n int) int {
	shards := minShards
	for shards < maxShards && n > shards*organisationsPerShard {
		shards *= 2
	}
	return shards
}

const (
	organisationsPerShard = 64
	minShards             = 2
	maxShards             = 64
)

// ShardOf returns the shard of an organisation.
func ShardOf(o request.Organisation, shards int) int {
	return int(uint64(request.TargetIDOf(string(o))) % uint64(shards))
}

// perSecond returns the rate of n events in a time span.
func perSecond(n float64, d time.Duration) float64 { return n / max(d.Seconds(), minSpan.Seconds()) }

// minSpan is the minimum time over which a rate is measured.
const minSpan = 50 * time.Millisecond

// MaxDemand is the highest plausible demand, in requests per second.
const MaxDemand = 1e9

func (p *Part) valid() bool {
	for _, v := range [...]float32{p.Rate, p.Capacity, p.Tokens} {
		if !(v >= 0 && float64(v) < MaxDemand) {
			return false
		}
	}
	return true
}
