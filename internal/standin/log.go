// Package standin simulates the systems that the daemons depend on: the
// platform's log and host list, a model engine, and a plain service. It is for
// development and tests and is not part of the daemon.
package standin

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/platform"
)

// Errors returned by the log.
var (
	ErrOutage       = errors.New("log outage")
	ErrResponseLost = errors.New("answer lost")
	ErrRateExceeded = errors.New("append rate exceeded")
)

// LogFaults are the faults that a log injects.
type LogFaults struct {
	Outage bool          `json:"outage"`
	Delay  time.Duration `json:"delay"`
	// LostResponses is the fraction of appends that succeed but return
	// ErrResponseLost.
	LostResponses float64 `json:"lose_answers"`
	// DelayedAppends is the fraction of appends that return ErrResponseLost and
	// take effect after AppendDelay.
	DelayedAppends float64       `json:"late"`
	AppendDelay    time.Duration `json:"late_by"`
}

// Log is an append-only log in memory with limited retention and a limited
// append rate. It implements platform.Log.
type Log struct {
	clock       clockwork.Clock
	random      func() float64
	retention   time.Duration
	appendLimit *tokenBucket

	mutex   sync.Mutex
	streams map[string]*stream
	faults  LogFaults
	counts  LogCounts
}

// LogCounts are usage counters of a log.
type LogCounts struct {
	Appends     int64 `json:"appends"`
	Bytes       int64 `json:"bytes"`
	Reads       int64 `json:"reads"`
	RateRefused int64 `json:"rate_refused"`
}

type stream struct {
	firstOffset int64
	entries     []storedEntry
	changed     chan struct{}
}

type storedEntry struct {
	at   time.Time
	data []byte
}

// NewLog returns an empty log. Random returns numbers from 0 to 1. Rate is the
// number of appends allowed per second over all streams.
func NewLog(clock clockwork.Clock, random func() float64, retention time.Duration, rate float64) *Log {
	return &Log{
		clock: clock, random: random, retention: retention, appendLimit: newTokenBucket(clock, rate, rate),
		streams: make(map[string]*stream),
	}
}

// SetFaults replaces the injected faults.
func (log *Log) SetFaults(faults LogFaults) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	log.faults = faults
}

// Counts returns the usage counters.
func (log *Log) Counts() LogCounts {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	return log.counts
}

func (log *Log) stream(name string) *stream {
	found, ok := log.streams[name]
	if !ok {
		found = &stream{changed: make(chan struct{})}
		log.streams[name] = found
	}
	return found
}

// Append implements platform.Log.
func (log *Log) Append(ctx context.Context, name string, data []byte) (int64, error) {
	faults, err := log.applyFaults(ctx)
	if err != nil {
		return 0, err
	}
	if !log.appendLimit.allow() {
		log.mutex.Lock()
		log.counts.RateRefused++
		log.mutex.Unlock()
		return 0, ErrRateExceeded
	}
	if faults.DelayedAppends > 0 && log.random() < faults.DelayedAppends {
		log.clock.AfterFunc(faults.AppendDelay, func() { log.appendEntry(name, data) })
		return 0, ErrResponseLost
	}
	offset := log.appendEntry(name, data)
	if faults.LostResponses > 0 && log.random() < faults.LostResponses {
		return 0, ErrResponseLost
	}
	return offset, nil
}

// applyFaults waits for the injected delay and returns ErrOutage during an
// injected outage. It also returns the faults in effect.
func (log *Log) applyFaults(ctx context.Context) (LogFaults, error) {
	log.mutex.Lock()
	faults := log.faults
	log.mutex.Unlock()
	if faults.Delay > 0 {
		select {
		case <-ctx.Done():
			return faults, ctx.Err()
		case <-log.clock.After(faults.Delay):
		}
	}
	if faults.Outage {
		return faults, ErrOutage
	}
	return faults, nil
}

func (log *Log) appendEntry(name string, data []byte) int64 {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	stream := log.stream(name)
	stream.entries = append(stream.entries, storedEntry{at: log.clock.Now(), data: data})
	log.counts.Appends++
	log.counts.Bytes += int64(len(data))
	close(stream.changed)
	stream.changed = make(chan struct{})
	return stream.firstOffset + int64(len(stream.entries)) - 1
}

// maxPageBytes is the size at which a page ends. The last entry may exceed it, so
// that a page always includes at least one entry.
const maxPageBytes = 4 << 20

// Read implements platform.Log.
func (log *Log) Read(ctx context.Context, name string, from int64, limit int, wait time.Duration) (platform.Page, error) {
	if _, err := log.applyFaults(ctx); err != nil {
		return platform.Page{}, err
	}
	timeout := log.clock.After(wait)
	for {
		page, changed := log.readPage(name, from, limit)
		if len(page.Entries) > 0 || wait <= 0 {
			return page, nil
		}
		select {
		case <-ctx.Done():
			return platform.Page{}, ctx.Err()
		case <-timeout:
			return page, nil
		case <-changed:
		}
		if _, err := log.applyFaults(ctx); err != nil {
			return platform.Page{}, err
		}
	}
}

func (log *Log) readPage(name string, from int64, limit int) (platform.Page, chan struct{}) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	log.counts.Reads++
	stream := log.stream(name)
	now := log.clock.Now()
	for len(stream.entries) > 0 && log.retention > 0 && now.Sub(stream.entries[0].at) > log.retention {
		stream.entries = stream.entries[1:]
		stream.firstOffset++
	}
	page := platform.Page{First: stream.firstOffset, End: stream.firstOffset + int64(len(stream.entries))}
	size := 0
	for offset := max(from, stream.firstOffset); offset < page.End && size < maxPageBytes; offset++ {
		if limit > 0 && len(page.Entries) >= limit {
			break
		}
		entry := stream.entries[offset-stream.firstOffset]
		size += len(entry.data)
		page.Entries = append(page.Entries, platform.Entry{
			Offset: offset, AgeMillis: now.Sub(entry.at).Milliseconds(), Data: entry.data,
		})
	}
	return page, stream.changed
}

// tokenBucket limits a rate.
type tokenBucket struct {
	clock      clockwork.Clock
	mutex      sync.Mutex
	rate       float64
	capacity   float64
	tokens     float64
	lastRefill time.Time
}

func newTokenBucket(clock clockwork.Clock, rate, capacity float64) *tokenBucket {
	return &tokenBucket{clock: clock, rate: rate, capacity: capacity, tokens: capacity, lastRefill: clock.Now()}
}

func (tokenBucket *tokenBucket) allow() bool {
	tokenBucket.mutex.Lock()
	defer tokenBucket.mutex.Unlock()
	now := tokenBucket.clock.Now()
	tokenBucket.tokens = min(tokenBucket.capacity, tokenBucket.tokens+tokenBucket.rate*now.Sub(tokenBucket.lastRefill).Seconds())
	tokenBucket.lastRefill = now
	if tokenBucket.tokens < 1 {
		return false
	}
	tokenBucket.tokens--
	return true
}
