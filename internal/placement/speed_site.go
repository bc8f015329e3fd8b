package placement

import (
	"math"
	"time"

	"github.com/godwitspread/godwitspread/internal/spillover"
)

// addSpeeds sets the speeds of data centres from what is learned of the usable targets of a
// service, and returns the age of the latest announcement. It leaves them unknown if no
// target announces its slowness. The latest figures are left out: they hold for less time
// than a share needs to change. A target counts by the slots that it frees in a time, since
// placement prefers fast ones. The caller must hold the mutex.
func (registry *Registry) addSpeeds(name string, sites map[string]spillover.Site, now time.Time) time.Duration {
	service := registry.serviceSpeeds[name]
	if !service.announces(now) {
		return 0
	}
	registry.updatePace(name, service, now)
	rates, slots := make(map[string]float64), make(map[string]float64)
	for _, state := range registry.byService[name] {
		if state.target.Draining || registry.lastResort(state, now) {
			continue
		}
		usable := float64(registry.usableSlots(state.target, now))
		slowness := min(max(math.Exp(state.speed.learned(service, now)), minSlowness), maxTotalSlowness)
		rates[state.target.DataCentre] += usable / slowness
		slots[state.target.DataCentre] += usable
	}
	for dataCentre, site := range sites {
		if slots[dataCentre] > 0 {
			site.Speed = rates[dataCentre] / slots[dataCentre]
			sites[dataCentre] = site
		}
	}
	return max(1, now.Sub(service.announcedAt))
}
