package gateway

import (
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/spillover"
)

const (
	spilloverInterval = 250 * time.Millisecond // between decisions; hosts report their load as often
	latencyWeight     = 0.2                    // of the newest connection in the mean latency
)

// spilloverTracker decides which requests leave the data centre.
type spilloverTracker struct {
	clock      clockwork.Clock
	logger     log.Interface
	metrics    *metric.Metrics
	registry   *placement.Registry
	dataCentre string
	planner    *spillover.Planner
	decided    map[string]bool // services whose share is exported

	mutex     sync.Mutex
	latencies map[string]time.Duration // one way, by data centre
}

// fleetView is what the tracker needs to know of the hosts.
type fleetView struct {
	unreachable map[string]bool // data centres
	elsewhere   bool            // there are hosts in other data centres
	age         func(dataCentre string) time.Duration
}

func newSpilloverTracker(clock clockwork.Clock, logger log.Interface, metrics *metric.Metrics, registry *placement.Registry, dataCentre string, price spillover.Price) *spilloverTracker {
	return &spilloverTracker{
		clock: clock, logger: logger, metrics: metrics, registry: registry, dataCentre: dataCentre,
		planner: spillover.NewPlanner(price, mathrand.Float64), decided: make(map[string]bool), latencies: make(map[string]time.Duration),
	}
}

// enableSpillover starts to measure latencies if spillover is switched on.
func (gateway *Gateway) enableSpillover() {
	if !gateway.settings.Spillover {
		return
	}
	gateway.spillover = newSpilloverTracker(gateway.clock, gateway.logger, gateway.metrics, gateway.registry, gateway.settings.DataCentre, spillover.Price(gateway.settings.EgressPrice))
	gateway.pool.SetObserveConnect(gateway.spillover.observeConnect)
}

// decideSpillover decides on all services.
func (gateway *Gateway) decideSpillover() {
	fleet := fleetView{unreachable: gateway.mesh.UnreachableDataCentres(), age: gateway.mesh.LoadAge}
	fleet.elsewhere = len(fleet.unreachable) > 0
	for _, state := range gateway.mesh.Reachable() {
		fleet.elsewhere = fleet.elsewhere || state.DataCentre != gateway.settings.DataCentre
	}
	gateway.spillover.decide(fleet)
}

// observeConnect records the time to connect to a target, a round trip.
func (spilloverTracker *spilloverTracker) observeConnect(id string, elapsed time.Duration) {
	target, known := spilloverTracker.registry.Target(id)
	if !known || target.DataCentre == spilloverTracker.dataCentre {
		return
	}
	spilloverTracker.mutex.Lock()
	defer spilloverTracker.mutex.Unlock()
	latency, measured := spilloverTracker.latencies[target.DataCentre]
	if !measured {
		latency = elapsed / 2
	}
	spilloverTracker.latencies[target.DataCentre] = latency + time.Duration(latencyWeight*float64(elapsed/2-latency))
}

func (spilloverTracker *spilloverTracker) latency(dataCentre string) time.Duration {
	spilloverTracker.mutex.Lock()
	defer spilloverTracker.mutex.Unlock()
	return spilloverTracker.latencies[dataCentre]
}

// decide decides on the services with targets in several data centres, or only in others.
// While all hosts are in one data centre, it decides on none.
func (spilloverTracker *spilloverTracker) decide(fleet fleetView) {
	now, decisions := spilloverTracker.clock.Now(), make(map[string]spillover.Decision)
	if fleet.elsewhere {
		for service, loads := range spilloverTracker.registry.Sites(now) {
			if _, local := loads.Sites[spilloverTracker.dataCentre]; local && len(loads.Sites) == 1 {
				continue
			}
			input := spilloverTracker.input(service, loads, fleet)
			decision, changed := spilloverTracker.planner.Decide(input, now)
			decisions[service] = decision
			if changed {
				spilloverTracker.logChange(input, decision)
			}
		}
	}
	spilloverTracker.registry.SetSpillover(decisions)
	current := make(map[string]bool, len(decisions))
	for service, decision := range decisions {
		current[service] = true
		spilloverTracker.metrics.SetSpilloverShare(service, decision.Total())
	}
	for service := range spilloverTracker.decided {
		if !current[service] {
			spilloverTracker.metrics.SetSpilloverShare(service, 0)
		}
	}
	spilloverTracker.decided = current
	spilloverTracker.planner.Forget(current)
}

// input returns what is known about a service.
func (spilloverTracker *spilloverTracker) input(service string, loads placement.ServiceSites, fleet fleetView) spillover.Input {
	input := spillover.Input{Service: service, Turn: loads.Turn, RequestBytes: loads.RequestBytes, SpeedAge: loads.SpeedAge}
	for dataCentre, site := range loads.Sites {
		site.Age = fleet.age(dataCentre)
		if dataCentre == spilloverTracker.dataCentre {
			input.Home = site
			if site.Speed > 0 {
				// Most turns are served at home, so their mean duration is that at its speed.
				input.Turn = time.Duration(float64(input.Turn) * site.Speed)
			}
			continue
		}
		site.Closed = site.Closed || fleet.unreachable[dataCentre]
		site.Latency = spilloverTracker.latency(dataCentre)
		input.Others = append(input.Others, site)
	}
	return input
}

// logChange logs a decision with the loads that led to it.
func (spilloverTracker *spilloverTracker) logChange(input spillover.Input, decision spillover.Decision) {
	spilloverTracker.metrics.Count("spillover_changes")
	shares := make(map[string]float64, len(decision.Shares))
	for _, share := range decision.Shares {
		shares[share.DataCentre] = share.Fraction
	}
	sites := make([]log.Fields, 0, len(input.Others))
	for _, site := range input.Others {
		sites = append(sites, siteFields(site))
	}
	spilloverTracker.logger.WithFields(log.Fields{
		"service": input.Service, "share": decision.Total(), "shares": shares, "anywhere": decision.Anywhere, "reason": decision.Reason,
		"home": siteFields(input.Home), "others": sites, "turn_ms": input.Turn.Milliseconds(), "request_bytes": input.RequestBytes, "speed_age_ms": input.SpeedAge.Milliseconds(),
	}).Info("share of requests that leave the data centre changed")
}

func siteFields(site spillover.Site) log.Fields {
	return log.Fields{
		"data_centre": site.DataCentre, "active": site.InFlight, "slots": site.Slots, "age_ms": site.Age.Milliseconds(), "speed": site.Speed,
		"latency_us": site.Latency.Microseconds(), "closed": site.Closed,
	}
}
