package placement

import (
	"maps"
	"time"

	"github.com/godwitspread/godwitspread/internal/spillover"
)

// spilloverResolution is the number of parts of the requests that a share is drawn by.
const spilloverResolution = 1 << 20

const requestBytesWeight = 0.02 // of the newest request in the mean size

// ServiceSites are the loads of a service by data centre. Latency, age and reachability are
// left to the caller.
type ServiceSites struct {
	Sites        map[string]spillover.Site
	Turn         time.Duration // mean duration of a turn; 0 if not known
	RequestBytes int           // mean size of a request; 0 if not known
	SpeedAge     time.Duration // since a target of the service last announced its slowness; 0 if the speeds are not known
}

// Sites returns the load of the targets that requests may use, by service. A data centre
// that has targets but no usable one has no slots.
func (registry *Registry) Sites(now time.Time) map[string]ServiceSites {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	services := make(map[string]ServiceSites, len(registry.byService))
	for service, states := range registry.byService {
		sites := make(map[string]spillover.Site)
		for _, state := range states {
			dataCentre := state.target.DataCentre
			site := sites[dataCentre]
			site.DataCentre, site.Closed = dataCentre, registry.evacuations.active[dataCentre]
			if !state.target.Draining && !registry.lastResort(state, now) {
				site.InFlight += state.localInFlight + state.remoteInFlight
				site.Slots += registry.usableSlots(state.target, now)
			}
			sites[dataCentre] = site
		}
		age := registry.addSpeeds(service, sites, now)
		services[service] = ServiceSites{Sites: sites, Turn: registry.prefill.turn(service), RequestBytes: int(registry.requestBytes[service]), SpeedAge: age}
	}
	return services
}

// turn returns the mean duration of a turn, or 0 if it is not known.
func (model *prefillModel) turn(service string) time.Duration {
	estimate, ok := model.services[service]
	if !ok || estimate.turnsCounted < minPrefillSamples {
		return 0
	}
	return time.Duration(estimate.turn * float64(time.Second))
}

// SetSpillover replaces the decisions which requests leave the data centre, by service.
// The requests of a service without a decision are placed by cost only.
func (registry *Registry) SetSpillover(decisions map[string]spillover.Decision) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.spillover = maps.Clone(decisions)
	for service := range registry.requestBytes {
		if _, decided := decisions[service]; !decided {
			delete(registry.requestBytes, service)
		}
	}
}

// RecordSend records the size of a request to a target. It returns why the request leaves
// the data centre, and an empty reason if it stays or spillover does not decide on the
// service.
func (registry *Registry) RecordSend(target Target, bytes int) spillover.Reason {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	decision, decided := registry.spillover[target.Service]
	if !decided {
		return ""
	}
	if mean, known := registry.requestBytes[target.Service]; known {
		registry.requestBytes[target.Service] = mean + requestBytesWeight*(float64(bytes)-mean)
	} else {
		registry.requestBytes[target.Service] = float64(bytes)
	}
	switch {
	case target.DataCentre == registry.dataCentre:
		return ""
	case decision.Anywhere:
		return spillover.NoLocalTarget
	case decision.Has(target.DataCentre):
		return spillover.HomeFull
	}
	return spillover.Cached
}

// confine moves the targets of the data centre that is drawn for a request to the front,
// and returns how many they are. Without any, it takes those of the own data centre, and
// then all. The caller holds the mutex.
func (registry *Registry) confine(service string, eligible []*targetState) int {
	decision, decided := registry.spillover[service]
	if !decided || decision.Anywhere {
		return len(eligible)
	}
	random := float64(registry.policy.RandomInt(spilloverResolution)) / spilloverResolution
	if destination := decision.Destination(random); destination != "" {
		if count := moveToFront(eligible, destination); count > 0 {
			return count
		}
	}
	if count := moveToFront(eligible, registry.dataCentre); count > 0 {
		return count
	}
	return len(eligible)
}

// moveToFront moves the targets of a data centre to the front and returns their number.
func moveToFront(states []*targetState, dataCentre string) int {
	count := 0
	for index, state := range states {
		if state.target.DataCentre == dataCentre {
			states[count], states[index] = states[index], states[count]
			count++
		}
	}
	return count
}
