// Package gateway runs a host that accepts callers' requests on the users'
// platform: it follows the topics of the store, serves callers, and drains before a
// planned stop.
package gateway

import (
	"context"
	"crypto/rand"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/gin-gonic/gin"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"github.com/godwitspread/godwitspread/internal/budget"
	"github.com/godwitspread/godwitspread/internal/capacity"
	"github.com/godwitspread/godwitspread/internal/front"
	"github.com/godwitspread/godwitspread/internal/history"
	"github.com/godwitspread/godwitspread/internal/hostclock"
	"github.com/godwitspread/godwitspread/internal/membership"
	"github.com/godwitspread/godwitspread/internal/memory"
	"github.com/godwitspread/godwitspread/internal/mesh"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/origin"
	"github.com/godwitspread/godwitspread/internal/outbound"
	"github.com/godwitspread/godwitspread/internal/peer"
	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/quota"
	"github.com/godwitspread/godwitspread/internal/region"
	"github.com/godwitspread/godwitspread/internal/route"
	"github.com/godwitspread/godwitspread/internal/store"
	"github.com/godwitspread/godwitspread/internal/worker"
	"github.com/godwitspread/godwitspread/platform"
)

const (
	hostEntriesWait       = 10 * time.Second        // long poll of the entries of hosts
	hostEntriesInterval   = 500 * time.Millisecond  // between reads of them; many hosts start at once
	targetReadsPerDrain   = 6                       // reads of the target entries within the time to stop using a draining target
	minTargetReadInterval = 300 * time.Millisecond  // shortest interval between reads of the target entries
	balancerLag           = 2500 * time.Millisecond // the load balancer removes a host after two failed health checks, one second apart
	acceptShare           = 3. / 8                  // of the grace period, in which a stopping host accepts requests; longer than balancerLag
	stopMargin            = time.Second             // part of the grace period reserved for the exit of the process
	endMargin             = 300 * time.Millisecond  // before that, in which requests that have not ended get a response
)

// Gateway is a host that accepts callers' requests.
type Gateway struct {
	settings         platform.Settings
	clock            clockwork.Clock
	logger           log.Interface
	metrics          *metric.Metrics
	memory           *memory.Budget
	store            *store.Failover
	directStore      *platform.Store
	writer           *store.Writer
	expirer          *store.Expirer
	limiter          *quota.Limiter
	allocator        *budget.Allocator
	reserver         *budget.Reserver
	histories        *history.Histories
	mesh             *mesh.Mesh
	transport        *peer.Transport
	registry         *placement.Registry
	pool             *outbound.Pool
	crashTracker     *placement.CrashTracker
	targetLimits     *capacity.Board
	targetLimiter    *capacity.Limiter
	origins          *origin.Resolver
	entries          *store.Follower // of the targets' entries
	configuration    *configuration
	targetTracker    *targetTracker
	evacuations      *evacuationTracker
	regions          *region.Regions
	healthPolls      chan struct{}     // one element for each poll in progress
	spillover        *spilloverTracker // nil if it is switched off
	front            *front.Handler
	servers          []*http.Server
	callerServer     *callerServer
	started          time.Time
	bounds           atomic.Pointer[platform.Bounds]
	stopping         atomic.Bool
	explaining       sync.Mutex // held while a request is explained
	isolated         atomic.Bool
	targetsCheckedAt time.Time // used by checkTargets only
	memoryRefused    int64     // used by observeMemory only, like the next one
	memoryShort      bool
	ctx              context.Context
	cancel           context.CancelFunc
	self             mesh.Member
}

// Module provides a Gateway that starts and stops with the fx application.
func Module(settings platform.Settings, clock clockwork.Clock, logger log.Interface) fx.Option {
	return fx.Options(
		fx.NopLogger,
		fx.Supply(settings),
		fx.Provide(
			func() log.Interface { return logger },
			func() clockwork.Clock { return clock },
			New,
		),
		fx.Invoke(func(lifecycle fx.Lifecycle, gateway *Gateway) {
			lifecycle.Append(fx.Hook{OnStart: gateway.Start, OnStop: gateway.Stop})
		}),
	)
}

// New returns a host that has not been started.
func New(settings platform.Settings, clock clockwork.Clock, logger log.Interface) *Gateway {
	gateway := &Gateway{
		settings: settings, clock: clock, logger: logger, metrics: metric.New(settings.Host, settings.DataCentre),
		directStore: platform.NewStore(settings.Store.Address), registry: placement.NewRegistry(settings.DataCentre, placement.DefaultPolicy(mathrand.IntN)),
		pool: outbound.NewPool(clock), crashTracker: placement.NewCrashTracker(), targetLimits: capacity.NewBoard(),
	}
	gateway.regions = region.New(settings.DataCentre, settings.Region, settings.Regions)
	gateway.healthPolls = make(chan struct{}, maxHealthPolls)
	gateway.memory = memory.NewBudget(memoryCapacity(settings.MemoryBytes))
	gateway.ctx, gateway.cancel = context.WithCancel(context.Background())
	gateway.self = mesh.Member{
		Host: settings.Host, Incarnation: fmt.Sprintf("%s/%d.%s", settings.Host, clock.Now().UnixMilli(), rand.Text()[:4]),
		Address: net.JoinHostPort(settings.IP, strconv.Itoa(settings.PeerPort)), DataCentre: settings.DataCentre,
		Capacity: int(100 * settings.CPUShare * float64(max(1, settings.Cores))),
	}
	if settings.QuotaCopies {
		gateway.self.Protocol = membership.CopiesProtocol
	}
	gateway.mesh = mesh.New(gateway.self, clock, logger, localHost{gateway})
	gateway.self = gateway.mesh.Self()
	gateway.store = store.NewFailover(gateway.directStore, gateway.mesh.Relays, clock, logger)
	gateway.store.SetMetrics(gateway.metrics)
	gateway.writer = store.NewWriter(gateway.ctx, gateway.store, clock, logger, gateway.self.Incarnation)
	gateway.expirer = store.NewExpirer(gateway.writer, clock, logger, gateway.metrics)
	partitions := settings.Store.Partitions
	gateway.allocator = budget.NewAllocator(budget.Dependencies{
		Context: gateway.ctx, Store: gateway.store, Writer: gateway.writer, Clock: clock, Logger: logger, Metrics: gateway.metrics, Holder: gateway.self.Incarnation,
		Partitions: partitions, Recall: gateway.mesh.Recall, HolderState: gateway.mesh.HolderState, Reachable: gateway.store.Reachable, AwaitSettled: gateway.mesh.AwaitSettled,
		BootTime: func() time.Duration { return hostclock.Uptime(clock) },
	})
	gateway.limiter = quota.NewLimiter(gateway.mesh, clock, logger, gateway.metrics)
	gateway.targetLimiter = capacity.NewLimiter(gateway.targetLimits, gateway.mesh, clock, gateway.metrics)
	gateway.reserver = budget.NewReserver(gateway.allocator, gateway.mesh, clock, gateway.metrics)
	gateway.histories = history.New(history.Dependencies{
		Store: gateway.store, Writer: gateway.writer, Clock: clock, Logger: logger, Peers: gateway.mesh, Partitions: partitions,
		Memory: gateway.memory, Metrics: gateway.metrics, Reachable: gateway.store.ReachableIn,
		StoreLimits: history.StoreLimits{RecordBytes: settings.Store.MaxRecordBytes, AppendBytes: settings.Store.MaxAppendBytes},
	})
	gateway.targetTracker = newTargetTracker(clock, logger, gateway.metrics, gateway.registry, gateway.store.HealthySince)
	gateway.entries = &store.Follower{
		Store: gateway.store, Clock: clock, Logger: logger, Topic: platform.TargetTopic,
		ReadInterval: max(minTargetReadInterval, settings.Bounds.Drain/targetReadsPerDrain), Apply: gateway.targetTracker.apply,
	}
	entryLog := &targetLog{store: gateway.store, heartbeat: settings.Heartbeat, logger: logger}
	archive := origin.NewArchive(gateway.store, gateway.writer, gateway.expirer, clock, logger, partitions)
	gateway.origins = origin.NewResolver(gateway.targetTracker.versions, targetView{gateway.registry, gateway.entries, entryLog}, gateway.mesh, archive, clock, gateway.metrics)
	gateway.transport = peer.NewTransport(settings.Host, gateway.self.Incarnation, settings.PeerSecret, clock, logger, gateway.mesh.Handler(mesh.Operations{
		Store: gateway.directStore, Chain: gateway.histories.CachedChain, Push: gateway.histories.CacheTurns, StoredSegment: gateway.storedSegment,
		Release: gateway.allocator.Release, Reserve: gateway.reserver.HandleReserve, Settle: gateway.reserver.HandleSettle, DecideAdmission: gateway.limiter.Serve, TakeAccount: gateway.limiter.Take, AdoptAccounts: gateway.limiter.Adopt, ObserveReports: gateway.limiter.ObserveReports, ObserveAnnouncements: gateway.limiter.ObserveAnnouncements, ProgramStarted: gateway.reserver.Started, PromptLocations: gateway.reserver.Locations,
		PeekAdmission: gateway.limiter.ServePeek, PeekBudget: gateway.reserver.ServePeek, PeekPermit: gateway.targetLimiter.Peek,
		GrantPermit: gateway.targetLimiter.Serve, Origins: gateway.origins, Exchange: gateway.serveExchange, RevokeExchange: gateway.revokeExchange,
	}))
	gateway.writer.SetMaxQueuedBytes(gateway.memory.Capacity() / queuedAppendsDivisor)
	gateway.transport.SetMemory(gateway.memory)
	gateway.directStore.SetMemory(gateway.memory)
	gateway.mesh.SetTransport(gateway.transport)
	gateway.pool.SetRelay(gateway.mesh)
	gateway.pool.SetMemory(gateway.memory)
	gateway.evacuations = newEvacuationTracker(clock, logger, gateway.metrics, gateway.registry, gateway.knowsDataCentre)
	gateway.enableSpillover()
	gateway.configuration = newConfiguration(settings, gateway.store, clock, logger)
	gateway.configuration.evacuations = gateway.evacuations
	gateway.front = front.New(front.Dependencies{
		Clock: clock, Logger: logger, Metrics: gateway.metrics, Configuration: gateway.configuration,
		Registry: gateway.registry, Pool: gateway.pool, CrashTracker: gateway.crashTracker,
		RateLimiter: gateway.limiter, Budgets: gateway.reserver, TurnHistory: gateway.histories,
		LimitSettings: gateway.limitSettings, TargetLimits: gateway.targetLimits, TargetLimiter: gateway.targetLimiter, Origins: gateway.origins,
		Memory: gateway.memory, Regions: gateway.regions, ColdRate: gateway.coldRate, RecordCold: gateway.recordCold, LiveHosts: func() int { return len(gateway.mesh.Reachable()) + 1 },
		Views: front.Views{PeekQuota: gateway.limiter.Peek, PeekBudget: gateway.reserver.Peek, ColdRate: gateway.coldRateBy, LoadAge: gateway.mesh.LoadAge},
	})
	gateway.targetTracker.onCold = func(target placement.Target) {
		gateway.recordCold(target.ID, target.ColdRemaining, "entry")
	}
	gateway.callerServer = newCallerServer(gateway.front, logger, settings.FileDescriptors/2, gateway.memory)
	gateway.memory.OnShortage(gateway.reclaimMemory)
	unknownRegions := make(map[string]bool)
	gateway.configuration.onChange = func(table *route.Table) {
		gateway.callerServer.applyLimits(table.Limits())
		logUnknownRegions(table, gateway.regions, unknownRegions, logger)
		gateway.registry.SetColdTimes(coldTimes(table))
		gateway.histories.SetConfined(confinedTurns(table, gateway.regions))
	}
	gateway.bounds.Store(&settings.Bounds)
	gateway.started = clock.Now()
	return gateway
}

// Reload applies the bounds of changed settings. Changed names and addresses
// take effect only after a restart.
func (gateway *Gateway) Reload(settings platform.Settings) {
	previous := gateway.bounds.Swap(&settings.Bounds)
	fields := log.Fields{"bounds_changed": *previous != settings.Bounds}
	if settings.Store.Address != gateway.settings.Store.Address || settings.CallerAddress != gateway.settings.CallerAddress {
		gateway.logger.WithFields(fields).Warn("settings reloaded; changed addresses take effect after a restart")
		return
	}
	gateway.logger.WithFields(fields).Info("settings reloaded")
}

// limitSettings returns the parameters for counting the rates of workspaces.
func (gateway *Gateway) limitSettings() quota.LimitSettings {
	bounds := gateway.bounds.Load()
	return quota.LimitSettings{Window: bounds.QuotaWindow, Overage: bounds.QuotaOverage, Slack: bounds.QuotaSlack}
}

// Start opens the listeners and starts following the store.
func (gateway *Gateway) Start(context.Context) error {
	if err := gateway.transport.Listen(gateway.self.Address); err != nil {
		return err
	}
	ctx := gateway.ctx
	go gateway.configuration.follower.Run(ctx)
	hostEntries := &store.Follower{Store: gateway.store, Clock: gateway.clock, Logger: gateway.logger, Topic: mesh.Topic, Wait: hostEntriesWait, ReadInterval: hostEntriesInterval, Apply: gateway.mesh.Apply}
	go gateway.entries.Run(ctx)
	go hostEntries.Run(ctx)
	go gateway.registerHost()
	go gateway.mesh.Run(ctx)
	go worker.Every(ctx, gateway.clock, evictInterval, gateway.evictUnused)
	go worker.Every(ctx, gateway.clock, budget.ConfirmInterval, gateway.allocator.ConfirmAhead)
	go worker.Every(ctx, gateway.clock, isolationCheckInterval, gateway.checkIsolation)
	go worker.Every(ctx, gateway.clock, accountInterval, gateway.limiter.EvictAccounts)
	go worker.Every(ctx, gateway.clock, accountInterval, gateway.limiter.PushReports)
	go worker.Every(ctx, gateway.clock, accountInterval, gateway.limiter.Announce)
	go worker.Every(ctx, gateway.clock, targetCheckInterval, gateway.checkTargets)
	go worker.Every(ctx, gateway.clock, healthInterval, gateway.pollHealth)
	if gateway.spillover != nil {
		go worker.Every(ctx, gateway.clock, spilloverInterval, gateway.decideSpillover)
	}
	go worker.Every(ctx, gateway.clock, memoryInterval, gateway.observeMemory)
	go worker.Every(ctx, gateway.clock, wallClockInterval, newWallClockMonitor(gateway.clock, gateway.logger, gateway.metrics).check)
	go gateway.expirer.Run(ctx)
	go worker.Every(ctx, gateway.clock, sweepInterval, gateway.sweepDelayed)
	if err := gateway.callerServer.listen(gateway.settings.CallerAddress); err != nil {
		return fmt.Errorf("listen for callers on %q: %w", gateway.settings.CallerAddress, err)
	}
	operatorHandler := gateway.operatorHandler()
	endpoints := []struct {
		name    string
		address string
		handler http.Handler
	}{
		{"balancer", gateway.settings.ReadyAddress, gateway.readinessHandler()},
		{"metrics", net.JoinHostPort(gateway.settings.IP, strconv.Itoa(gateway.settings.MetricsPort)), operatorHandler},
		{"operators", gateway.settings.ControlAddress, operatorHandler},
	}
	for _, endpoint := range endpoints {
		if endpoint.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", endpoint.address)
		if err != nil {
			return fmt.Errorf("listen for %s on %q: %w", endpoint.name, endpoint.address, err)
		}
		server := &http.Server{Handler: endpoint.handler, ReadHeaderTimeout: defaultHeaderTimeout}
		gateway.servers = append(gateway.servers, server)
		go func() {
			if err := server.Serve(listener); err != http.ErrServerClosed {
				gateway.logger.WithError(err).WithField("listener", endpoint.name).Error("HTTP server failed")
			}
		}()
	}
	gateway.logger.WithFields(log.Fields{"host": gateway.settings.Host, "data_centre": gateway.settings.DataCentre, "incarnation": gateway.self.Incarnation, "build": build(), "protocol": gateway.self.Protocol}).Info("host started")
	return nil
}

// ready reports whether the load balancer should send callers to this host. An
// isolated host leaves them to other data centres.
func (gateway *Gateway) ready() bool {
	return !gateway.stopping.Load() && !gateway.isolated.Load() && gateway.configuration.Table() != nil && gateway.registry.Len() > 0
}

func (gateway *Gateway) readinessHandler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.GET(platform.ReadyPath, func(ctx *gin.Context) {
		if gateway.ready() {
			ctx.Status(http.StatusOK)
			return
		}
		ctx.Status(http.StatusServiceUnavailable)
	})
	return engine
}

// Kill stops the host at once without draining, like a crash of its process.
func (gateway *Gateway) Kill() {
	gateway.stopping.Store(true)
	gateway.cancel()
	gateway.callerServer.kill()
	for _, server := range gateway.servers {
		_ = server.Close()
	}
	_ = gateway.transport.Close()
	_ = gateway.metrics.Close()
}

// Stop fails the health checks of the load balancer, waits for the requests in
// flight, and closes the listeners.
func (gateway *Gateway) Stop(context.Context) error {
	started := gateway.clock.Now()
	gateway.stopping.Store(true)
	gateway.mesh.Leave()
	go gateway.limiter.Leave()
	grace := gateway.bounds.Load().Grace
	gateway.front.Drain(time.Duration(acceptShare * float64(grace)))
	gateway.logger.WithField("active", gateway.front.InFlight()).Info("host is stopping")
	gateway.clock.Sleep(min(balancerLag, grace/2))
	remaining := grace - stopMargin - gateway.clock.Since(started)
	ctx, cancel := context.WithTimeout(context.Background(), remaining)
	defer cancel()
	defer gateway.clock.AfterFunc(remaining-endMargin, gateway.front.EndRequests).Stop()
	err := gateway.callerServer.shutdown(ctx)
	gateway.awaitExchanges(ctx)
	gateway.returnBudgets(ctx)
	gateway.cancel()
	for _, server := range gateway.servers {
		// These listeners need no drain, because the host already reports that
		// it is not ready.
		_ = server.Close()
	}
	_ = gateway.transport.Close()
	_ = gateway.metrics.Close()
	gateway.logger.WithField("active", gateway.front.InFlight()).Info("host stopped")
	return err
}
