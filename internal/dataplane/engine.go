package dataplane

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"peardrift/internal/adapter/hertzhttp"
	"peardrift/internal/core/admission"
	"peardrift/internal/core/configset"
	"peardrift/internal/core/earlyrefusal"
	"peardrift/internal/core/pace"
	"peardrift/internal/core/request"
	"peardrift/internal/core/resend"
	"peardrift/internal/core/retry"
	"peardrift/internal/core/route"
	"peardrift/internal/core/suspect"
	"peardrift/internal/core/targetspeed"
	"peardrift/internal/core/waiting"
	"peardrift/internal/wire"
)

// Transport sends a call to an address and reads the answer's headers, and its body if
// that is short. It never retries a call, ends when ctx does, and reports correctly
// whether anything was sent.
type Transport interface {
	Do(ctx context.Context, addr string, req *protocol.Request, resp *protocol.Response) (hertzhttp.Result, error)
	// Reachable reports whether a new connection to the address can be made.
	Reachable(addr string) bool
}

// Observer receives each hop when it has ended. It is called from traffic goroutines
// and must not block.
type Observer interface {
	Hop(*Hop)
}

// Peer is a target of a service with the address of its node's listener for nodes.
type Peer struct {
	route.Target
	Addr string
}

// View is the snapshot that the control goroutine publishes for traffic. It is
// immutable.
type View struct {
	Gen   uint64 // increases with each view
	Index *configset.Index
	// Peers returns the targets of a service. It is called once per view for each
	// service that the node calls, from traffic goroutines.
	Peers func(request.Service) []Peer
	// Callers returns how many nodes call the service, 0 if unknown.
	Callers func(request.Service) int
	// Ready reports whether the configuration in force and the other nodes are known.
	Ready bool
	// TargetUp reports whether the own target accepts calls. Calls to other targets
	// continue without it.
	TargetUp bool
	// Leaving reports whether the target accepts no new calls.
	Leaving bool
	// Nodes is the number of nodes including this one; 0 if unknown.
	Nodes int
}

// Self identifies the node and the target that it serves.
type Self struct {
	Name    string
	ID      request.TargetID
	Service request.Service
	Tenant  request.Tenant
	Place   route.Locality
	Target  string // address ip:port of the target
	Slots   int    // of the target; 0: taken from the configuration
}

// Config holds the engine's limits and policies.
type Config struct {
	// BufferBytes is the largest request body that is held in memory, so that the call
	// can be retried (default 64 KiB). Larger bodies are streamed and get one attempt.
	BufferBytes int
	// MaxBody limits a request's body in bytes, in addition to its class's own limit
	// (default 1 GiB).
	MaxBody int64
	// UploadTimeout limits the time in which a streamed body must arrive, in addition
	// to the request's deadline (default 5 min).
	UploadTimeout time.Duration
	// AbandonAfter is how long a call from another node that waits for its own
	// connection continues without being probed by that node (default 5 s). It must
	// exceed the time between two probes: conn.Config's MaxRecheckInterval plus two
	// ProbeTimeouts. A lower value frees slots sooner; one that is too low breaks
	// uploads that pause.
	AbandonAfter time.Duration
	// MaxCalls limits the calls in flight on all listeners together (default 4096).
	MaxCalls int
	// AssuredFraction is the fraction of each class's requests, 0 to 1, that is refused as
	// late as the most important ones (default 0). Without it, classes that are less
	// important than the requests that fill an overloaded service get nothing there. A
	// higher value leaves less capacity to more important classes during overload.
	AssuredFraction float64
	// Sampled reports whether a request's spans are recorded; it sets the sampled flag
	// of traceparent (default: none are).
	Sampled func(request.ID) bool
	// Dialect names the headers that callers and targets use (default: the project's
	// own).
	Dialect wire.Dialect
	Retry   retry.Config
	Route   route.Config
	Gate    admission.Config
	Suspect suspect.Config
	Early   earlyrefusal.Config
	// Resend says how often calls that the own target rejects are sent to it again
	// (default: never).
	Resend resend.Config
	// Waiting bounds the root requests that wait for their start (default: none waits,
	// and requests below a known level are refused at once).
	Waiting waiting.Config
	// Pace is for nodes on which requests may wait.
	Pace pace.Config
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		BufferBytes:   64 << 10,
		MaxBody:       1 << 30,
		UploadTimeout: 5 * time.Minute,
		AbandonAfter:  5 * time.Second,
		MaxCalls:      4096,
		Sampled:       func(request.ID) bool { return false },
		Retry:         retry.DefaultConfig(),
		Route:         route.DefaultConfig(),
		Gate:          admission.DefaultConfig(),
		Early:         earlyrefusal.DefaultConfig(),
		Suspect:       suspect.DefaultConfig(),
		Resend:        resend.DefaultConfig(),
		Waiting:       waiting.DefaultConfig(),
		Pace:          pace.DefaultConfig(),
	}
}

// Engine carries the calls of one node. Safe for concurrent use.
type Engine struct {
	cfg       Config
	self      Self
	peers     Transport // to other nodes
	crossZone Transport // to nodes of other zones
	local     Transport // to the own target
	again     Transport // to the own target, for further sends of a call
	claims    Claims
	obs       Observer
	epoch     time.Time

	view            atomic.Pointer[View]
	gate            *gate
	levels          *levels
	entryQueue      *entryQueue // nil: no request waits for its start
	suspects        *suspects
	tenants         tenantIndexes
	running         *registry
	nodeCalls       *nodeCalls
	callerRetries   *callerRetries
	resends         *resends
	calls           atomic.Int64
	retiring        atomic.Bool // the node is going to stop
	refusing        atomic.Bool // new requests of callers are refused
	configStale     atomic.Bool // other nodes may have a newer configuration in force
	routeTurns      roundRobin
	limiter         Limiter                     // nil: no rate limits
	targetState     atomic.Pointer[TargetState] // of the target; nil if targets don't announce themselves
	onShed          func()
	onOtherInstance func(instance string) // called when an unexpected instance answers
	onNotice        func(instance string, n wire.Notice)
	onFigureTrust   func(targetspeed.Change, targetspeed.Stats)
	speed           *targetSpeed
	notice          atomic.Pointer[targetNotice] // last notice of the own target

	mu      sync.Mutex
	callees map[request.Service]*callee
}

// New returns an engine without a view: it refuses all calls until Publish.
func New(cfg Config, self Self, peers, local Transport, cl Claims, obs Observer) *Engine {
	e := &Engine{
		cfg:             cfg,
		self:            self,
		peers:           peers,
		crossZone:       peers,
		local:           local,
		again:           local,
		claims:          cl,
		obs:             obs,
		onShed:          func() {},
		onOtherInstance: func(string) {},
		onNotice:        func(string, wire.Notice) {},
		onFigureTrust:   func(targetspeed.Change, targetspeed.Stats) {},
		epoch:           time.Now(),
		running:         newRegistry(),
		callees:         make(map[request.Service]*callee),
	}
	e.view.Store(&View{})
	e.nodeCalls = &nodeCalls{now: e.now, calls: make(map[SpanID]*nodeCall)}
	e.suspects = newSuspects(cfg.Suspect, self.ID, e.now, func() bool { return local.Reachable(self.Target) })
	e.levels = newLevels(&e.cfg.Early, e.now)
	e.entryQueue = newPacedQueue(&e.cfg, e.levels)
	e.callerRetries = newCallerRetries(cfg.Retry, e.now)
	e.resends = newResends(cfg.Resend, e.now)
	e.speed = newTargetSpeed(e.now)
	e.gate = newGate(cfg.Gate, newRand(), e.now)
	return e
}

// SetCrossZoneTransport sets the transport for calls to nodes of other zones, if it
// differs. Call it before traffic begins.
func (e *Engine) SetCrossZoneTransport(t Transport) { e.crossZone = t }

// SetResendTransport sets the transport for further sends of a call to the own target. It
// must not reuse connections: a duplicate of the answer to the send before would be taken
// for that to the next one, and the call could run twice. Call it before traffic begins.
func (e *Engine) SetResendTransport(t Transport) { e.again = t }

// transportTo returns the transport for calls to nodes of a zone.
func (e *Engine) transportTo(zone string) Transport {
	if zone == e.self.Place.Zone {
		return e.peers
	}
	return e.crossZone
}

// Publish puts a view into force for calls that begin from now on.
func (e *Engine) Publish(v *View) {
	old := e.view.Swap(v)
	if e.entryQueue != nil {
		e.entryQueue.setIndex(v.Index)
	}
	if v.TargetUp && !old.TargetUp {
		e.suspects.targetUp()
	}
	if info, ok := v.Index.Service(e.self.Service); ok {
		e.gate.setShares(e.tenants.weights(v.Index))
		if e.targetState.Load() == nil { // otherwise the target announces its slots
			e.gate.setSlots(cmp.Or(e.self.Slots, info.Slots))
		}
	}
	if v.Leaving {
		e.gate.drain()
	}
}

// BeginStop records that the node is going to stop: calls in flight are left to end by
// themselves. Requests that wait for their start are refused, so that their callers have
// the time to use other nodes.
func (e *Engine) BeginStop() {
	e.retiring.Store(true)
	if e.entryQueue != nil {
		e.entryQueue.drain()
	}
}

// SetConfigStale sets whether other nodes may have a newer configuration in force. While it
// is set, an unknown API key gets a retryable refusal instead of a final one.
func (e *Engine) SetConfigStale(behind bool) { e.configStale.Store(behind) }

// RefuseCallers makes the node refuse new requests of callers and close their
// connections, so that they use other nodes. The gate refuses calls of other nodes once
// the view says that the target is leaving; running requests continue, with all the calls
// that they make.
func (e *Engine) RefuseCallers() { e.refusing.Store(true) }

// Close stops the engine's timers; all calls must have ended.
func (e *Engine) Close() {
	e.gate.close()
	if e.entryQueue != nil {
		e.entryQueue.close()
	}
}

// GateStats returns a snapshot of the admission gate.
func (e *Engine) GateStats() admission.Stats { return e.gate.stats() }

// InFlight returns the number of calls in flight on all listeners.
func (e *Engine) InFlight() int { return int(e.calls.Load()) }

func (e *Engine) now() time.Duration { return time.Since(e.epoch) }

// retryDelay returns the advised delay for a call refused for a reason other than
// capacity. It is jittered, so that calls refused together don't return together.
func retryDelay() time.Duration {
	return minRetryDelay + time.Duration(rand.Int64N(int64(minRetryDelay)))
}

const minRetryDelay = time.Second

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// tenantIndexes maps tenants to the small indexes that the gate uses.
type tenantIndexes struct {
	mu    sync.Mutex
	index map[request.Tenant]uint16
}

func (t *tenantIndexes) get(name request.Tenant) uint16 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.getLocked(name)
}

func (t *tenantIndexes) getLocked(name request.Tenant) uint16 {
	if t.index == nil {
		t.index = make(map[request.Tenant]uint16)
	}
	i, ok := t.index[name]
	if !ok {
		i = uint16(len(t.index))
		t.index[name] = i
	}
	return i
}

// weights returns the tenants' shares by index.
func (t *tenantIndexes) weights(idx *configset.Index) []float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range idx.Tenants() {
		t.getLocked(name)
	}
	w := make([]float64, len(t.index))
	for name, i := range t.index {
		w[i] = idx.Share(name)
	}
	return w
}
