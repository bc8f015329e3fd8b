package gateway

import (
	"github.com/apex/log"

	"github.com/godwitspread/godwitspread/internal/capacity"
	"github.com/godwitspread/godwitspread/internal/mesh"
	"github.com/godwitspread/godwitspread/internal/placement"
)

// localHost implements mesh.Local.
type localHost struct{ gateway *Gateway }

// Status implements mesh.Local.
func (localHost localHost) Status() mesh.Status {
	gateway := localHost.gateway
	status := mesh.Status{
		Stopping: gateway.stopping.Load(), StoreReachable: gateway.store.DirectReachable(), StoreFast: gateway.store.DirectFast(),
		Load: gateway.registry.LocalLoad(), CrashCounts: gateway.crashTracker.LocalCrashes(gateway.clock.Now()),
		TargetLimits: gateway.targetLimits.Reports(gateway.clock.Now()), TargetsLost: gateway.pool.Lost(),
		Departures: gateway.registry.Departures(gateway.clock.Now()), Evacuations: gateway.evacuations.snapshot(),
		Cold:   gateway.registry.ColdReports(gateway.clock.Now()),
		Tokens: gateway.registry.LocalTokens(), Speeds: gateway.registry.LocalSpeeds(gateway.clock.Now()), Figures: gateway.registry.Figures(gateway.clock.Now()),
	}
	if table := gateway.configuration.Table(); table != nil {
		status.Version = table.Version()
	}
	return status
}

// KnownLimits implements mesh.Local.
func (localHost localHost) KnownLimits() map[string]capacity.Report {
	return localHost.gateway.targetLimits.AllReports(localHost.gateway.clock.Now())
}

// ObserveLoad implements mesh.Local.
func (localHost localHost) ObserveLoad(load map[string]int) {
	localHost.gateway.registry.SetRemoteLoad(load)
}

// ObserveSpeeds implements mesh.Local.
func (localHost localHost) ObserveSpeeds(tokens map[string]int, speeds map[string]placement.SpeedSum) {
	registry := localHost.gateway.registry
	registry.SetRemoteTokens(tokens)
	registry.SetRemoteSpeeds(speeds, localHost.gateway.clock.Now())
}

// ObserveNews implements mesh.Local. It records the target crashes, the limits of
// targets, the configuration version and the evacuations that other hosts report.
func (localHost localHost) ObserveNews(news mesh.News) {
	gateway := localHost.gateway
	for host, counts := range news.CrashCounts {
		if host != gateway.self.Host {
			gateway.crashTracker.SetRemoteCrashes(host, counts, gateway.clock.Now())
		}
	}
	gateway.configuration.refreshIfOlder(news.Version)
	gateway.evacuations.merge(news.Evacuations, news.Source)
	for target, departure := range news.Departures {
		if gateway.registry.MergeDeparture(target, departure, gateway.clock.Now()) {
			gateway.metrics.Count("target_departures")
			gateway.logger.WithFields(log.Fields{"target": target, "source": news.Source, "age_ms": departure.Age.Milliseconds()}).Info("target is leaving")
		}
	}
	for target, report := range news.Cold {
		if gateway.registry.MergeCold(target, report, gateway.clock.Now()) {
			gateway.recordCold(target, report.Remaining, news.Source)
		}
	}
	for target, report := range news.Figures {
		gateway.registry.MergeFigure(target, report, gateway.clock.Now())
	}
	for target, report := range news.Limits {
		if gateway.targetLimits.Merge(target, report, gateway.clock.Now()) {
			gateway.metrics.Count("target_limits_changed")
			gateway.logger.WithFields(log.Fields{
				"target": target, "limited": report.Limited, "per_second": report.Rate, "source": news.Source, "age_ms": report.Age.Milliseconds(),
			}).Info("request limit of a target changed")
		}
	}
}
