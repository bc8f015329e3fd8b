package gateway

import (
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/godwitspread/godwitspread/internal/budget"
	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/history"
	"github.com/godwitspread/godwitspread/internal/mesh"
	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/store"
)

const (
	evictInterval          = 2 * time.Second
	sweepInterval          = 90 * time.Second // turns are kept for about a minute
	isolationCheckInterval = 100 * time.Millisecond
)

// enter writes this host's entry.
func (gateway *Gateway) registerHost() {
	value, err := codec.Marshal(gateway.self)
	if err != nil {
		gateway.logger.WithError(err).Error("entry of this host cannot be written")
		return
	}
	if _, err := gateway.writer.Append(gateway.ctx, mesh.Topic, 0, store.Record{Key: gateway.self.Host, Value: value}); err != nil && gateway.ctx.Err() == nil {
		gateway.logger.WithError(err).Error("entry of this host was not written")
	}
}

// tidy drops what is no longer needed from memory.
func (gateway *Gateway) evictUnused() {
	gateway.budgetCounter.Tidy()
	targets := gateway.registry.Targets()
	known := make(map[string]bool, len(targets))
	for _, target := range targets {
		known[target.ID] = true
	}
	gateway.pool.Bound(gateway.idleConnections(targets))
	gateway.pool.Forget(func(id string) bool { return known[id] })
}

// idleShare is the part of a target's connections that hosts together may keep
// open without using them.
const idleConnectionShare = 0.6

// idleConnections returns how many connections this host may keep to each
// target, by the service's limit over all hosts.
func (gateway *Gateway) idleConnections(targets []placement.Target) map[string]int {
	bounds := make(map[string]int)
	table := gateway.configuration.Table()
	if table == nil {
		return bounds
	}
	hosts := gateway.mesh.Size()
	for _, target := range targets {
		if service := table.Service(target.Service); service != nil && service.Connections > 0 {
			bounds[target.ID] = int(idleConnectionShare * float64(service.Connections) / float64(hosts))
		}
	}
	return bounds
}

// sweep drops what is over from the store. Each partition is swept by one host.
func (gateway *Gateway) sweepExpired() {
	topics := []struct {
		name    string
		expired func([]store.Record, time.Time) []string
	}{{budget.Topic, budget.Over}, {history.Topic, history.Over}}
	for _, topic := range topics {
		for partition := range gateway.settings.Store.Partitions {
			if _, self := gateway.mesh.Home(fmt.Sprintf("%s/%d", topic.name, partition)); !self {
				continue
			}
			expired := func(records []store.Record) []string { return topic.expired(records, gateway.clock.Now()) }
			if err := gateway.expiry.Sweep(gateway.ctx, gateway.store, topic.name, partition, expired); err != nil && gateway.ctx.Err() == nil {
				gateway.logger.WithError(err).WithFields(log.Fields{"topic": topic.name, "part": partition}).Warn("partition not swept")
			}
		}
	}
}

// watch notices when this host is cut off with its data centre, or alone, and
// when other hosts have taken over from it.
func (gateway *Gateway) checkIsolation() {
	gateway.registry.SetSilent(gateway.mesh.UnreachableDataCentres())
	gateway.limiter.Tidy()
	isolated := !gateway.store.Reachable() && !gateway.mesh.OtherDataCentreReachable()
	if gateway.isolated.Swap(isolated) == isolated {
		return
	}
	if isolated {
		gateway.logger.Warn("cut off from the store and all other data centres; leaving the rotation")
	} else {
		gateway.logger.Info("no longer cut off; taking callers again")
	}
}
