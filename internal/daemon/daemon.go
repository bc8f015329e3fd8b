package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"github.com/godwitspread/godwitspread/internal/admission"
	"github.com/godwitspread/godwitspread/internal/api"
	"github.com/godwitspread/godwitspread/internal/configuration"
	"github.com/godwitspread/godwitspread/internal/dispatch"
	"github.com/godwitspread/godwitspread/internal/forwarding"
	"github.com/godwitspread/godwitspread/internal/host"
	"github.com/godwitspread/godwitspread/internal/hostclock"
	"github.com/godwitspread/godwitspread/internal/key"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/owner"
	"github.com/godwitspread/godwitspread/internal/peer"
	"github.com/godwitspread/godwitspread/internal/platform"
	"github.com/godwitspread/godwitspread/internal/program"
)

// Daemon is an entry host, which serves callers and exchanges requests with the
// other hosts.
type Daemon struct {
	settings       Settings
	self           host.Heartbeat
	clock          clockwork.Clock
	metrics        *metric.Metrics
	logger         log.Interface
	follower       *configuration.Follower
	transport      *peer.Transport
	heartbeater    *host.Heartbeater
	owner          *owner.Owner
	queueServer    *dispatch.QueueServer
	dispatcher     *dispatch.Dispatcher
	limiter        *admission.Limiter
	modelLoader    *dispatch.ModelLoader
	router         *forwarding.Router
	server         *api.Server
	callerServer   *http.Server
	operatorServer *http.Server
	cancel         context.CancelFunc
	ctx            context.Context
}

// Module provides a Daemon, starts it with the application and stops it with the
// application.
func Module(settings Settings, logger log.Interface) fx.Option {
	return fx.Options(
		fx.NopLogger,
		fx.Supply(settings),
		fx.Provide(
			func() log.Interface { return logger },
			hostclock.New,
			newIdentity,
			newMetrics,
			newPlatform,
			func(client *platform.Client) platform.Log { return client },
			configuration.NewFollower,
			newNetwork,
			newQueueServer,
			newDispatcher,
			newOwner,
			newHeartbeater,
			newLimiter,
			newModelLoader,
			newRouter,
			newServer,
			newDaemon,
		),
		fx.Invoke(func(lifecycle fx.Lifecycle, daemon *Daemon) {
			lifecycle.Append(fx.Hook{OnStart: daemon.start, OnStop: daemon.stop})
		}),
	)
}

// newIdentity returns the initial heartbeat of this process. The incarnation
// distinguishes the process from earlier ones with the same host name.
func newIdentity(settings Settings) host.Heartbeat {
	return host.Heartbeat{
		Name: settings.Host, Incarnation: strings.ToLower(rand.Text()[:13]),
		DataCentre: settings.DataCentre, Address: settings.PeerAddress,
	}
}

func newMetrics(settings Settings) *metric.Metrics {
	return metric.New(settings.Host, settings.DataCentre)
}

func newPlatform(settings Settings) *platform.Client {
	return platform.NewClient(strings.TrimSuffix(settings.PlatformURL, "/"), settings.PlatformTimeout)
}

// newNetwork returns the network without the components that depend on it. Their
// constructors add them to the network.
func newNetwork(self host.Heartbeat, settings Settings, clock clockwork.Clock, metrics *metric.Metrics, logger log.Interface, follower *configuration.Follower) (*network, *handlers, *peer.Transport) {
	handlers := &handlers{follower: follower}
	transport := peer.NewTransport(self.Name, self.Incarnation, settings.PeerSecret, clock, logger, handlers.handle)
	network := &network{self: self, metrics: metrics, transport: transport, follower: follower, forwardedPermits: newForwardedPermits()}
	handlers.network = network
	return network, handlers, transport
}

// randomSeed returns a random seed for jitter.
func randomSeed() uint64 {
	var bytes [8]byte
	// Read never fails.
	_, _ = rand.Read(bytes[:])
	return binary.NativeEndian.Uint64(bytes[:])
}

func newQueueServer(clock clockwork.Clock, metrics *metric.Metrics, settings Settings, network *network) *dispatch.QueueServer {
	onBan := func(digests []string) { go network.broadcastBan(dispatch.BanMessage{Digests: digests}) }
	network.queueServer = dispatch.NewQueueServer(clock, metrics, settings.DataCentre, randomSeed(), onBan)
	return network.queueServer
}

func newDispatcher(clock clockwork.Clock, metrics *metric.Metrics, network *network) *dispatch.Dispatcher {
	return dispatch.NewDispatcher(clock, metrics, network, randomSeed())
}

func newOwner(settings Settings, self host.Heartbeat, log platform.Log, clock clockwork.Clock, metrics *metric.Metrics,
	network *network, dispatcher *dispatch.Dispatcher, lifecycle fx.Lifecycle) *owner.Owner {
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.StopHook(cancel))
	network.merger = owner.NewMerger(ctx, owner.LogAppender{Log: log}, clock, metrics, settings.MergeInterval)
	network.owner = owner.New(owner.Settings{
		DataCentre:     settings.DataCentre,
		Program:        program.DefaultSettings(self.Name, self.Incarnation),
		AppendInterval: settings.AppendInterval,
		LogRetention:   settings.LogRetention,
	}, log, mergingAppender{network: network, logAppender: owner.LogAppender{Log: log}, minHosts: settings.MergeHosts}, clock, metrics, network, dispatcher)
	return network.owner
}

func newHeartbeater(settings Settings, self host.Heartbeat, clock clockwork.Clock, metrics *metric.Metrics, client *platform.Client,
	network *network, queueServer *dispatch.QueueServer, owner *owner.Owner, follower *configuration.Follower) (*host.Heartbeater, error) {
	seeds, err := settings.parsePeers()
	if err != nil {
		return nil, err
	}
	fillHeartbeat := func(heartbeat *host.Heartbeat) {
		age, ok := follower.Age()
		heartbeat.ConfigurationCurrent = ok
		heartbeat.ConfigurationAgeMS = age.Milliseconds()
		heartbeat.LedgerNext = owner.LedgerNext()
		heartbeat.Down = queueServer.Down()
		follower.View(func(state *configuration.State) {
			heartbeat.Version = state.Version()
			heartbeat.ConfigurationNext = state.Next()
		})
	}
	onHeartbeat := func(heartbeat host.Heartbeat, requestedAt time.Time) {
		age := time.Duration(heartbeat.ConfigurationAgeMS) * time.Millisecond
		if follower.ObservePeer(heartbeat.ConfigurationNext, age, heartbeat.ConfigurationCurrent, requestedAt) {
			go follower.Pull(func() (configuration.Snapshot, error) { return network.fetchConfiguration(heartbeat.Address) })
		}
	}
	hosts := seededHosts{source: client, seeds: seeds}
	network.heartbeater = host.NewHeartbeater(clock, metrics, network.transport, hosts, host.NewMembership(clock.Now(), self), fillHeartbeat, onHeartbeat)
	return network.heartbeater, nil
}

// fetchConfiguration fetches the configuration from another host.
func (network *network) fetchConfiguration(address string) (configuration.Snapshot, error) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	var snapshot configuration.Snapshot
	err := network.transport.Ask(ctx, address, methodConfiguration, struct{}{}, &snapshot)
	return snapshot, err
}

const fetchTimeout = 3 * time.Second

// slotOwnership proves that this host owns a slot, by a recent view of the ledger or
// by witnesses.
type slotOwnership struct {
	self  host.Heartbeat
	owner *owner.Owner
}

// OwnedEpoch implements admission.SlotOwnership and dispatch.SlotOwnership.
func (slotOwnership slotOwnership) OwnedEpoch(slot int) (uint64, bool) {
	ownership := slotOwnership.owner.Owners()[slot]
	if ownership.Owner.Host != slotOwnership.self.Name || ownership.Owner.Incarnation != slotOwnership.self.Incarnation {
		return 0, false
	}
	return ownership.Epoch, slotOwnership.owner.HasLease(slot)
}

func newLimiter(settings Settings, self host.Heartbeat, clock clockwork.Clock, metrics *metric.Metrics,
	network *network, owner *owner.Owner) *admission.Limiter {
	network.limiter = admission.NewLimiter(clock, metrics, settings.DataCentre, self.Incarnation, network, slotOwnership{self: self, owner: owner})
	return network.limiter
}

func newModelLoader(settings Settings, self host.Heartbeat, clock clockwork.Clock, metrics *metric.Metrics, owner *owner.Owner) *dispatch.ModelLoader {
	return dispatch.NewModelLoader(clock, metrics, settings.DataCentre, slotOwnership{self: self, owner: owner})
}

func newRouter(self host.Heartbeat, clock clockwork.Clock, metrics *metric.Metrics, heartbeater *host.Heartbeater, owner *owner.Owner,
	network *network, handlers *handlers, follower *configuration.Follower) *forwarding.Router {
	handlers.router = forwarding.NewRouter(clock, metrics, heartbeater, owner, network.transport, follower, self, randomSeed())
	return handlers.router
}

func newServer(settings Settings, clock clockwork.Clock, metrics *metric.Metrics, follower *configuration.Follower,
	router *forwarding.Router, dispatcher *dispatch.Dispatcher, limiter *admission.Limiter, owner *owner.Owner) *api.Server {
	reasons := func() []string { return notReadyReasons(follower, owner) }
	return api.NewServer(api.Settings{DataCentre: settings.DataCentre, MaxBody: settings.MaxBody, NotReadyReasons: reasons},
		clock, metrics, follower, router, dispatcher, limiter)
}

func newDaemon(settings Settings, self host.Heartbeat, clock clockwork.Clock, metrics *metric.Metrics, logger log.Interface,
	follower *configuration.Follower, transport *peer.Transport, heartbeater *host.Heartbeater, owner *owner.Owner,
	queueServer *dispatch.QueueServer, dispatcher *dispatch.Dispatcher, limiter *admission.Limiter,
	modelLoader *dispatch.ModelLoader, router *forwarding.Router, server *api.Server) *Daemon {
	daemon := &Daemon{
		settings: settings, self: self, clock: clock, metrics: metrics, logger: logger, follower: follower,
		transport: transport, heartbeater: heartbeater, owner: owner, queueServer: queueServer,
		dispatcher: dispatcher, limiter: limiter, modelLoader: modelLoader, router: router, server: server,
	}
	follower.Watch(daemon.applyConfiguration)
	daemon.callerServer = &http.Server{
		Addr: settings.CallerAddress, Handler: server.Handler(), ReadHeaderTimeout: settings.HeaderTimeout,
		ReadTimeout: settings.BodyTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	daemon.operatorServer = &http.Server{
		Addr: settings.MetricsAddress, Handler: daemon.operatorHandler(), ReadHeaderTimeout: settings.HeaderTimeout,
	}
	return daemon
}

// maxHeaderBytes bounds the headers of a caller's request.
const maxHeaderBytes = 32 << 10

// applyConfiguration passes a new configuration to the components that use it.
func (daemon *Daemon) applyConfiguration(text *configuration.Text, version uint64, _ *key.Ring) {
	daemon.queueServer.SetText(text)
	daemon.dispatcher.SetText(text)
	daemon.limiter.SetText(text)
	daemon.modelLoader.SetText(text, version)
	daemon.owner.SetWorkspaces(workspaceNames(text))
}

func workspaceNames(text *configuration.Text) map[string]bool {
	names := make(map[string]bool, len(text.Workspaces))
	for _, workspace := range text.Workspaces {
		names[workspace.Name] = true
	}
	return names
}

// start opens the listeners and starts the background tasks.
func (daemon *Daemon) start(context.Context) error {
	if err := daemon.transport.Listen(daemon.settings.PeerAddress); err != nil {
		return err
	}
	daemon.ctx, daemon.cancel = context.WithCancel(context.Background())
	go daemon.queueServer.Run(daemon.ctx)
	go daemon.limiter.Run(daemon.ctx)
	go daemon.owner.Run(daemon.ctx)
	go daemon.follower.Run(daemon.ctx)
	go daemon.follower.Refresh(daemon.ctx, daemon.settings.LogRetention, daemon.self.Incarnation, daemon.refreshesConfiguration)
	go daemon.heartbeater.Run(daemon.ctx)
	go daemon.claimSlots(daemon.ctx)
	go daemon.modelLoader.Run(daemon.ctx)
	for _, server := range []*http.Server{daemon.callerServer, daemon.operatorServer} {
		listener, err := net.Listen("tcp", server.Addr)
		if err != nil {
			return fmt.Errorf("listen on %q: %w", server.Addr, err)
		}
		go daemon.serve(server, listener)
	}
	daemon.logger.WithFields(log.Fields{
		"host": daemon.self.Name, "data_centre": daemon.self.DataCentre, "callers": daemon.settings.CallerAddress,
		"peers": daemon.settings.PeerAddress, "operators": daemon.settings.MetricsAddress,
	}).Info("started")
	return nil
}

func (daemon *Daemon) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		daemon.logger.WithError(err).Error("HTTP server failed")
	}
}

const drainPollInterval = 100 * time.Millisecond

// stop shuts the daemon down without interrupting requests. The daemon reports that
// it is not ready and keeps serving until the load balancer has detected that. It
// then waits until its calls are done and other hosts own its slots.
func (daemon *Daemon) stop(ctx context.Context) error {
	daemon.logger.Info("draining")
	daemon.server.Drain()
	daemon.heartbeater.Leave(daemon.ctx)
	daemon.sleep(ctx, daemon.settings.DrainLag)
	drainCtx, cancel := context.WithTimeout(ctx, daemon.settings.DrainTimeout)
	defer cancel()
	err := daemon.callerServer.Shutdown(drainCtx)
	for drainCtx.Err() == nil && (daemon.owner.Pending() > 0 || daemon.hasSlotsToHandOver()) {
		daemon.sleep(drainCtx, drainPollInterval)
	}
	daemon.cancel()
	err = errors.Join(err, daemon.operatorServer.Close(), daemon.transport.Close(), daemon.metrics.Close())
	daemon.logger.Info("stopped")
	return err
}

// hasSlotsToHandOver reports whether this host owns slots that another live host of
// the data centre can take over.
func (daemon *Daemon) hasSlotsToHandOver() bool {
	liveHosts := 0
	daemon.heartbeater.View(func(membership *host.Membership, now time.Time) {
		liveHosts = len(membership.Live(now, daemon.self.DataCentre))
	})
	if age, ok := daemon.owner.LedgerAge(); !ok || age > maxLedgerAge || liveHosts == 0 {
		return false
	}
	for _, ownership := range daemon.owner.Owners() {
		if ownership.Owner.Host == daemon.self.Name && ownership.Owner.Incarnation == daemon.self.Incarnation {
			return true
		}
	}
	return false
}

func (daemon *Daemon) sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-daemon.clock.After(duration):
	}
}
