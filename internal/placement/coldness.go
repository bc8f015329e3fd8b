package placement

import (
	"sync"
	"time"
)

const (
	// maxColdTime bounds what a target can say: a longer phase is an error of the target
	// and would limit its requests for good.
	maxColdTime = 10 * time.Minute
	// coldReportLag is the largest time that a report is in transit, with a margin. A
	// report extends a known phase only by more than that: hosts that repeat each other's
	// reports must not make the phase longer.
	coldReportLag = 500 * time.Millisecond
	// maxColdReports is the number of targets in one message to another host.
	maxColdReports = 256
	// coldMemory is how long a phase is remembered after its end, so that a late report
	// of it does not begin it again.
	coldMemory = time.Minute
)

// coldPhase is what this host knows of the cold phase of a target. Times are on this
// host's monotonic clock.
type coldPhase struct {
	boot       int64         // of the entry, in Unix milliseconds
	report     int64         // number of the entry among those since the boot
	remaining  time.Duration // in the entry
	entryUntil time.Time     // end by the entry
	saidUntil  time.Time     // end by a response, to this host or another one
	knownUntil time.Time     // latest end that a response or a report has named
	brokenAt   time.Time     // last broken connection: the target may have restarted unseen
}

// coldness contains the cold phases of targets by ID. It is safe for concurrent use and
// takes no other mutex.
type coldness struct {
	mutex  sync.Mutex
	times  map[string]time.Duration // length of the phase by service
	phases map[string]coldPhase     // by target ID
	lifted map[string]time.Time     // by data centre whose evacuation was lifted
}

func newColdness() *coldness {
	return &coldness{phases: make(map[string]coldPhase), lifted: make(map[string]time.Time)}
}

// until returns the end of the cold phase of a target, and false if it is not cold.
func (coldness *coldness) until(target Target, now time.Time) (time.Time, bool) {
	coldness.mutex.Lock()
	defer coldness.mutex.Unlock()
	phase := coldness.phases[target.ID]
	end := later(phase.entryUntil, phase.saidUntil)
	if duration := coldness.times[target.Service]; duration > 0 {
		if !phase.brokenAt.IsZero() {
			end = later(end, phase.brokenAt.Add(duration))
		}
		if lifted, ok := coldness.lifted[target.DataCentre]; ok {
			end = later(end, lifted.Add(duration))
		}
	}
	return end, end.After(now)
}

func later(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

// ObserveBreak records that a target has refused or broken a connection, as one does that
// restarts. Until the phase of a restart at that time would have ended, the target counts
// as cold.
func (registry *Registry) ObserveBreak(id string, now time.Time) {
	target, known := registry.Target(id)
	coldness := registry.coldness
	coldness.mutex.Lock()
	defer coldness.mutex.Unlock()
	if !known || coldness.times[target.Service] <= 0 {
		return
	}
	phase := coldness.phases[id]
	phase.brokenAt = now
	coldness.phases[id] = phase
}

// SetColdTimes sets for how long targets are cold after their start, by service. Services
// without a cold phase are omitted.
func (registry *Registry) SetColdTimes(times map[string]time.Duration) {
	registry.coldness.mutex.Lock()
	defer registry.coldness.mutex.Unlock()
	registry.coldness.times = times
}

// ColdUntil returns until when a target is cold, and false if it is not cold or not
// known.
func (registry *Registry) ColdUntil(id string, now time.Time) (time.Time, bool) {
	target, known := registry.Target(id)
	if !known {
		return time.Time{}, false
	}
	if at, lifted := registry.LiftedAt(target.DataCentre); lifted {
		registry.coldness.mutex.Lock()
		registry.coldness.lifted[target.DataCentre] = at
		registry.coldness.mutex.Unlock()
	}
	return registry.coldness.until(target, now)
}

// ObserveColdEntry records what an entry of the store says about the cold phase of a
// target, with the number of the entry since the start of the target. It must be called
// before Put, so that no request sees a new target as warm. It reports whether a phase
// has begun. A repeated entry changes nothing: the phase is counted down from the first
// reading.
func (registry *Registry) ObserveColdEntry(target Target, report int64, now time.Time) bool {
	coldness := registry.coldness
	coldness.mutex.Lock()
	defer coldness.mutex.Unlock()
	phase, known := coldness.phases[target.ID]
	if !known && target.ColdRemaining <= 0 {
		return false
	}
	if known && phase.boot == target.StartedAtMillis && phase.report == report && phase.remaining == target.ColdRemaining {
		return false
	}
	began := target.ColdRemaining > 0 && !phase.entryUntil.After(now)
	phase.boot, phase.report, phase.remaining = target.StartedAtMillis, report, target.ColdRemaining
	phase.entryUntil = now.Add(min(target.ColdRemaining, maxColdTime))
	coldness.phases[target.ID] = phase
	return began
}

// ObserveCold records what a response says about the cold phase of its target, and
// reports whether a phase has begun. The latest response counts, also if it ends the
// phase earlier.
func (registry *Registry) ObserveCold(id string, remaining time.Duration, now time.Time) bool {
	if _, known := registry.Target(id); !known {
		return false
	}
	coldness := registry.coldness
	coldness.mutex.Lock()
	defer coldness.mutex.Unlock()
	phase := coldness.phases[id]
	began := remaining > 0 && !phase.saidUntil.After(now)
	if remaining <= 0 && !phase.saidUntil.After(now) {
		return false
	}
	phase.saidUntil = now.Add(min(max(0, remaining), maxColdTime))
	phase.knownUntil = later(phase.knownUntil, phase.saidUntil)
	coldness.phases[id] = phase
	return began
}

// ColdReport tells another host that a target has said that it is cold.
type ColdReport struct {
	Remaining time.Duration `msgpack:"r,omitempty"`
}

// MergeCold records the cold phase of a target that another host reports. It reports
// whether a phase has begun.
func (registry *Registry) MergeCold(id string, report ColdReport, now time.Time) bool {
	if _, known := registry.Target(id); !known || report.Remaining <= 0 || report.Remaining > maxColdTime {
		return false
	}
	coldness := registry.coldness
	coldness.mutex.Lock()
	defer coldness.mutex.Unlock()
	phase := coldness.phases[id]
	until := now.Add(report.Remaining)
	if !phase.knownUntil.IsZero() && !until.After(phase.knownUntil.Add(coldReportLag)) {
		return false
	}
	began := !phase.saidUntil.After(now)
	phase.saidUntil, phase.knownUntil = until, until
	coldness.phases[id] = phase
	return began
}

// ColdReports returns what this host tells other hosts of cold targets, by target ID.
// Phases in entries are omitted: all hosts read the entries.
func (registry *Registry) ColdReports(now time.Time) map[string]ColdReport {
	coldness := registry.coldness
	coldness.mutex.Lock()
	defer coldness.mutex.Unlock()
	var reports map[string]ColdReport
	for id, phase := range coldness.phases {
		remaining := phase.saidUntil.Sub(now)
		if phase.saidUntil.IsZero() || remaining <= 0 || len(reports) >= maxColdReports {
			continue
		}
		if reports == nil {
			reports = make(map[string]ColdReport)
		}
		reports[id] = ColdReport{Remaining: remaining}
	}
	return reports
}

// EvictColdness forgets the phases of targets that are gone.
func (registry *Registry) EvictColdness(now time.Time) {
	gone := make(map[string]bool)
	coldness := registry.coldness
	coldness.mutex.Lock()
	for id, phase := range coldness.phases {
		if now.Sub(later(later(phase.entryUntil, phase.knownUntil), phase.brokenAt)) > coldMemory {
			gone[id] = true
		}
	}
	coldness.mutex.Unlock()
	for id := range gone {
		if _, known := registry.Target(id); known {
			delete(gone, id)
		}
	}
	coldness.mutex.Lock()
	defer coldness.mutex.Unlock()
	for id := range gone {
		delete(coldness.phases, id)
	}
}
