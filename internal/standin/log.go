// Package standin holds small stand-ins of the systems that the daemons meet:
// the platform's log and host list, a model engine, and a plain service. They
// are for development and tests and are not part of the daemon.
package standin

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/platform"
)

// Errors of the log.
var (
	ErrOutage = errors.New("log outage")
	ErrLost   = errors.New("answer lost")
	ErrRate   = errors.New("append rate exceeded")
)

// LogFaults is how the log misbehaves.
type LogFaults struct {
	Outage bool          `json:"outage"`
	Delay  time.Duration `json:"delay"`
	// LoseAnswers is the fraction of appends that take effect without an answer.
	LoseAnswers float64 `json:"lose_answers"`
	// Late is the fraction of appends that fail and take effect after LateBy.
	Late   float64       `json:"late"`
	LateBy time.Duration `json:"late_by"`
}

// Log is an append-only log in memory with offsets, limited retention and a
// bounded append rate. It implements platform.Log.
type Log struct {
	clock     clockwork.Clock
	random    func() float64
	retention time.Duration
	appends   *bucket

	mutex   sync.Mutex
	streams map[string]*stream
	faults  LogFaults
	counts  LogCounts
}

// LogCounts tells how the log was used.
type LogCounts struct {
	Appends     int64 `json:"appends"`
	Bytes       int64 `json:"bytes"`
	Reads       int64 `json:"reads"`
	RateRefused int64 `json:"rate_refused"`
}

type stream struct {
	first   int64
	entries []stored
	changed chan struct{}
}

type stored struct {
	at   time.Time
	data []byte
}

// NewLog returns an empty log. Random returns numbers from 0 to 1; rate is
// the number of appends taken a second over all streams.
func NewLog(clock clockwork.Clock, random func() float64, retention time.Duration, rate float64) *Log {
	return &Log{
		clock: clock, random: random, retention: retention, appends: newBucket(clock, rate, rate),
		streams: make(map[string]*stream),
	}
}

// SetFaults changes how the log misbehaves from now on.
func (log *Log) SetFaults(faults LogFaults) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	log.faults = faults
}

// Counts returns how the log was used so far.
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
	faults, err := log.enter(ctx)
	if err != nil {
		return 0, err
	}
	if !log.appends.take() {
		log.mutex.Lock()
		log.counts.RateRefused++
		log.mutex.Unlock()
		return 0, ErrRate
	}
	if faults.Late > 0 && log.random() < faults.Late {
		log.clock.AfterFunc(faults.LateBy, func() { log.add(name, data) })
		return 0, ErrLost
	}
	offset := log.add(name, data)
	if faults.LoseAnswers > 0 && log.random() < faults.LoseAnswers {
		return 0, ErrLost
	}
	return offset, nil
}

func (log *Log) enter(ctx context.Context) (LogFaults, error) {
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

func (log *Log) add(name string, data []byte) int64 {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	stream := log.stream(name)
	stream.entries = append(stream.entries, stored{at: log.clock.Now(), data: data})
	log.counts.Appends++
	log.counts.Bytes += int64(len(data))
	close(stream.changed)
	stream.changed = make(chan struct{})
	return stream.first + int64(len(stream.entries)) - 1
}

// pageBytes bounds the data of one page, beside its first entry.
const pageBytes = 4 << 20

// Read implements platform.Log.
func (log *Log) Read(ctx context.Context, name string, from int64, limit int, wait time.Duration) (platform.Page, error) {
	if _, err := log.enter(ctx); err != nil {
		return platform.Page{}, err
	}
	timeout := log.clock.After(wait)
	for {
		page, changed := log.page(name, from, limit)
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
		if _, err := log.enter(ctx); err != nil {
			return platform.Page{}, err
		}
	}
}

func (log *Log) page(name string, from int64, limit int) (platform.Page, chan struct{}) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	log.counts.Reads++
	stream := log.stream(name)
	now := log.clock.Now()
	for len(stream.entries) > 0 && log.retention > 0 && now.Sub(stream.entries[0].at) > log.retention {
		stream.entries = stream.entries[1:]
		stream.first++
	}
	page := platform.Page{First: stream.first, End: stream.first + int64(len(stream.entries))}
	size := 0
	for offset := max(from, stream.first); offset < page.End && size < pageBytes; offset++ {
		if limit > 0 && len(page.Entries) >= limit {
			break
		}
		entry := stream.entries[offset-stream.first]
		size += len(entry.data)
		page.Entries = append(page.Entries, platform.Entry{
			Offset: offset, AgeMillis: now.Sub(entry.at).Milliseconds(), Data: entry.data,
		})
	}
	return page, stream.changed
}

// bucket bounds a rate.
type bucket struct {
	clock  clockwork.Clock
	mutex  sync.Mutex
	rate   float64
	cap    float64
	tokens float64
	last   time.Time
}

func newBucket(clock clockwork.Clock, rate, cap float64) *bucket {
	return &bucket{clock: clock, rate: rate, cap: cap, tokens: cap, last: clock.Now()}
}

func (bucket *bucket) take() bool {
	bucket.mutex.Lock()
	defer bucket.mutex.Unlock()
	now := bucket.clock.Now()
	bucket.tokens = min(bucket.cap, bucket.tokens+bucket.rate*now.Sub(bucket.last).Seconds())
	bucket.last = now
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}
