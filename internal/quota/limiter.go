// Package quota divides each workspace's rate over the hosts by their demand.
// It does no input or output: hosts tell each other their demand elsewhere.
package quota

import (
	"math"
	"sync"
	"time"
)

// Limit is a workspace's rate over all hosts together.
type Limit struct {
	Rate  float64 // requests a second
	Burst float64
}

const (
	demandTime  = 700 * time.Millisecond // time constant of the average of demand; a few exchanges between hosts
	leastRetry  = 50 * time.Millisecond
	mostRetry   = 2 * time.Second
	idleForget  = time.Minute
	peerHorizon = 30 * time.Second // a host unheard for longer no longer counts
)

// Limiter admits requests on one host.
type Limiter struct {
	mutex   sync.Mutex
	buckets map[string]*bucket
	peers   map[string]*peer
}

type bucket struct {
	limit   Limit
	tokens  float64
	demand  float64 // requests a second that came here
	updated time.Time
	share   float64 // of the rate that is this host's
}

type peer struct {
	demand map[string]float64
	heard  time.Time
}

// NewLimiter returns a limiter that knows no other host.
func NewLimiter() *Limiter {
	return &Limiter{buckets: make(map[string]*bucket), peers: make(map[string]*peer)}
}

// Admit takes a token of a workspace. If there is none it returns when to try
// again.
func (limiter *Limiter) Admit(workspace string, limit Limit, now time.Time) (bool, time.Duration) {
	if limit.Rate <= 0 {
		return true, 0
	}
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	one := limiter.bucket(workspace, limit, now)
	one.demand += float64(time.Second) / float64(demandTime)
	if one.tokens >= 1 {
		one.tokens--
		return true, 0
	}
	rate := math.Max(limit.Rate*one.share, 0.5)
	wait := time.Duration((1 - one.tokens) / rate * float64(time.Second))
	return false, min(max(wait, leastRetry), mostRetry)
}

func (limiter *Limiter) bucket(workspace string, limit Limit, now time.Time) *bucket {
	one, ok := limiter.buckets[workspace]
	if !ok {
		one = &bucket{limit: limit, updated: now}
		limiter.buckets[workspace] = one
		one.share = limiter.shareOf(workspace, one)
		one.tokens = limit.Burst * one.share
	}
	one.limit = limit
	limiter.advance(workspace, one, now)
	return one
}

// advance refills a bucket and lets its demand fade.
func (limiter *Limiter) advance(workspace string, one *bucket, now time.Time) {
	passed := now.Sub(one.updated)
	if passed <= 0 {
		return
	}
	one.updated = now
	one.demand *= math.Exp(-float64(passed) / float64(demandTime))
	one.share = limiter.shareOf(workspace, one)
	one.tokens = math.Min(one.tokens+one.limit.Rate*one.share*passed.Seconds(), math.Max(one.limit.Burst*one.share, 1))
}

// shareOf returns this host's part of a rate: its demand and an equal part of
// what nobody asks for, or the part of its demand if more is asked for than
// there is.
func (limiter *Limiter) shareOf(workspace string, one *bucket) float64 {
	total := one.demand
	for _, peer := range limiter.peers {
		total += peer.demand[workspace]
	}
	hosts := float64(1 + len(limiter.peers))
	spare := one.limit.Rate - total
	if spare >= 0 {
		return (one.demand + spare/hosts) / one.limit.Rate
	}
	return one.demand / total
}

// Hear takes another host's demand by workspace.
func (limiter *Limiter) Hear(host string, demand map[string]float64, now time.Time) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.peers[host] = &peer{demand: demand, heard: now}
}

// Expect counts a host that has not been heard yet.
func (limiter *Limiter) Expect(host string, now time.Time) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if _, ok := limiter.peers[host]; !ok {
		limiter.peers[host] = &peer{heard: now}
	}
}

// Demand returns what this host is asked for, by workspace. It forgets
// workspaces and hosts that have been silent for long.
func (limiter *Limiter) Demand(now time.Time) map[string]float64 {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	for host, peer := range limiter.peers {
		if now.Sub(peer.heard) > peerHorizon {
			delete(limiter.peers, host)
		}
	}
	demand := make(map[string]float64, len(limiter.buckets))
	for workspace, one := range limiter.buckets {
		if now.Sub(one.updated) > idleForget {
			delete(limiter.buckets, workspace)
			continue
		}
		limiter.advance(workspace, one, now)
		if one.demand >= 0.05 {
			demand[workspace] = math.Round(one.demand*100) / 100
		}
	}
	return demand
}
