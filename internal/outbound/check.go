package outbound

import (
	"context"
	"time"
)

// checkTimeout limits a connection attempt of a check: many times the latency
// within a region.
const checkTimeout = 200 * time.Millisecond

// Endpoint is a target with its address.
type Endpoint struct {
	ID      string
	Address string
}

// Suspect reports whether the host may have lost all targets, so that Check must
// find out.
func (pool *Pool) Suspect() bool { return pool.reachability.suspect() }

// Lost reports whether this host reaches no target.
func (pool *Pool) Lost() bool { return pool.reachability.isLost() }

// Check connects to a sample of the targets. The host has lost its targets if none
// of them can be connected to. It returns whether that has changed, and for how long
// the targets were lost if they are reached again.
func (pool *Pool) Check(ctx context.Context, sample []Endpoint) (lostFor time.Duration, changed bool) {
	return pool.reachability.decide(len(sample) > 0 && !pool.connectsToAny(ctx, sample))
}

// connectsToAny reports whether any of the targets can be connected to.
func (pool *Pool) connectsToAny(ctx context.Context, sample []Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	results := make(chan error, len(sample))
	for _, endpoint := range sample {
		go func() {
			opened, err := pool.connect(ctx, endpoint.ID, endpoint.Address)
			if err == nil {
				opened.Close()
			}
			results <- err
		}()
	}
	for range sample {
		if err := <-results; err == nil {
			return true
		}
	}
	return false
}
