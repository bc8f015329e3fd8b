package origin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/hostclock"
	"github.com/godwitspread/godwitspread/internal/store"
)

// Topic is the topic of the store with the origins of streams that began while their
// service had several software versions.
const Topic = "origins"

// archiveListAge is how old the listing of a partition may be: streams that began since
// are known to running hosts.
const archiveListAge = time.Second

// Archive keeps origins in the store, so that they outlive all hosts.
type Archive struct {
	store      store.Store
	writer     *store.Writer
	expirer    *store.Expirer
	clock      clockwork.Clock
	logger     log.Interface
	partitions []*archivePartition
}

// archivePartition is the last listing of a partition.
type archivePartition struct {
	mutex    sync.Mutex
	origins  map[string]Origin // by the key of the record
	listedAt time.Time
}

// archivedOrigin is the value of a record.
type archivedOrigin struct {
	Origin  Origin `msgpack:"o"`
	Expires int64  `msgpack:"e"` // Unix milliseconds on the clock of the host that stored it
}

// expired reports whether nobody resumes the stream any more, whichever of the clocks of the
// host that stored the origin and of this one is off. An origin that is kept too long does no
// harm: it is still where the stream began.
func (archivedOrigin *archivedOrigin) expired(now time.Time) bool {
	return now.Add(-hostclock.Tolerance).UnixMilli() > archivedOrigin.Expires
}

// NewArchive returns an archive in the given number of partitions.
func NewArchive(origins store.Store, writer *store.Writer, expirer *store.Expirer, clock clockwork.Clock, logger log.Interface, partitions int) *Archive {
	archive := &Archive{store: origins, writer: writer, expirer: expirer, clock: clock, logger: logger}
	for range partitions {
		archive.partitions = append(archive.partitions, &archivePartition{})
	}
	return archive
}

// locate returns the partition and the key of a stream's record.
func (archive *Archive) locate(key Key) (partition int, name string) {
	name = fmt.Sprintf("%s|%x", key.Attempt, xxhash.Sum64String(key.Workspace))
	return int(xxhash.Sum64String(name) % uint64(len(archive.partitions))), name
}

// Save queues a record for the store. It does not wait, since a stream whose record is
// lost is only refused.
func (archive *Archive) Save(record Record) {
	lifetime := min(record.TTL, MaxTTL)
	value, err := codec.Marshal(archivedOrigin{Origin: record.Origin, Expires: archive.clock.Now().Add(lifetime).UnixMilli()})
	partition, name := archive.locate(record.Key)
	if err == nil {
		_, err = archive.writer.Queue(Topic, partition, store.Record{Key: name, Value: value})
	}
	if err != nil {
		archive.logger.WithError(err).WithField("attempt", record.Key.Attempt).Warn("origin of a stream was not stored")
		return
	}
	archive.expirer.DeleteAfter(Topic, partition, lifetime, name)
}

// Find reads the origin of a stream from the store.
func (archive *Archive) Find(ctx context.Context, key Key) (Origin, bool) {
	number, name := archive.locate(key)
	partition := archive.partitions[number]
	partition.mutex.Lock()
	defer partition.mutex.Unlock()
	if found, ok := partition.origins[name]; ok {
		return found, true
	}
	now := archive.clock.Now()
	if !partition.listedAt.IsZero() && now.Sub(partition.listedAt) < archiveListAge {
		return Origin{}, false
	}
	origins := make(map[string]Origin)
	_, err := store.Scan(ctx, archive.store, Topic, number, func(records []store.Record) {
		archive.decode(records, now, origins)
	})
	if err != nil {
		archive.logger.WithError(err).WithField("attempt", key.Attempt).Info("origins of streams could not be read")
		return Origin{}, false
	}
	partition.listedAt, partition.origins = now, origins
	found, ok := partition.origins[name]
	return found, ok
}

// decode adds the origins of a page that have not expired.
func (archive *Archive) decode(records []store.Record, now time.Time, origins map[string]Origin) {
	for _, record := range records {
		var decoded archivedOrigin
		if err := codec.Unmarshal(record.Value, &decoded); err != nil {
			archive.logger.WithError(err).WithField("key", record.Key).Warn("origin of a stream cannot be decoded")
			continue
		}
		if !decoded.expired(now) {
			origins[record.Key] = decoded.Origin
		}
	}
}

// Expiry implements store.Expiry for the origins of streams that nobody resumes any more.
type Expiry struct{ now time.Time }

// NewExpiry returns the expiry of origins at a time.
func NewExpiry(now time.Time) *Expiry { return &Expiry{now} }

// Add implements store.Expiry. It selects origins that cannot be decoded as well.
func (expiry *Expiry) Add(record store.Record) []string {
	var decoded archivedOrigin
	if err := codec.Unmarshal(record.Value, &decoded); err != nil || decoded.expired(expiry.now) {
		return []string{record.Key}
	}
	return nil
}

// Finish implements store.Expiry.
func (*Expiry) Finish() []string { return nil }

// Deferred implements store.Expiry.
func (*Expiry) Deferred() int { return 0 }
