package outbound

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// exchangeMemory is how long a host remembers exchanges that it has sent to a target
	// or that were revoked.
	exchangeMemory = 10 * time.Second
	// RevocationWindow is the time since an exchange was requested after which the response
	// to its revocation proves nothing: the other host may have forgotten what it has sent.
	// Hosts revoke within a second, unless they were suspended.
	RevocationWindow = exchangeMemory / 2
	maxRemembered    = 4096 // sent exchanges, and as many revoked ones
)

// Revocation asks another host not to send a request to a target any more.
type Revocation struct {
	ID          string `msgpack:"i"` // of the ExchangeRequest
	Incarnation string `msgpack:"n"` // of the host to which the request was sent
}

// exchangeLog records which requests of other hosts this host has sent to targets, and
// which were revoked before. It is safe for concurrent use.
type exchangeLog struct {
	clock clockwork.Clock

	mutex   sync.Mutex
	sent    exchangeSet
	revoked exchangeSet
	lostAt  time.Time // when the last sent request was dropped that was still needed
}

func newExchangeLog(clock clockwork.Clock) *exchangeLog {
	return &exchangeLog{clock: clock, sent: newExchangeSet(), revoked: newExchangeSet()}
}

// claim records that a request is about to be sent. It returns false if it was revoked, or
// has been claimed before.
func (exchangeLog *exchangeLog) claim(id string) bool {
	exchangeLog.mutex.Lock()
	defer exchangeLog.mutex.Unlock()
	if exchangeLog.revoked.has(id) || exchangeLog.sent.has(id) {
		return false
	}
	now := exchangeLog.clock.Now()
	exchangeLog.sent.expire(now)
	if exchangeLog.sent.full() {
		exchangeLog.sent.dropOldest()
		exchangeLog.lostAt = now
	}
	exchangeLog.sent.add(id, now)
	return true
}

// revoke keeps a request from being sent. It returns false if it may have been sent, or if
// too many others were revoked: a revocation that was dropped would let its request be sent.
func (exchangeLog *exchangeLog) revoke(id string) bool {
	exchangeLog.mutex.Lock()
	defer exchangeLog.mutex.Unlock()
	now := exchangeLog.clock.Now()
	switch {
	case exchangeLog.revoked.has(id):
		return true
	case exchangeLog.sent.has(id):
		return false
	case !exchangeLog.lostAt.IsZero() && now.Sub(exchangeLog.lostAt) < exchangeMemory:
		return false
	}
	exchangeLog.revoked.expire(now)
	if exchangeLog.revoked.full() {
		return false
	}
	exchangeLog.revoked.add(id, now)
	return true
}

// exchangeSet contains the IDs of at most maxRemembered exchanges.
type exchangeSet struct {
	times map[string]time.Time // by ID
	order []string             // IDs, oldest first
}

func newExchangeSet() exchangeSet { return exchangeSet{times: make(map[string]time.Time)} }

func (exchangeSet *exchangeSet) has(id string) bool {
	_, known := exchangeSet.times[id]
	return known
}

func (exchangeSet *exchangeSet) full() bool { return len(exchangeSet.order) >= maxRemembered }

func (exchangeSet *exchangeSet) add(id string, now time.Time) {
	exchangeSet.times[id] = now
	exchangeSet.order = append(exchangeSet.order, id)
}

// expire drops the IDs that are not needed any more.
func (exchangeSet *exchangeSet) expire(now time.Time) {
	for len(exchangeSet.order) > 0 && now.Sub(exchangeSet.times[exchangeSet.order[0]]) >= exchangeMemory {
		exchangeSet.dropOldest()
	}
}

func (exchangeSet *exchangeSet) dropOldest() {
	delete(exchangeSet.times, exchangeSet.order[0])
	exchangeSet.order = exchangeSet.order[1:]
}

// RevokeExchange keeps a request of another host from being sent to a target. It returns
// false if the request may have been sent.
func (pool *Pool) RevokeExchange(id string) bool { return pool.exchanges.revoke(id) }
