package quota

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"
)

// maxProgramKeyBytes is the length from which an account keeps the digest of a program's
// ID. Callers choose the ID in any length that fits in the headers of a request.
const maxProgramKeyBytes = 64

// programKey returns the ID of a program, or its digest if it is long. The digest is
// longer than any ID that is kept as it is, so that no caller can name it. The ID is
// copied because it may be part of a larger text.
func programKey(id string) string {
	if len(id) <= maxProgramKeyBytes {
		return strings.Clone(id)
	}
	digest := sha256.Sum256([]byte(id))
	return "sha256:" + hex.EncodeToString(digest[:])
}

// program is an active program of the workspace.
type program struct {
	id          string // as returned by programKey
	route       string
	requests    int
	rate        float64 // expected requests a second
	started     time.Time
	lastRequest time.Time
	timeLeft    time.Duration // until the program's deadline, as of its first request; 0 without a deadline
}

// expectedEnd estimates when the program ends.
func (program *program) expectedEnd(profile *profile) time.Time {
	if program.timeLeft <= 0 {
		return program.lastRequest.Add(maxRequestGap)
	}
	return program.started.Add(time.Duration(float64(program.timeLeft) * profile.timeLeftFraction))
}

// need estimates how many requests the program makes within the horizon.
func (program *program) need(profile *profile, horizon time.Duration, now time.Time) float64 {
	idle := now.Sub(program.lastRequest)
	remaining := program.expectedEnd(profile).Sub(now)
	if idle >= maxRequestGap || remaining <= 0 && idle >= typicalRequestGap {
		return 0
	}
	return program.rate * min(horizon, max(remaining, typicalRequestGap)).Seconds()
}

// RouteProfiles contains the averages of ended programs, by the route on which
// they started. All workspaces share them.
type RouteProfiles struct{ byRoute map[string]*profile }

// NewRouteProfiles returns empty profiles.
func NewRouteProfiles() *RouteProfiles { return &RouteProfiles{byRoute: make(map[string]*profile)} }

// profile is the average program that starts on a route.
type profile struct {
	requests         float64
	duration         time.Duration
	timeLeftFraction float64 // used part of the time to the deadline at the first request
}

func (profile *profile) rate() float64 {
	return profile.requests / max(profile.duration, minDuration).Seconds()
}

func (profiles *RouteProfiles) forRoute(route string) *profile {
	found, ok := profiles.byRoute[route]
	if !ok {
		found = &profile{requests: initialRequests, duration: initialDuration, timeLeftFraction: initialTimeLeftFraction}
		profiles.byRoute[route] = found
	}
	return found
}

// record adds a program that has ended to the profile of its route.
func (profiles *RouteProfiles) record(program *program) {
	profile := profiles.forRoute(program.route)
	profile.requests += profileWeight * (float64(program.requests) - profile.requests)
	duration := program.lastRequest.Sub(program.started)
	profile.duration += time.Duration(profileWeight * float64(duration-profile.duration))
	if program.timeLeft > 0 {
		profile.timeLeftFraction += profileWeight * (min(1, float64(duration)/float64(program.timeLeft)) - profile.timeLeftFraction)
	}
}
