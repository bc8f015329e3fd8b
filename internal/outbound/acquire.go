package outbound

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/godwitspread/godwitspread/internal/socket"
)

// acquire returns an idle connection to a target, or opens one.
func (pool *Pool) acquire(ctx context.Context, id, address string) (*conn, error) {
	key := id + "@" + address
	for {
		connection := pool.popIdle(key)
		if connection == nil {
			break
		}
		if pool.clock.Since(connection.idleSince) < connection.idleTimeout && !socket.HasInput(connection.Conn) {
			return connection, nil
		}
		connection.Close()
	}
	if pool.Lost() {
		return pool.acquireRelayed(ctx, id, ErrTargetsLost)
	}
	opened, err := pool.connect(ctx, id, address)
	if err == nil {
		return newConn(opened, key, pool.reachability), nil
	}
	if ctx.Err() == nil && pool.reachability.mostlyFailing() {
		return pool.acquireRelayed(ctx, id, err)
	}
	return nil, err
}

// ErrTargetsLost is returned if neither this host nor another one reaches targets.
var ErrTargetsLost = errors.New("no host reaches targets")

// acquireRelayed returns a connection to a target through another host. It returns
// the given error if no other host reaches targets.
func (pool *Pool) acquireRelayed(ctx context.Context, id string, err error) (*conn, error) {
	if pool.relay == nil || !pool.relay.Available() {
		return nil, err
	}
	connection := newConn(newRelayedConn(ctx, pool.relay, id), "", newReachability(pool.clock))
	connection.relayed = true
	return connection, nil
}

// connect opens a connection to a target, and records if the target cannot be connected to.
func (pool *Pool) connect(ctx context.Context, id, address string) (net.Conn, error) {
	began := pool.clock.Now()
	opened, err := pool.tryConnect(ctx, id, address)
	if err != nil && ctx.Err() == nil && !(isTimeout(err) && pool.late(began, dialTimeout)) {
		pool.reachability.connectFailed(id)
	}
	return opened, err
}

// isTimeout reports whether an error is a time-out of the network.
func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// tryConnect opens a connection to a target. It records success only.
func (pool *Pool) tryConnect(ctx context.Context, id, address string) (net.Conn, error) {
	started := pool.clock.Now()
	opened, err := pool.dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("connect to target %q: %w", id, err)
	}
	if pool.observeConnect != nil {
		pool.observeConnect(id, pool.clock.Since(started))
	}
	pool.reachability.connected()
	pool.mutex.Lock()
	pool.opened++
	pool.mutex.Unlock()
	return opened, nil
}

// popIdle removes and returns the connection that was used most recently.
func (pool *Pool) popIdle(key string) *conn {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	list := pool.idle[key]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	pool.idle[key] = list[:len(list)-1]
	return last
}

// release adds a connection to the pool. If the target has too many idle ones,
// it closes the oldest.
func (pool *Pool) release(connection *conn) {
	if connection.reader.Buffered() > 0 || connection.idleTimeout <= 0 {
		connection.Close()
		return
	}
	if err := connection.SetDeadline(time.Time{}); err != nil {
		connection.Close()
		return
	}
	connection.idleSince = pool.clock.Now()
	pool.mutex.Lock()
	list := pool.idle[connection.key]
	var oldest *conn
	if len(list) >= pool.idleLimitOf(connection.key) {
		oldest, list = list[0], list[1:]
	}
	pool.idle[connection.key] = append(list, connection)
	pool.mutex.Unlock()
	if oldest != nil {
		oldest.Close()
	}
}

// idleLimitOf returns the maximum number of idle connections for a key. The
// caller must hold the mutex.
func (pool *Pool) idleLimitOf(key string) int {
	id, _, _ := strings.Cut(key, "@")
	if limit, ok := pool.idleLimits[id]; ok {
		return min(max(1, limit), maxIdlePerTarget)
	}
	return maxIdlePerTarget
}

// SetIdleLimits sets the maximum number of idle connections by target ID. The limits
// must leave each target capacity for the connections that all hosts together have
// in use.
func (pool *Pool) SetIdleLimits(limits map[string]int) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.idleLimits = limits
}

// CloseIdle closes the idle connections to targets for which keep returns
// false, and those whose idle timeout has expired.
func (pool *Pool) CloseIdle(keep func(id string) bool) {
	pool.mutex.Lock()
	var expired []*conn
	now := pool.clock.Now()
	for key, list := range pool.idle {
		id, _, _ := strings.Cut(key, "@")
		kept := list[:0]
		for _, connection := range list {
			if keep(id) && now.Sub(connection.idleSince) < connection.idleTimeout {
				kept = append(kept, connection)
			} else {
				expired = append(expired, connection)
			}
		}
		if len(kept) == 0 {
			delete(pool.idle, key)
		} else {
			pool.idle[key] = kept
		}
	}
	pool.mutex.Unlock()
	for _, connection := range expired {
		connection.Close()
	}
}
