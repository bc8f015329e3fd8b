// Package capacity enforces the request limits that targets announce in their
// responses. A limit is for all hosts together, so the hosts share what each has
// heard, and one of them, the coordinator of the target, grants permits from it.
package capacity

import (
	"math"
	"sync"
	"time"
)

const (
	// liftedReportTime is how long a host reports that a target has lifted its limit.
	// Hosts that were not reachable meanwhile find out with their next request.
	liftedReportTime = 10 * time.Second
	// reportPause is how long a host leaves the reports on a target to the other
	// host that it heard from last: a few status intervals.
	reportPause = 600 * time.Millisecond
	// reportLag is the largest inaccuracy of an age: the timeout of a status
	// exchange, with a margin.
	reportLag = 500 * time.Millisecond
)

// Announcement is the statement of a target about the requests that it accepts
// from all hosts together.
type Announcement struct {
	Limited    bool
	Rate       float64 // requests a second, if limited
	Boot       int64   // start time of the target in Unix milliseconds; a restarted target is not bound by its earlier statements
	ObservedAt time.Time
	reportedAt time.Time // another host reported the same
}

// sameLimit reports whether two announcements say the same.
func (announcement Announcement) sameLimit(other Announcement) bool {
	return announcement.Limited == other.Limited && announcement.Rate == other.Rate && announcement.Boot == other.Boot
}

// Report is an announcement in a message to another host. It contains an age,
// because the clocks of hosts differ.
type Report struct {
	Limited bool          `msgpack:"l,omitempty"`
	Rate    float64       `msgpack:"r,omitempty"`
	Boot    int64         `msgpack:"b,omitempty"`
	Age     time.Duration `msgpack:"a,omitempty"` // since the response
}

// Board contains the latest announcement of each target. It is safe for
// concurrent use.
type Board struct {
	mutex         sync.Mutex
	announcements map[string]Announcement // by target ID; targets that never announced a limit are omitted
}

// NewBoard returns an empty board.
func NewBoard() *Board { return &Board{announcements: make(map[string]Announcement)} }

// Observe records an announcement from a response that this host has received.
// It reports whether the limit of the target has changed.
func (board *Board) Observe(target string, announcement Announcement) bool {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	previous, known := board.announcements[target]
	if known && announcement.sameLimit(previous) {
		announcement.reportedAt = previous.reportedAt
	}
	return board.record(target, announcement)
}

// Merge records an announcement that another host reports. It reports whether the
// limit of the target has changed.
func (board *Board) Merge(target string, report Report, now time.Time) bool {
	if report.Age < 0 || !validRate(report.Rate) {
		return false
	}
	announcement := Announcement{Limited: report.Limited, Rate: report.Rate, Boot: report.Boot, ObservedAt: now.Add(-report.Age), reportedAt: now}
	board.mutex.Lock()
	defer board.mutex.Unlock()
	previous, known := board.announcements[target]
	if known && announcement.sameLimit(previous) && announcement.ObservedAt.Sub(previous.ObservedAt) < reportLag {
		// Hosts that repeat each other's reports must not make them appear newer.
		previous.reportedAt = now
		board.announcements[target] = previous
		return false
	}
	return board.record(target, announcement)
}

// validRate reports whether a rate from another host is a number of requests a
// second.
func validRate(rate float64) bool { return rate >= 0 && rate <= math.MaxFloat64 }

// record replaces the announcement of a target unless a later one is known. The
// caller must hold the mutex.
func (board *Board) record(target string, announcement Announcement) bool {
	previous, known := board.announcements[target]
	if !known && !announcement.Limited || known && announcement.ObservedAt.Before(previous.ObservedAt) {
		return false
	}
	board.announcements[target] = announcement
	return !announcement.sameLimit(previous)
}

// Limit returns the requests a second that a target accepts from all hosts
// together, and false if it announces no limit since its start.
func (board *Board) Limit(target string, boot int64) (float64, bool) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	announcement := board.announcements[target]
	if !announcement.Limited || announcement.Boot != boot {
		return 0, false
	}
	return announcement.Rate, true
}

// Limits returns the announcements of the targets that announce a limit, by
// target ID.
func (board *Board) Limits() map[string]Announcement {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	limits := make(map[string]Announcement)
	for target, announcement := range board.announcements {
		if announcement.Limited {
			limits[target] = announcement
		}
	}
	return limits
}

// Reports returns what this host tells the other hosts, by target ID: the limits,
// and those lifted recently, that no other host has just reported.
func (board *Board) Reports(now time.Time) map[string]Report { return board.reports(now, reportPause) }

// AllReports returns what a host that passes on the reports of others tells, by target
// ID: all limits, and those lifted recently.
func (board *Board) AllReports(now time.Time) map[string]Report { return board.reports(now, 0) }

// reports returns the announcements that no other host has reported for a time.
func (board *Board) reports(now time.Time, pause time.Duration) map[string]Report {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	var reports map[string]Report
	for target, announcement := range board.announcements {
		age := max(0, now.Sub(announcement.ObservedAt))
		if now.Sub(announcement.reportedAt) < pause || !announcement.Limited && age > liftedReportTime {
			continue
		}
		if reports == nil {
			reports = make(map[string]Report)
		}
		reports[target] = Report{Limited: announcement.Limited, Rate: announcement.Rate, Boot: announcement.Boot, Age: age}
	}
	return reports
}

// Retain deletes the announcements of the targets for which keep returns false.
func (board *Board) Retain(keep func(target string) bool) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	for target := range board.announcements {
		if !keep(target) {
			delete(board.announcements, target)
		}
	}
}
