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
	"github.com/godwitspread/godwitspread/internal/entry"
	"github.com/godwitspread/godwitspread/internal/host"
	"github.com/godwitspread/godwitspread/internal/key"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/owner"
	"github.com/godwitspread/godwitspread/internal/peer"
	"github.com/godwitspread/godwitspread/internal/platform"
	"github.com/godwitspread/godwitspread/internal/program"
)

// Daemon is an entry host.
type Daemon struct {
	settings   Settings
	own        host.Heartbeat
	clock      clockwork.Clock
	metrics    *metric.Metrics
	logger     log.Interface
	follower   *configuration.Follower
	transport  *peer.Transport
	beater     *host.Beater
	owner      *owner.Owner
	holder     *dispatch.Holder
	dispatcher *dispatch.Dispatcher
	limiter    *admission.Limiter
	orderer    *dispatch.Orderer
	router     *entry.Router
	server     *api.Server
	callers    *http.Server
	operators  *http.Server
	cancel     context.CancelFunc
	ctx        context.Context
}

// Module provides a Daemon and runs it for the life of the application.
func Module(settings Settings, logger log.Interface) fx.Option {
	return fx.Options(
		fx.NopLogger,
		fx.Supply(settings),
		fx.Provide(
			func() log.Interface { return logger },
			clockwork.NewRealClock,
			newIdentity,
			newMetrics,
			newPlatform,
			func(client *platform.Client) platform.Log { return client },
			configuration.NewFollower,
			newNetwork,
			newHolder,
			newDispatcher,
			newOwner,
			newBeater,
			newLimiter,
			newOrderer,
			newRouter,
			newServer,
			newDaemon,
		),
		fx.Invoke(func(lifecycle fx.Lifecycle, daemon *Daemon) {
			lifecycle.Append(fx.Hook{OnStart: daemon.start, OnStop: daemon.stop})
		}),
	)
}

// newIdentity returns the first heartbeat of this process. The incarnation
// tells it from every earlier process of the same name.
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
	return platform.NewClient(strings.TrimSuffix(settings.Platform, "/"), settings.PlatformWait)
}

// newNetwork returns the network with the parts that do not need it; the
// others are added when they exist.
func newNetwork(own host.Heartbeat, settings Settings, clock clockwork.Clock, metrics *metric.Metrics, follower *configuration.Follower) (*network, *handlers, *peer.Transport) {
	handlers := &handlers{follower: follower}
	transport := peer.NewTransport(own.Name, own.Incarnation, settings.PeerSecret, clock, handlers.handle)
	network := &network{own: own, metrics: metrics, transport: transport, follower: follower, permits: newPermits()}
	handlers.network = network
	return network, handlers, transport
}

// seed returns a random seed for jitter.
func seed() uint64 {
	var bytes [8]byte
	// Read never fails.
	_, _ = rand.Read(bytes[:])
	return binary.NativeEndian.Uint64(bytes[:])
}

func newHolder(clock clockwork.Clock, metrics *metric.Metrics, settings Settings, network *network) *dispatch.Holder {
	banned := func(digests []string) { go network.spreadBan(dispatch.BanMessage{Digests: digests}) }
	network.holder = dispatch.NewHolder(clock, metrics, settings.DataCentre, seed(), banned)
	return network.holder
}

func newDispatcher(clock clockwork.Clock, metrics *metric.Metrics, network *network) *dispatch.Dispatcher {
	return dispatch.NewDispatcher(clock, metrics, network, seed())
}

func newOwner(settings Settings, own host.Heartbeat, log platform.Log, clock clockwork.Clock, metrics *metric.Metrics,
	network *network, dispatcher *dispatch.Dispatcher, lifecycle fx.Lifecycle) *owner.Owner {
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.StopHook(cancel))
	network.merger = owner.NewMerger(ctx, owner.Direct{Log: log}, clock, metrics, settings.MergeInterval)
	network.owner = owner.New(owner.Settings{
		DataCentre:     settings.DataCentre,
		Program:        program.DefaultSettings(own.Name, own.Incarnation),
		AppendInterval: settings.AppendInterval,
		LogRetention:   settings.LogRetention,
	}, log, mergedAppender{network: network, direct: owner.Direct{Log: log}, atLeast: settings.MergeHosts}, clock, metrics, network, dispatcher)
	return network.owner
}

func newBeater(settings Settings, own host.Heartbeat, clock clockwork.Clock, metrics *metric.Metrics, client *platform.Client,
	network *network, holder *dispatch.Holder, owner *owner.Owner, follower *configuration.Follower) (*host.Beater, error) {
	seeds, err := settings.peers()
	if err != nil {
		return nil, err
	}
	describe := func(heartbeat *host.Heartbeat) {
		age, ok := follower.Age()
		heartbeat.ConfigurationCurrent = ok
		heartbeat.ConfigurationAgeMS = age.Milliseconds()
		heartbeat.LedgerNext = owner.LedgerNext()
		heartbeat.Down = holder.Down()
		follower.View(func(state *configuration.State) {
			heartbeat.Version = state.Version()
			heartbeat.ConfigurationNext = state.Next()
		})
	}
	heard := func(heartbeat host.Heartbeat, asked time.Time) {
		age := time.Duration(heartbeat.ConfigurationAgeMS) * time.Millisecond
		if follower.Heard(heartbeat.ConfigurationNext, age, heartbeat.ConfigurationCurrent, asked) {
			go follower.Pull(func() (configuration.Snapshot, error) { return network.pull(heartbeat.Address) })
		}
	}
	hosts := seededHosts{list: client, seeds: seeds}
	network.beater = host.NewBeater(clock, metrics, network.transport, hosts, host.NewMembership(clock.Now(), own), describe, heard)
	return network.beater, nil
}

// pull fetches the configuration of a peer.
func (network *network) pull(address string) (configuration.Snapshot, error) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	var snapshot configuration.Snapshot
	err := network.transport.Ask(ctx, address, methodConfiguration, struct{}{}, &snapshot)
	return snapshot, err
}

const pullTimeout = 3 * time.Second

// holding proves the ownership of slots by a fresh view of the ledger.
type holding struct {
	own   host.Heartbeat
	owner *owner.Owner
}

// Held implements admission.Holding.
func (holding holding) Held(slot int) (uint64, bool) {
	ownership := holding.owner.Owners()[slot]
	if ownership.Owner.Host != holding.own.Name || ownership.Owner.Incarnation != holding.own.Incarnation {
		return 0, false
	}
	return ownership.Epoch, holding.owner.Proven(slot)
}

func newLimiter(settings Settings, own host.Heartbeat, clock clockwork.Clock, metrics *metric.Metrics,
	network *network, owner *owner.Owner) *admission.Limiter {
	network.limiter = admission.NewLimiter(clock, metrics, settings.DataCentre, own.Incarnation, network, holding{own: own, owner: owner})
	return network.limiter
}

func newOrderer(settings Settings, own host.Heartbeat, clock clockwork.Clock, metrics *metric.Metrics, owner *owner.Owner) *dispatch.Orderer {
	return dispatch.NewOrderer(clock, metrics, settings.DataCentre, holding{own: own, owner: owner})
}

func newRouter(own host.Heartbeat, clock clockwork.Clock, metrics *metric.Metrics, beater *host.Beater, owner *owner.Owner,
	network *network, handlers *handlers, follower *configuration.Follower) *entry.Router {
	handlers.router = entry.NewRouter(clock, metrics, beater, owner, network.transport, follower, own, seed())
	return handlers.router
}

func newServer(settings Settings, clock clockwork.Clock, metrics *metric.Metrics, follower *configuration.Follower,
	router *entry.Router, dispatcher *dispatch.Dispatcher, limiter *admission.Limiter, owner *owner.Owner) *api.Server {
	ready := func() []string { return readiness(follower, owner) }
	return api.NewServer(api.Settings{DataCentre: settings.DataCentre, MaxBody: settings.MaxBody, Ready: ready},
		clock, metrics, follower, router, dispatcher, limiter)
}

func newDaemon(settings Settings, own host.Heartbeat, clock clockwork.Clock, metrics *metric.Metrics, logger log.Interface,
	follower *configuration.Follower, transport *peer.Transport, beater *host.Beater, owner *owner.Owner,
	holder *dispatch.Holder, dispatcher *dispatch.Dispatcher, limiter *admission.Limiter,
	orderer *dispatch.Orderer, router *entry.Router, server *api.Server) *Daemon {
	daemon := &Daemon{
		settings: settings, own: own, clock: clock, metrics: metrics, logger: logger, follower: follower,
		transport: transport, beater: beater, owner: owner, holder: holder,
		dispatcher: dispatcher, limiter: limiter, orderer: orderer, router: router, server: server,
	}
	follower.Watch(daemon.configured)
	daemon.callers = &http.Server{
		Addr: settings.CallerAddress, Handler: server.Handler(), ReadHeaderTimeout: settings.HeaderTimeout,
		ReadTimeout: settings.BodyTimeout, MaxHeaderBytes: maxHeaders,
	}
	daemon.operators = &http.Server{
		Addr: settings.MetricsAddress, Handler: daemon.operatorHandler(), ReadHeaderTimeout: settings.HeaderTimeout,
	}
	return daemon
}

// maxHeaders bounds the headers of a request, in bytes.
const maxHeaders = 32 << 10

// configured hands a new configuration to the parts that use it.
func (daemon *Daemon) configured(text *configuration.Text, version uint64, _ *key.Ring) {
	daemon.holder.SetText(text)
	daemon.dispatcher.SetText(text)
	daemon.limiter.SetText(text)
	daemon.orderer.SetText(text, version)
	daemon.owner.SetWorkspaces(workspaceNames(text))
}

func workspaceNames(text *configuration.Text) map[string]bool {
	names := make(map[string]bool, len(text.Workspaces))
	for _, workspace := range text.Workspaces {
		names[workspace.Name] = true
	}
	return names
}

// start listens and begins the duties.
func (daemon *Daemon) start(context.Context) error {
	if err := daemon.transport.Listen(daemon.settings.PeerAddress); err != nil {
		return err
	}
	daemon.ctx, daemon.cancel = context.WithCancel(context.Background())
	go daemon.holder.Run(daemon.ctx)
	go daemon.limiter.Run(daemon.ctx)
	go daemon.owner.Run(daemon.ctx)
	go daemon.follower.Run(daemon.ctx)
	go daemon.follower.Refresh(daemon.ctx, daemon.settings.LogRetention, daemon.own.Incarnation, daemon.refreshes)
	go daemon.beater.Run(daemon.ctx)
	go daemon.claim(daemon.ctx)
	go daemon.orderer.Run(daemon.ctx)
	for _, server := range []*http.Server{daemon.callers, daemon.operators} {
		listener, err := net.Listen("tcp", server.Addr)
		if err != nil {
			return fmt.Errorf("listen on %q: %w", server.Addr, err)
		}
		go daemon.serve(server, listener)
	}
	daemon.logger.WithFields(log.Fields{
		"host": daemon.own.Name, "data_centre": daemon.own.DataCentre, "callers": daemon.settings.CallerAddress,
		"peers": daemon.settings.PeerAddress, "operators": daemon.settings.MetricsAddress,
	}).Info("started")
	return nil
}

func (daemon *Daemon) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		daemon.logger.WithError(err).Error("listener ended")
	}
}

const drainPoll = 100 * time.Millisecond

// stop ends the daemon without cutting off a request: it becomes unready,
// serves on while the balancer notices, hands its slots to other hosts, waits
// for its calls, and ends.
func (daemon *Daemon) stop(ctx context.Context) error {
	daemon.logger.Info("draining")
	daemon.server.Drain()
	daemon.beater.Leave(daemon.ctx)
	daemon.sleep(ctx, daemon.settings.DrainLag)
	limit, cancel := context.WithTimeout(ctx, daemon.settings.DrainTimeout)
	defer cancel()
	err := daemon.callers.Shutdown(limit)
	for limit.Err() == nil && (daemon.owner.Pending() > 0 || daemon.ownsAny()) {
		daemon.sleep(limit, drainPoll)
	}
	daemon.cancel()
	err = errors.Join(err, daemon.operators.Close(), daemon.transport.Close(), daemon.metrics.Close())
	daemon.logger.Info("stopped")
	return err
}

// ownsAny reports whether another host could still take over slots of this
// one.
func (daemon *Daemon) ownsAny() bool {
	others := 0
	daemon.beater.View(func(membership *host.Membership, now time.Time) {
		others = len(membership.Live(now, daemon.own.DataCentre))
	})
	if age, ok := daemon.owner.LedgerAge(); !ok || age > ledgerFresh || others == 0 {
		return false
	}
	for _, ownership := range daemon.owner.Owners() {
		if ownership.Owner.Host == daemon.own.Name && ownership.Owner.Incarnation == daemon.own.Incarnation {
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
