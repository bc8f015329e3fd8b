package origin

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/metric"
)

// ErrUnknown is returned for a stream of which no reachable host knows where it
// began. It may have begun at a version that differs from those in use now.
var ErrUnknown = errors.New("no reachable host knows at which software version the stream began")

// confirmTimeout limits the wait for a read of the targets' entries, of which the
// store serves hundreds a second.
const confirmTimeout = 250 * time.Millisecond

// Peers sends records to other hosts and asks them.
type Peers interface {
	// PushOrigin sends a record to other hosts, in this data centre and in another
	// one. It does not wait for them.
	PushOrigin(record Record)
	// FindOrigin asks the other hosts for a record until one has it.
	FindOrigin(ctx context.Context, key Key) (Origin, bool)
	// FindVersions asks the other hosts for the versions of a service until one
	// knows all of them in a window of time.
	FindVersions(ctx context.Context, request VersionsRequest) ([]string, bool)
}

// Targets is the view of this host on the targets.
type Targets interface {
	// Version returns the software version of the target with an ID, if it is known.
	Version(target string) (string, bool)
	// Confirm waits until the entries of the targets have been read again.
	Confirm(ctx context.Context) error
	// Failing reports whether the entries cannot be read at present.
	Failing() bool
	// ViewAge returns the time since the entries were last known to be complete, including
	// the time in which this host was suspended.
	ViewAge() time.Duration
	// RecentVersions returns the versions that a service has had in a window of time
	// before the start of this host, as the store's log shows. It returns false if the
	// log may not cover the window.
	RecentVersions(ctx context.Context, service string, window time.Duration) ([]string, bool)
}

// Store keeps origins where they outlive all hosts.
type Store interface {
	// Save stores a record without waiting.
	Save(record Record)
	// Find returns the origin of a stream, if it was stored.
	Find(ctx context.Context, key Key) (Origin, bool)
}

// VersionsRequest asks for the software versions of a service in a window of time.
type VersionsRequest struct {
	Service string        `msgpack:"s"`
	Window  time.Duration `msgpack:"w"`
}

// VersionsResponse contains the versions, if the host knows all of them.
type VersionsResponse struct {
	Complete bool     `msgpack:"c,omitempty"`
	Versions []string `msgpack:"v,omitempty"`
}

// Query describes a stream that a caller resumes.
type Query struct {
	Key      Key           // without an attempt if the caller does not name it
	Services []string      // that the stream may have begun at
	Lifetime time.Duration // longest time since the stream began
}

// Resolver records where streams began and finds it out for those that are resumed.
type Resolver struct {
	directory *directory
	versions  *VersionHistory
	targets   Targets
	peers     Peers
	archive   Store
	clock     clockwork.Clock
	metrics   *metric.Metrics
}

// NewResolver returns a resolver without records.
func NewResolver(versions *VersionHistory, targets Targets, peers Peers, archive Store, clock clockwork.Clock, metrics *metric.Metrics) *Resolver {
	return &Resolver{directory: newDirectory(), versions: versions, targets: targets, peers: peers, archive: archive, clock: clock, metrics: metrics}
}

// Begin records a stream, on this host and on others. The caller must not receive
// an event of the stream before. Only while the service has several versions is the
// record stored as well: otherwise hosts that have all restarted infer it.
func (resolver *Resolver) Begin(record Record) {
	resolver.Store(record)
	resolver.peers.PushOrigin(record)
	if versions, _ := resolver.versions.Versions(record.Origin.Service, min(archiveLifetimes*record.TTL, MaxTTL), resolver.clock.Now()); len(versions) > 1 {
		resolver.archive.Save(record)
		resolver.metrics.Count("stream_origins_stored")
	}
}

// archiveLifetimes is for how many lifetimes of a stream after the last sign of a second
// version origins are stored: a host that starts at the end of a stream's lifetime sees
// the versions of one more in the store's log.
const archiveLifetimes = 3

// Store records a stream on this host.
func (resolver *Resolver) Store(record Record) { resolver.directory.put(record, resolver.clock.Now()) }

// Lookup returns the origin of a stream that this host has recorded.
func (resolver *Resolver) Lookup(key Key) (Origin, bool) {
	return resolver.directory.find(key, resolver.clock.Now())
}

// Versions answers another host's question for the versions of a service. A host that
// has not read the targets' entries recently does not know.
func (resolver *Resolver) Versions(request VersionsRequest) VersionsResponse {
	versions, complete := resolver.versions.Versions(request.Service, request.Window, resolver.clock.Now())
	if !complete || resolver.targets.ViewAge() > maxViewAge {
		return VersionsResponse{}
	}
	return VersionsResponse{Complete: true, Versions: versions}
}

// maxViewAge is the longest time since the last read of the targets' entries after which
// this host's view of the versions counts as current: a target does not start, serve and
// leave in less.
const maxViewAge = 2 * time.Second

// Refresh reads the targets' entries again if that was not done recently, as after a
// standstill of this host. It reports whether the view is current, and does not wait
// while the store is known to be lost.
func (resolver *Resolver) Refresh(ctx context.Context) bool {
	if resolver.targets.ViewAge() <= maxViewAge {
		return true
	}
	if resolver.targets.Failing() {
		return false
	}
	resolver.metrics.Count("target_views_refreshed")
	return resolver.confirm(ctx)
}

func (resolver *Resolver) confirm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return resolver.targets.Confirm(ctx) == nil
}

// Resolve returns where a stream began. It returns ErrUnknown unless this is
// certain.
func (resolver *Resolver) Resolve(ctx context.Context, query Query) (Origin, error) {
	resolver.Refresh(ctx)
	if query.Key.Attempt != "" {
		origin, found := resolver.Lookup(query.Key)
		if !found {
			origin, found = resolver.peers.FindOrigin(ctx, query.Key)
		}
		if found {
			return resolver.checked(origin)
		}
	}
	if origin, err := resolver.onlyVersion(ctx, query); err == nil || query.Key.Attempt == "" {
		return origin, err
	}
	origin, found := resolver.archive.Find(ctx, query.Key)
	if !found {
		return Origin{}, ErrUnknown
	}
	resolver.metrics.Count("stream_origins_restored")
	return resolver.checked(origin)
}

// checked returns the origin unless its target has changed its version since: a
// target that restarts under its ID may have done so before the stream began, while
// the host that began it still knew the earlier version.
func (resolver *Resolver) checked(origin Origin) (Origin, error) {
	if version, known := resolver.targets.Version(origin.Target); known && version != origin.Version {
		return Origin{}, ErrUnknown
	}
	return origin, nil
}

// onlyVersion returns the version of the service if it has had no other one for as
// long as the stream can have lasted.
func (resolver *Resolver) onlyVersion(ctx context.Context, query Query) (Origin, error) {
	if len(query.Services) != 1 {
		return Origin{}, ErrUnknown
	}
	// The stream may have begun at a target whose entry this host has not read yet.
	if !resolver.confirm(ctx) {
		return Origin{}, ErrUnknown
	}
	service := query.Services[0]
	versions, complete := resolver.versions.Versions(service, query.Lifetime, resolver.clock.Now())
	if !complete && len(versions) == 1 {
		var others []string
		others, complete = resolver.peers.FindVersions(ctx, VersionsRequest{Service: service, Window: query.Lifetime})
		if !complete {
			others, complete = resolver.targets.RecentVersions(ctx, service, query.Lifetime)
		}
		for _, version := range others {
			if !slices.Contains(versions, version) {
				versions = append(versions, version)
			}
		}
	}
	if !complete || len(versions) != 1 {
		return Origin{}, ErrUnknown
	}
	resolver.metrics.Count("stream_origins_inferred")
	return Origin{Service: service, Version: versions[0]}, nil
}
