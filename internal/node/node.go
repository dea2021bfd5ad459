package node

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"peardrift/internal/adapter/awsobject"
	"peardrift/internal/adapter/awstable"
	"peardrift/internal/adapter/awstable/awscall"
	"peardrift/internal/adapter/hertzhttp"
	"peardrift/internal/adapter/oteltrace"
	"peardrift/internal/adapter/rpc"
	"peardrift/internal/adapter/tallymetrics"
	"peardrift/internal/adapter/zaplog"
	"peardrift/internal/apply"
	"peardrift/internal/claims"
	"peardrift/internal/claims/sharedrows"
	"peardrift/internal/core/configsync"
	"peardrift/internal/core/lifetime"
	"peardrift/internal/core/member"
	"peardrift/internal/core/request"
	"peardrift/internal/core/route"
	"peardrift/internal/dataplane"
	"peardrift/internal/port"
	"peardrift/internal/settings"
	"peardrift/internal/status"
)

// Node is one peardriftd process.
type Node struct {
	settings        settings.Settings
	log             *zap.Logger
	closeLog        func() error
	metrics         *tallymetrics.Metrics
	tracer          *oteltrace.Tracer
	self            dataplane.Self
	pool            *ants.Pool
	integration     *Integration // nil: the project's default interfaces
	table           Table
	objects         *awsobject.Store
	sets            port.Sets
	peers           *hertzhttp.Client // to nodes in the own zone
	crossZone       *hertzhttp.Client // to nodes in other zones
	local           *hertzhttp.Client
	resends         *hertzhttp.Client // to the own target, for further sends of a call
	rows            *sharedrows.Rows
	claimPeers      *rpc.ClaimPeers
	claims          *claims.Runner
	engine          *dataplane.Engine
	health          *healthChecker // checks the own target; set by Run
	control         *control
	calls           *rpc.Pool
	server          *rpc.Server
	controlListener net.Listener // the control server's listener
	servers         httpServers
	conns           connectionCounts // belongs to the control goroutine once that runs
	wg              sync.WaitGroup
}

// httpServers holds the HTTP servers, one per listener; unused ones are nil.
type httpServers struct {
	callers, nodes, target, ops, reports, ready *hertzhttp.Server
}

// New binds the listeners and builds the node without announcing it. Its errors carry
// a status code: the settings are unusable, or an address is in use. out is nil if the
// node uses the project's default interfaces.
func New(cfg settings.Settings, integration *Integration) (*Node, error) {
	log, closeLog, err := zaplog.New(cfg.Logs)
	if err != nil {
		return nil, err
	}
	n := &Node{settings: cfg, log: log, closeLog: closeLog, integration: integration}
	n.self = newSelf(cfg)
	n.metrics = tallymetrics.New(cfg.Metrics, n.logFailures("metrics"))
	if n.pool, err = newPool(); err != nil {
		n.closeObservers()
		return nil, err
	}
	if n.tracer, err = oteltrace.New(cfg.Traces, cfg.Node, n.metrics.Scope(), n.logFailures("traces")); err != nil {
		n.pool.Release()
		n.closeObservers()
		return nil, err
	}
	n.connectPlatform()
	n.buildTraffic()
	if err := n.listen(); err != nil {
		n.close()
		return nil, err
	}
	n.buildControl()
	return n, nil
}

// logFailures returns a function that logs failures of a component that handles no
// requests.
func (n *Node) logFailures(part string) func(error) {
	return func(err error) { n.log.Warn(part, zaplog.Error(err)) }
}

// poolSize is the maximum number of concurrent tasks that block on remote calls.
const poolSize = 512

func newPool() (*ants.Pool, error) {
	p, err := ants.NewPool(poolSize, ants.WithNonblocking(true))
	if err != nil {
		return nil, status.Wrap(status.CodeInternal, err, "create the background pool")
	}
	return p, nil
}

func newSelf(cfg settings.Settings) dataplane.Self {
	id := request.TargetIDOf(cfg.Node.Name)
	service := request.Service(cfg.Target.Service)
	return dataplane.Self{
		Name:    cfg.Node.Name,
		ID:      id,
		Service: service,
		Tenant:  service.Tenant(),
		Place:   route.Locality{Caller: uint64(id), Region: cfg.Node.Region, Zone: cfg.Node.Zone},
		Target:  cfg.Target.Address,
		Slots:   cfg.Target.Slots,
	}
}

func (n *Node) connectPlatform() {
	if n.integration != nil {
		n.table, n.sets = n.integration.Table, n.integration.Sets
		return
	}
	p := n.settings.Platform
	cfg := awscall.DefaultConfig()
	cfg.AccessKey, cfg.SecretKey, cfg.Timeout = string(p.AccessKey), string(p.SecretKey), p.Timeout
	cfg.Endpoint, cfg.Region = p.Table.Endpoint, p.Table.Region
	table := awstable.New(cfg, p.Table.Name)
	cfg.Endpoint, cfg.Region = p.Objects.Endpoint, p.Objects.Region
	n.objects = awsobject.New(cfg, p.Objects.Bucket)
	n.table, n.sets = table, acceptedSets{apply.New(table, n.objects, apply.DefaultConfig())}
}

func (n *Node) buildTraffic() {
	cc := hertzhttp.DefaultClientConfig()
	cc.DialTimeout = n.settings.Traffic.ConnectTimeout
	cc.BufferBytes = n.settings.Traffic.BufferBytes
	cfg := trafficConfig(n.settings, n.integration)
	lc := cc
	if n.integration != nil {
		lc.IdleTimeout, lc.UsePeerIdleTimeout = targetIdleTimeout, true
		lc.AllowUnframed = true
		lc.MatchResponse = dataplane.CheckAnswer(cfg.Dialect)
	}
	n.local = hertzhttp.NewClient(lc)
	lc.MaxIdle = 0 // each further send of a call has its own connection
	n.resends = hertzhttp.NewClient(lc)
	cc.Prober = dataplane.Prober{}
	n.peers = hertzhttp.NewClient(cc)
	// Bytes within a zone are free, and packing takes processor time: 16 us for a call
	// and its answer, 60 us on a busy machine. Only calls to other zones are packed.
	cc.CompressHeaders = true
	n.crossZone = hertzhttp.NewClient(cc)
	n.rows = n.newClaimRows()
	n.claims = claims.New(n.rows, n.pool, claims.DefaultConfig(), n.log, n.metrics.Scope())
	cfg.Sampled = n.tracer.Sampled
	obs := &observer{metrics: n.metrics, tracer: n.tracer, log: n.log}
	n.engine = dataplane.New(cfg, n.self, n.peers, n.local, n.claims, obs)
	n.engine.SetCrossZoneTransport(n.crossZone)
	n.engine.SetResendTransport(n.resends)
}

// trafficConfig returns the engine's configuration. Requests wait at their entry where the
// settings ask for it and a memory limit bounds what they take. integration is nil if the
// node uses the project's default interfaces.
func trafficConfig(s settings.Settings, integration *Integration) dataplane.Config {
	cfg := dataplane.DefaultConfig()
	cfg.Dialect.NotExecuted = s.Target.NotExecutedHeader
	cfg.Resend.Ratio, cfg.Resend.Window = s.Traffic.ResendRatio, s.Traffic.ResendWindow
	if integration != nil {
		cfg = dataplane.IntegratedConfig()
		cfg.Dialect = integration.Dialect
		cfg.Retry.FleetBudget, cfg.Retry.FleetWindow = integration.RetryBudget, integration.RetryWindow
		cfg.Resend.Ratio, cfg.Resend.Window = integration.ResendRatio, integration.RetryWindow
	}
	cfg.BufferBytes, cfg.MaxCalls = s.Traffic.BufferBytes, s.Traffic.MaxCalls
	cfg.MaxBody, cfg.UploadTimeout = s.Traffic.MaxBodyBytes, s.Traffic.UploadTimeout
	if s.Traffic.Waiting {
		cfg.EnableWaiting(s.Limits.MemoryBytes)
	}
	return cfg
}

// configsyncConfig returns the configuration of the configsync core. Where the platform
// can be watched for new sets, polling is off.
func (n *Node) configsyncConfig() configsync.Config {
	cfg := configsync.DefaultConfig()
	if n.integration != nil {
		cfg.Pollers = 0
	}
	return cfg
}

// memberConfig returns the configuration of the membership. On a platform that replaces
// and restarts many nodes, a starting node has callers at once, so it retries joining
// more often.
func (n *Node) memberConfig() member.Config {
	cfg := member.DefaultConfig()
	if n.integration != nil {
		cfg.JoinRetryInterval, cfg.ExchangeTimeout = joinRetryInterval, exchangeTimeout
	}
	return cfg
}

const (
	// joinRetryInterval is the time between attempts to join.
	joinRetryInterval = 150 * time.Millisecond
	// exchangeTimeout bounds one exchange: many times the round trip, also between
	// regions.
	exchangeTimeout = 700 * time.Millisecond
)

// targetIdleTimeout is how long an idle connection is kept to a target that doesn't state
// its own keep-alive timeout.
const targetIdleTimeout = 4 * time.Second

// incarnationEpoch is the time from which incarnations count, in seconds.
var incarnationEpoch = time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)

func (n *Node) buildControl() {
	meter := &rpc.Meter{}
	rcfg := rpc.DefaultConfig()
	n.calls = rpc.NewPool(rcfg, meter)
	n.server = rpc.NewServer(rcfg, meter)
	c := &control{
		log: n.log, self: n.self, node: n, engine: n.engine, epoch: time.Now(), meter: meter,
		events: make(chan func(), eventQueueLength), done: make(chan struct{}),
		targetLifetime: lifetime.New(), targetUp: n.integration != nil,
		recall: recall{retry: make(chan struct{}, 1), incarnation: n.record().Incarnation},
	}
	c.state = member.New(n.memberConfig(), n.record(), rand.New(rand.NewPCG(rand.Uint64(), uint64(n.self.ID))))
	c.executor = rpc.NewActionExecutor(n.calls, n.pool.Submit, func(f func(*member.State, time.Duration)) {
		c.post(func() {
			f(c.state, c.now())
			c.resumeTarget()
			if n.recallsLeaves() {
				c.publishOnceReady() // the join may have been hastened
			}
		})
	})
	rec := n.record()
	self := configsync.Peer{ID: rec.ID, Region: rec.Region, Addr: rec.ControlAddr}
	c.config = &configManager{
		log: n.log, store: n.sets, calls: n.calls,
		submit: n.pool.Submit, post: c.post, now: sinceNow(),
		state:       configsync.New(n.configsyncConfig(), self, rand.New(rand.NewPCG(rand.Uint64(), uint64(rec.ID))), 0),
		gossip:      func(f member.Fact) { c.state.PutFact(c.now(), f) },
		onInstall:   c.handleInstall,
		pendingAsks: make(map[uint64]chan configsync.Reply),
		readLevel:   zapcore.DebugLevel,
	}
	if n.integration != nil {
		c.config.readLevel = zapcore.InfoLevel
	}
	c.config.watch = n.newWatcher(c, meter)
	c.config.state.SetBudget(c.state.Budget())
	c.state.SetPiggybackHandler(heartbeatPiggyback{c.config})
	c.limiter = n.newLimiter(c)
	c.leaves = &leaveRecorder{
		log: n.log, node: n.self.Name, callRow: c.limiter.rows.do, submit: n.pool.Submit, notify: n.notifyOfLeaves,
		done: c.done, recordings: make(map[leaveKey]*recording),
	}
	if n.recallsLeaves() {
		c.targetLifetime.Suspend()
	}
	n.control = c
}

// recallsLeaves reports whether an earlier process of this node may have acknowledged a
// leave of a target that still serves.
func (n *Node) recallsLeaves() bool { return n.integration != nil && !n.integration.Bootstrap }

// record returns the membership record that the node announces for its target.
func (n *Node) record() member.Record {
	return member.Record{
		ID: n.self.ID, Name: n.self.Name, Service: n.self.Service, Tenant: n.self.Tenant,
		Zone: n.self.Place.Zone, Region: n.self.Place.Region,
		DataAddr:    firstNonEmpty(n.settings.Advertise.Data, n.servers.nodes.Addr()),
		ControlAddr: firstNonEmpty(n.settings.Advertise.Control, n.controlListener.Addr().String()),
		Incarnation: uint32(time.Since(incarnationEpoch) / time.Second),
		Slots:       uint32(n.settings.Target.Slots),
	}
}

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}
