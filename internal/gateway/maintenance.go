package gateway

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/mesh"
	"github.com/godwitspread/godwitspread/internal/outbound"
	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/store"
)

const (
	evictInterval          = 2 * time.Second
	isolationCheckInterval = 100 * time.Millisecond
	listingTimeout         = 500 * time.Millisecond // for the entries of all hosts, before this host writes its own
	accountInterval        = 100 * time.Millisecond // between searches for quota accounts that another host coordinates now
	memoryInterval         = time.Second
	targetCheckInterval    = 50 * time.Millisecond
	lostCheckInterval      = 250 * time.Millisecond // while the targets are lost
	returnTimeout          = 600 * time.Millisecond // to return unspent budgets to the store; within the time reserved for the exit
	checkedTargets         = 3                      // targets that a check connects to; fewer would often be those that are down
)

// registerHost writes the entry of this host to the store.
func (gateway *Gateway) registerHost() {
	value, err := codec.Marshal(gateway.self)
	if err != nil {
		gateway.logger.WithError(err).Error("entry of this host cannot be encoded")
		return
	}
	select {
	case <-gateway.mesh.Listed():
	case <-gateway.clock.After(listingTimeout):
	case <-gateway.ctx.Done():
	}
	if _, err := gateway.writer.Append(gateway.ctx, mesh.Topic, 0, store.Record{Key: gateway.self.Host, Value: value}); err != nil && gateway.ctx.Err() == nil {
		gateway.logger.WithError(err).Error("writing the entry of this host to the store failed")
	}
}

// returnBudgets returns the unspent parts of budgets to the store once the turns that
// have reserved tokens of them have ended, or the context ends, and then records in the
// store that this host has ended.
func (gateway *Gateway) returnBudgets(ctx context.Context) {
	for gateway.reserver.Outstanding()+gateway.mesh.Settling() > 0 && ctx.Err() == nil {
		gateway.clock.Sleep(exchangePollInterval)
	}
	ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
	defer cancel()
	programs, err := gateway.allocator.ReleaseAll(ctx)
	entry := gateway.logger.WithFields(log.Fields{"programs": programs, "reservations": gateway.reserver.Outstanding()})
	if err != nil {
		entry.WithError(err).Warn("returning the unspent parts of budgets failed; they count as spent")
		return
	}
	entry.Info("unspent parts of budgets returned")
	value, err := gateway.mesh.EndedEntry()
	if err == nil {
		_, err = gateway.writer.Append(ctx, mesh.Topic, 0, store.Record{Key: gateway.self.Host, Value: value})
	}
	if err != nil {
		gateway.logger.WithError(err).Warn("recording the end of this host in the store failed")
	}
}

// evictUnused settles expired reservations, evicts ended programs, updates the
// limits of idle connections, closes idle connections to removed targets, and
// deletes their request limits and unused permits. It logs evacuations of unknown data
// centres.
func (gateway *Gateway) evictUnused() {
	gateway.reserver.ExpireReservations()
	targets := gateway.registry.Targets()
	known := make(map[string]bool, len(targets))
	for _, target := range targets {
		known[target.ID] = true
	}
	gateway.pool.SetIdleLimits(gateway.idleConnections(targets))
	gateway.pool.CloseIdle(func(id string) bool { return known[id] })
	gateway.targetLimits.Retain(func(id string) bool { return known[id] })
	gateway.targetLimiter.EvictBuckets()
	gateway.registry.EvictDepartures(gateway.clock.Now())
	gateway.metrics.SetGauge("prefill_turns_per_million_tokens", 1e6*gateway.registry.MaxPrefillCost())
	gateway.evacuations.checkNames()
	gateway.registry.EvictColdness(gateway.clock.Now())
	gateway.metrics.SetGauge("target_connections_opened", float64(gateway.pool.Opened()))
	gateway.metrics.SetGauge("targets_cold", float64(len(gateway.coldTargets())))
	gateway.metrics.SetGauge("targets_limited", float64(len(gateway.targetLimits.Limits())))
	gateway.recordTargetSpeeds()
}

// idleConnectionShare is the share of a target's connection limit that all hosts
// together may use for idle connections.
const idleConnectionShare = 0.6

// idleConnections returns how many idle connections this host may keep to each
// target. The connection limit of the service is for all hosts together, so it is
// divided by their number.
func (gateway *Gateway) idleConnections(targets []placement.Target) map[string]int {
	limits := make(map[string]int)
	table := gateway.configuration.Table()
	if table == nil {
		return limits
	}
	hosts := gateway.mesh.Size()
	for _, target := range targets {
		if service := table.Service(target.Service); service != nil && service.Connections > 0 {
			limits[target.ID] = int(idleConnectionShare * float64(service.Connections) / float64(hosts))
		}
	}
	return limits
}

// checkIsolation updates the unreachable data centres, and detects when this host,
// alone or with its data centre, is isolated: it reaches neither the store nor
// any other data centre.
// An isolated host is not ready, so that the load balancer sends callers to
// other hosts.
func (gateway *Gateway) checkIsolation() {
	gateway.registry.SetUnreachableDataCentres(gateway.mesh.UnreachableDataCentres())
	isolated := !gateway.store.Reachable() && !gateway.mesh.OtherDataCentreReachable()
	if gateway.isolated.Swap(isolated) == isolated {
		return
	}
	if isolated {
		gateway.logger.Warn("host is isolated from the store and all other data centres; reporting not ready to the load balancer")
	} else {
		gateway.logger.Info("host is no longer isolated; reporting ready to the load balancer again")
	}
}

// checkTargets finds out whether this host reaches targets, if it may have lost all
// of them, or has.
func (gateway *Gateway) checkTargets() {
	if !gateway.pool.Suspect() || gateway.pool.Lost() && gateway.clock.Since(gateway.targetsCheckedAt) < lostCheckInterval {
		return
	}
	gateway.targetsCheckedAt = gateway.clock.Now()
	var sample []outbound.Endpoint
	var ids []string
	for _, target := range gateway.registry.Sample(checkedTargets, "") {
		sample = append(sample, outbound.Endpoint{ID: target.ID, Address: target.Address})
		ids = append(ids, target.ID)
	}
	lostFor, changed := gateway.pool.Check(gateway.ctx, sample)
	if !changed || gateway.ctx.Err() != nil {
		return
	}
	if !gateway.pool.Lost() {
		gateway.metrics.SetGauge("targets_lost", 0)
		gateway.logger.WithField("lost_for_ms", lostFor.Milliseconds()).Info("targets can be reached again")
		return
	}
	gateway.metrics.SetGauge("targets_lost", 1)
	gateway.metrics.Count("target_losses")
	gateway.logger.WithFields(log.Fields{"checked": ids, "active": gateway.front.InFlight()}).Warn("no target can be reached")
}
