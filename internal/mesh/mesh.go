// Package mesh connects the hosts: they discover each other through the store, tell
// each other their state several times a second, and serve each other's requests.
package mesh

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/capacity"
	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/evacuation"
	"github.com/godwitspread/godwitspread/internal/membership"
	"github.com/godwitspread/godwitspread/internal/peer"
	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/store"
	"github.com/godwitspread/godwitspread/internal/worker"
)

// Topic is the topic of the store with one entry for each host.
const Topic = "hosts"

const (
	statusTimeout  = 400 * time.Millisecond
	loadInterval   = 25 * time.Millisecond  // shortest time between two sums of the load of other hosts
	dialPatience   = 200 * time.Millisecond // after which a host that does not accept a connection counts as unreachable
	maxCoordinated = 8192                   // keys whose coordinator is remembered
)

// Member describes a host, as its entry in the store does.
type Member = membership.Member

// entry is the record of a host in the store. An incarnation that has ended has returned
// all that it held.
type entry struct {
	Member
	Ended bool `msgpack:"e,omitempty"`
	// AccountsLost says that quota accounts may not have reached their next coordinators.
	AccountsLost bool `msgpack:"q,omitempty"`
}

// Status is the state of a host. Hosts of membership protocol 0 send it to each other.
type Status struct {
	Member         Member                     `msgpack:"m"`
	Version        int64                      `msgpack:"v,omitempty"` // of the configuration
	StoreReachable bool                       `msgpack:"s,omitempty"` // the direct path to the store has responded recently
	StoreFast      bool                       `msgpack:"f,omitempty"` // the mean latency of the direct path is low, so hedged calls of other hosts may use it
	Load           map[string]int             `msgpack:"l,omitempty"` // requests in flight, by target
	Stopping       bool                       `msgpack:"x,omitempty"`
	RecentMembers  []Member                   `msgpack:"k,omitempty"` // discovered in the last seconds
	CrashCounts    map[uint64]int             `msgpack:"q,omitempty"` // target crashes, by the digest of the request that was running
	TargetLimits   map[string]capacity.Report `msgpack:"r,omitempty"` // request limits that targets announced to the host, by target
	TargetsLost    bool                       `msgpack:"u,omitempty"` // the host can connect to no target
	First          bool                       `msgpack:"n,omitempty"` // no earlier incarnation was running when the host started
	// Departures are the targets that have said that they are leaving, by target.
	Departures map[string]placement.Departure `msgpack:"d,omitempty"`
	// Evacuations are the evacuated data centres that the host knows of.
	Evacuations *evacuation.Snapshot `msgpack:"ev,omitempty"`
	// Cold are the targets that have said that they are cold, by target.
	Cold    map[string]placement.ColdReport   `msgpack:"o,omitempty"`
	Tokens  map[string]int                    `msgpack:"t,omitempty"` // of the requests in flight, by target
	Speeds  map[string]placement.SpeedSum     `msgpack:"p,omitempty"` // observed speed, by target
	Figures map[string]placement.FigureReport `msgpack:"g,omitempty"` // latest slowness that targets have announced, by target
}

// targetNews returns what targets have said to the host, and what the operator says of them.
func (status Status) targetNews() targetNews {
	return targetNews{Limits: status.TargetLimits, Departures: status.Departures, Cold: status.Cold, Evacuations: status.Evacuations, Figures: status.Figures}
}

// state returns what all hosts know of the host.
func (status Status) state() membership.State {
	return membership.State{
		Member: status.Member, Stopping: status.Stopping, StoreReachable: status.StoreReachable, StoreFast: status.StoreFast,
		TargetsLost: status.TargetsLost, Version: status.Version, First: status.First,
	}
}

// summary returns what aggregators add up.
func (status Status) summary() membership.Summary {
	summary := membership.Summary{Load: status.Load, Version: status.Version, Tokens: status.Tokens, Speeds: status.Speeds}
	if len(status.CrashCounts) > 0 {
		summary.CrashCounts = map[string]map[uint64]int{"": status.CrashCounts}
	}
	return summary
}

// Local is this host, as far as the other hosts need to know of it.
type Local interface {
	Status() Status
	// KnownLimits returns the request limits of targets that this host knows of,
	// also from other hosts.
	KnownLimits() map[string]capacity.Report
	// ObserveLoad is called with the requests that all other hosts have in flight,
	// by target.
	ObserveLoad(load map[string]int)
	// ObserveSpeeds is called with the tokens that all other hosts have in flight and the
	// speeds that they have observed, by target.
	ObserveSpeeds(tokens map[string]int, speeds map[string]placement.SpeedSum)
	// ObserveNews is called with what other hosts tell beside their load.
	ObserveNews(news News)
}

// News is what other hosts tell beside their load.
type News struct {
	Source      string                    // host that has told it
	Version     int64                     // newest version of the configuration
	CrashCounts map[string]map[uint64]int // target crashes, by host and by the digest of the request that was running
	Limits      map[string]capacity.Report
	Departures  map[string]placement.Departure // targets that are leaving
	Evacuations *evacuation.Snapshot           // nil from a host that knows nothing of evacuations
	Cold        map[string]placement.ColdReport
	Figures     map[string]placement.FigureReport
}

// Mesh is this host's view of the other hosts.
type Mesh struct {
	slowCoordinators slowCoordinators
	self             Member
	offset           uint64 // differs from that of other hosts
	clock            clockwork.Clock
	logger           log.Interface
	transport        *peer.Transport
	local            Local

	leavingSince atomic.Pointer[time.Time]
	settling     atomic.Int64  // settlements in transit
	listed       chan struct{} // closed when the entries of the hosts have been listed
	listing      sync.Once
	accountsLost atomic.Bool // quota accounts may not have reached their next coordinators

	startedAt         time.Time
	mutex             sync.Mutex
	view              *membership.View
	loadAt            time.Time // last sum of the load
	generation        uint64    // of the view from which the following were determined
	changedAt         time.Time // when the reachable hosts were seen to change
	reachable         []membership.State
	ended             map[string]string // incarnations that have ended, by host, as their entries say
	first             bool              // no earlier incarnation of this host was running when it started
	endedWithAccounts map[string]bool   // hosts whose last end may have lost quota accounts
	coordinators      map[coordinatorKey]Member
}

// coordinatorKey is a key with the data centre of its coordinator, or "" for any.
type coordinatorKey struct{ key, dataCentre string }

// New returns a mesh.
func New(self Member, clock clockwork.Clock, logger log.Interface, local Local) *Mesh {
	view := membership.NewView(self, clock.Now())
	return &Mesh{startedAt: clock.Now(), self: view.Self().Member, offset: membership.Weight(self.Host, "relay"), clock: clock, logger: logger, local: local, view: view, listed: make(chan struct{}), ended: make(map[string]string), endedWithAccounts: make(map[string]bool), coordinators: make(map[coordinatorKey]Member)}
}

// Self returns the entry of this host.
func (mesh *Mesh) Self() Member { return mesh.self }

// Leave makes this host hand the permits of targets and the quota accounts over to the
// other hosts, as they do when they learn that it is stopping.
func (mesh *Mesh) Leave() {
	now := mesh.clock.Now()
	mesh.leavingSince.CompareAndSwap(nil, &now)
}

// SetTransport sets the transport for requests to other hosts.
func (mesh *Mesh) SetTransport(transport *peer.Transport) {
	mesh.transport = transport
	transport.OnDialFailure(mesh.dialFailed)
}

// dialFailed records that this host could not connect to another one.
func (mesh *Mesh) dialFailed(address string, after time.Duration, refused bool) {
	if !refused && after < dialPatience {
		return
	}
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	mesh.view.Unreachable(address, mesh.clock.Now())
}

// Apply adds the hosts whose entries were read from the store.
func (mesh *Mesh) Apply(records []store.Record, complete bool) {
	if complete {
		mesh.listing.Do(func() { mesh.observeListing(records) })
	}
	for _, record := range records {
		if record.IsTombstone() {
			continue
		}
		var decoded entry
		if err := codec.Unmarshal(record.Value, &decoded); err != nil {
			mesh.logger.WithError(err).WithField("key", record.Key).Warn("entry of a host cannot be decoded")
			continue
		}
		if decoded.Ended {
			mesh.recordEnd(decoded)
			continue
		}
		mesh.discover(decoded.Member)
	}
}

// EndedEntry returns the entry of this host for the store that says that it has ended.
func (mesh *Mesh) EndedEntry() ([]byte, error) {
	return codec.Marshal(entry{Member: mesh.self, Ended: true, AccountsLost: mesh.accountsLost.Load()})
}

func (mesh *Mesh) recordEnd(member entry) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	mesh.endedWithAccounts[member.Host] = member.AccountsLost
	if mesh.ended[member.Host] != member.Incarnation {
		mesh.ended[member.Host] = member.Incarnation
		mesh.logger.WithFields(log.Fields{"peer": member.Host, "incarnation": member.Incarnation}).Info("host has ended")
	}
}

func (mesh *Mesh) discover(entry Member) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	if mesh.view.Discover(entry, mesh.clock.Now()) {
		mesh.logger.WithFields(log.Fields{"peer": entry.Host, "incarnation": entry.Incarnation, "address": entry.Address, "protocol": entry.Protocol}).Info("host discovered")
	}
}

// Run tells the other hosts the state of this one until the context ends.
func (mesh *Mesh) Run(ctx context.Context) {
	worker.Every(ctx, mesh.clock, membership.Interval, func() { mesh.exchange(ctx) })
}

// ObserveStatus records the status of another host and discovers the members
// that it lists.
func (mesh *Mesh) ObserveStatus(status Status) {
	if status.Member.Host == "" || status.Member.Host == mesh.self.Host {
		return
	}
	now := mesh.clock.Now()
	mesh.mutex.Lock()
	if mesh.view.ObserveStatus(status.state(), status.summary(), now) {
		mesh.logger.WithField("peer", status.Member.Host).Info("host reachable again")
	}
	mesh.mutex.Unlock()
	for _, recent := range status.RecentMembers {
		mesh.discover(recent)
	}
	mesh.observeNews(status.Member.Host, membership.Summary{
		Version: status.Version, CrashCounts: map[string]map[uint64]int{status.Member.Host: status.CrashCounts},
	}, status.targetNews())
}

// observeNews passes on what another host has told, and the load of all others if it
// was not summed just now.
func (mesh *Mesh) observeNews(source string, summary membership.Summary, targets targetNews) {
	mesh.local.ObserveNews(News{Source: source, Version: summary.Version, CrashCounts: summary.CrashCounts, Limits: targets.Limits, Departures: targets.Departures, Evacuations: targets.Evacuations, Cold: targets.Cold, Figures: targets.Figures})
	mesh.observeLoad(loadInterval)
}

// observeLoad sums the load of the other hosts unless that was done just now.
func (mesh *Mesh) observeLoad(interval time.Duration) {
	mesh.mutex.Lock()
	now := mesh.clock.Now()
	if now.Sub(mesh.loadAt) < interval {
		mesh.mutex.Unlock()
		return
	}
	mesh.loadAt = now
	remote := mesh.view.Remote(now)
	mesh.mutex.Unlock()
	mesh.local.ObserveLoad(remote.Load)
	mesh.local.ObserveSpeeds(remote.Tokens, remote.Speeds)
}

// update determines anew what follows from the living hosts, if they have changed. The
// caller holds the mutex.
func (mesh *Mesh) update() {
	now := mesh.clock.Now()
	generation := mesh.view.Generation(now)
	if generation == mesh.generation && mesh.reachable != nil {
		return
	}
	mesh.generation, mesh.changedAt = generation, now
	mesh.reachable = mesh.view.Alive(now)
	clear(mesh.coordinators)
}

// Reachable returns the states of the reachable hosts, those of this data centre
// first. The caller must not change the slice.
func (mesh *Mesh) Reachable() []membership.State {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	mesh.update()
	return mesh.reachable
}

// Aggregating reports whether other hosts may report to this one.
func (mesh *Mesh) Aggregating() bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return mesh.view.Aggregating()
}

// Size returns the number of known hosts, including this one.
func (mesh *Mesh) Size() int {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	_, known := mesh.view.Counts(mesh.clock.Now())
	return known
}

// OtherDataCentreReachable reports whether a host of another data centre is
// reachable.
func (mesh *Mesh) OtherDataCentreReachable() bool {
	for _, state := range mesh.Reachable() {
		if state.DataCentre != mesh.self.DataCentre {
			return true
		}
	}
	return false
}

// UnreachableDataCentres returns the data centres that have no reachable host
// but had one before.
func (mesh *Mesh) UnreachableDataCentres() map[string]bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return mesh.view.LostDataCentres(mesh.clock.Now())
}

// LoadAge returns the age of the load that the hosts of a data centre have reported.
func (mesh *Mesh) LoadAge(dataCentre string) time.Duration {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return mesh.view.LoadAge(dataCentre, mesh.clock.Now())
}

// UnreachableHosts returns the known hosts that have not been seen recently.
// They may still be running.
func (mesh *Mesh) UnreachableHosts() []string {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return mesh.view.Lost(mesh.clock.Now())
}

// AddressByIncarnation returns the address of the host with an incarnation, which is
// the name of the host, a slash, and a suffix. gone is true if the host has ended or has
// restarted since.
func (mesh *Mesh) AddressByIncarnation(incarnation string) (address string, found, gone bool) {
	host, _, _ := strings.Cut(incarnation, "/")
	if host == mesh.self.Host {
		return "", false, true
	}
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	if mesh.ended[host] == incarnation {
		return "", false, true
	}
	member, known := mesh.view.Find(host)
	if known && member.Incarnation == incarnation {
		return member.Address, true, false
	}
	return "", false, known
}

// silentFor returns for how long the host with an incarnation has not been alive.
func (mesh *Mesh) silentFor(incarnation string) time.Duration {
	host, _, _ := strings.Cut(incarnation, "/")
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return mesh.view.SilentFor(host, mesh.clock.Now())
}
