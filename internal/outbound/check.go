package outbound

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// checkTimeout limits a connection attempt of a check: many times the latency
// within a region.
const checkTimeout = 200 * time.Millisecond

// maxLag is how late a time-out may be noticed. A host that notices it later did not get
// the processor meanwhile, so that the silence says nothing about the targets.
const maxLag = 50 * time.Millisecond

// late reports whether an attempt that began at a time has noticed its time-out too late.
func (pool *Pool) late(began time.Time, timeout time.Duration) bool {
	return pool.clock.Since(began) > timeout+maxLag
}

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

// findings are the result of connecting to a sample of targets.
type findings uint8

const (
	connects  findings = iota // at least one accepts connections
	allRefuse                 // all refuse connections
	noAnswer
	tooLate // none has answered, but this host did not get the processor in time
)

// Check connects to a sample of the targets. The host has lost its targets if none
// of them can be connected to. It returns whether that has changed, and for how long
// the targets were lost if they are reached again. A check for which this host was too
// slow changes nothing.
func (pool *Pool) Check(ctx context.Context, sample []Endpoint) (lostFor time.Duration, changed bool) {
	found := pool.connectToAny(ctx, sample)
	if found == tooLate {
		return 0, false
	}
	lostFor, changed = pool.reachability.decide(len(sample) > 0 && found != connects)
	if changed && pool.Lost() && found != allRefuse {
		// Connections on which a cut shows as silence would keep requests waiting.
		pool.CloseIdle(func(string) bool { return false })
	}
	return lostFor, changed
}

// Crashed reports whether a target refuses connections because its process has
// ended: others accept them, or another host finds the same. A host that has lost all
// targets may see each of them refuse connections.
func (pool *Pool) Crashed(ctx context.Context, target Endpoint, others []Endpoint) bool {
	if !pool.Lost() {
		if !pool.Refuses(ctx, target.Address) {
			return false
		}
		if len(others) == 0 || pool.connectToAny(ctx, others) == connects {
			return true
		}
	}
	if pool.relay == nil {
		return false
	}
	err := pool.relay.Exchange(ctx, ExchangeRequest{Target: target.ID}, func([]byte) error { return nil })
	return errors.Is(err, ErrRefused)
}

// connectToAny connects to a sample of targets until one of them accepts. The result for
// an empty sample is allRefuse.
func (pool *Pool) connectToAny(ctx context.Context, sample []Endpoint) findings {
	began := pool.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	refused := true
	results := make(chan error, len(sample))
	for _, endpoint := range sample {
		go func() {
			// A failure recorded after another target has been reached would make the
			// host suspect that it has lost all of them.
			opened, err := pool.tryConnect(ctx, endpoint.ID, endpoint.Address)
			if err == nil {
				opened.Close()
			}
			results <- err
		}()
	}
	for range sample {
		err := <-results
		if err == nil {
			return connects
		}
		refused = refused && errors.Is(err, syscall.ECONNREFUSED)
	}
	if !refused && pool.late(began, checkTimeout) {
		return tooLate
	}
	for _, endpoint := range sample {
		pool.reachability.connectFailed(endpoint.ID)
	}
	if refused {
		return allRefuse
	}
	return noAnswer
}
