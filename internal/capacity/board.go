// Package capacity enforces the request limits that targets announce in their
// responses. A limit is for all hosts together.
package capacity

import (
	"sync"
	"time"
)

// Announcement is the statement of a target about the requests that it accepts
// from all hosts together.
type Announcement struct {
	Limited    bool
	Rate       float64 // requests a second, if limited
	ObservedAt time.Time
}

// Board contains the latest announcement of each target. It is safe for
// concurrent use.
type Board struct {
	mutex         sync.Mutex
	announcements map[string]Announcement // by target ID; targets that never announced a limit are omitted
}

// NewBoard returns an empty board.
func NewBoard() *Board { return &Board{announcements: make(map[string]Announcement)} }

// Observe records an announcement unless a later one is known. It reports
// whether the limit of the target has changed.
func (board *Board) Observe(target string, announcement Announcement) bool {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	previous, known := board.announcements[target]
	if !known && !announcement.Limited {
		return false
	}
	if known && announcement.ObservedAt.Before(previous.ObservedAt) {
		return false
	}
	board.announcements[target] = announcement
	return previous.Limited != announcement.Limited || previous.Rate != announcement.Rate
}

// Limit returns the requests a second that a target accepts from all hosts
// together, and false if it announces no limit.
func (board *Board) Limit(target string) (float64, bool) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	announcement := board.announcements[target]
	return announcement.Rate, announcement.Limited
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
