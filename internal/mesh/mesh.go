// Package mesh connects the hosts: they discover each other through the
// store, exchange their status several times a second, and serve each other's
// requests.
package mesh

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/capacity"
	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/peer"
	"github.com/godwitspread/godwitspread/internal/store"
	"github.com/godwitspread/godwitspread/internal/worker"
)

// Topic is the topic of the store with one entry for each host.
const Topic = "hosts"

const (
	statusInterval  = 250 * time.Millisecond // load and demand change within about a turn
	statusTimeout   = 400 * time.Millisecond
	livenessTimeout = 800 * time.Millisecond // three status intervals; a host not seen for longer counts as unreachable
	memberTTL       = 60 * time.Second       // a host not seen for longer has no state that other hosts still need
	hostEntriesWait = 10 * time.Second       // long poll of the host entries
)

// Member describes a host, as its entry in the store does.
type Member struct {
	Host        string `msgpack:"h"`
	Incarnation string `msgpack:"i"`
	Address     string `msgpack:"a"`
	DataCentre  string `msgpack:"d"`
}

// Status is the state of a host that it sends to the other hosts.
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
}

// memberState is another host with its last known status.
type memberState struct {
	Member
	status     Status
	lastSeen   time.Time
	discovered time.Time
	exchanging bool // a status exchange that this host started is in flight
}

// Mesh is this host's view of the other hosts.
type Mesh struct {
	self        Member
	clock       clockwork.Clock
	logger      log.Interface
	transport   *peer.Transport
	localStatus func() Status
	onStatus    func(Status)

	leaving atomic.Bool

	mutex   sync.Mutex
	members map[string]*memberState // by host
}

// New returns a mesh. localStatus returns the status of this host; onStatus is
// called with each status received from another host.
func New(self Member, clock clockwork.Clock, logger log.Interface, localStatus func() Status, onStatus func(Status)) *Mesh {
	return &Mesh{self: self, clock: clock, logger: logger, localStatus: localStatus, onStatus: onStatus, members: make(map[string]*memberState)}
}

// Leave makes this host hand the permits of targets over to the other hosts, as
// they do when they learn that it is stopping.
func (mesh *Mesh) Leave() { mesh.leaving.Store(true) }

// SetTransport sets the transport for requests to other hosts.
func (mesh *Mesh) SetTransport(transport *peer.Transport) { mesh.transport = transport }

// Apply adds the hosts whose entries were read from the store.
func (mesh *Mesh) Apply(records []store.Record, _ bool) {
	for _, record := range records {
		if record.IsTombstone() {
			continue
		}
		var entry Member
		if err := codec.Unmarshal(record.Value, &entry); err != nil {
			mesh.logger.WithError(err).WithField("key", record.Key).Warn("entry of a host cannot be decoded")
			continue
		}
		mesh.discover(entry)
	}
}

// discover adds a host, or replaces its incarnation. An earlier incarnation does
// not replace a later one that is reachable.
func (mesh *Mesh) discover(entry Member) {
	if entry.Host == "" || entry.Host == mesh.self.Host || entry.Address == "" {
		return
	}
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	member, ok := mesh.members[entry.Host]
	if ok && member.Incarnation == entry.Incarnation {
		return
	}
	if ok && mesh.clock.Since(member.lastSeen) < livenessTimeout && member.Incarnation > entry.Incarnation {
		return
	}
	mesh.members[entry.Host] = &memberState{Member: entry, discovered: mesh.clock.Now()}
	mesh.logger.WithFields(log.Fields{"peer": entry.Host, "incarnation": entry.Incarnation, "address": entry.Address}).Info("host discovered")
}

// Run exchanges statuses with the other hosts until the context ends.
func (mesh *Mesh) Run(ctx context.Context) {
	worker.Every(ctx, mesh.clock, statusInterval, func() { mesh.exchangeStatus(ctx) })
}

// exchangeStatus starts a status exchange with the hosts whose names sort after
// this host's name, and with those that have not been seen for two intervals.
func (mesh *Mesh) exchangeStatus(ctx context.Context) {
	status := mesh.currentStatus()
	now := mesh.clock.Now()
	for _, member := range mesh.dueMembers(now) {
		go func() {
			defer mesh.endExchange(member)
			ctx, cancel := context.WithTimeout(ctx, statusTimeout)
			defer cancel()
			var response Status
			if err := mesh.transport.Ask(ctx, member.Address, methodStatus, status, &response); err != nil {
				return
			}
			mesh.ObserveStatus(response)
		}()
	}
}

// dueMembers returns the members with which a status exchange is due, and marks
// them as exchanging. It removes the members that have expired.
func (mesh *Mesh) dueMembers(now time.Time) []*memberState {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	var due []*memberState
	for host, member := range mesh.members {
		if now.Sub(member.lastSeen) > memberTTL && now.Sub(member.discovered) > memberTTL {
			delete(mesh.members, host)
			continue
		}
		if !member.exchanging && (host > mesh.self.Host || now.Sub(member.lastSeen) > 2*statusInterval) {
			member.exchanging = true
			due = append(due, member)
		}
	}
	return due
}

func (mesh *Mesh) endExchange(member *memberState) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	member.exchanging = false
}

func (mesh *Mesh) currentStatus() Status {
	status := mesh.localStatus()
	status.Member = mesh.self
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	for _, member := range mesh.members {
		// Every host reads the entries from the store, but the newest ones may
		// not have reached all hosts yet.
		if mesh.clock.Since(member.discovered) < 5*time.Second {
			status.RecentMembers = append(status.RecentMembers, member.Member)
		}
	}
	return status
}

// ObserveStatus records the status of another host and discovers the members
// that it lists.
func (mesh *Mesh) ObserveStatus(status Status) {
	if status.Member.Host == "" || status.Member.Host == mesh.self.Host {
		return
	}
	mesh.discover(status.Member)
	now := mesh.clock.Now()
	mesh.mutex.Lock()
	member, ok := mesh.members[status.Member.Host]
	if ok && member.Incarnation == status.Member.Incarnation {
		if !member.lastSeen.IsZero() && now.Sub(member.lastSeen) > livenessTimeout {
			mesh.logger.WithField("peer", member.Host).Info("host reachable again")
		}
		member.lastSeen, member.status = now, status
	}
	mesh.mutex.Unlock()
	for _, recent := range status.RecentMembers {
		mesh.discover(recent)
	}
	mesh.onStatus(status)
}

// RemoteLoad returns the requests that the other hosts have in flight, by
// target.
func (mesh *Mesh) RemoteLoad() map[string]int {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	load := make(map[string]int)
	now := mesh.clock.Now()
	for _, member := range mesh.members {
		if now.Sub(member.lastSeen) > livenessTimeout {
			continue
		}
		for id, count := range member.status.Load {
			load[id] += count
		}
	}
	return load
}

// ReachableStatuses returns the statuses of the reachable hosts, those of this data
// centre first.
func (mesh *Mesh) ReachableStatuses() []Status {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	var live []Status
	now := mesh.clock.Now()
	for _, member := range mesh.members {
		if now.Sub(member.lastSeen) <= livenessTimeout {
			live = append(live, member.status)
		}
	}
	sort.Slice(live, func(a, b int) bool {
		local, otherLocal := live[a].Member.DataCentre == mesh.self.DataCentre, live[b].Member.DataCentre == mesh.self.DataCentre
		if local != otherLocal {
			return local
		}
		return live[a].Member.Host < live[b].Member.Host
	})
	return live
}

// Size returns the number of known hosts, including this one.
func (mesh *Mesh) Size() int {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return len(mesh.members) + 1
}

// OtherDataCentreReachable reports whether a host of another data centre is
// reachable.
func (mesh *Mesh) OtherDataCentreReachable() bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	for _, member := range mesh.members {
		if member.DataCentre != mesh.self.DataCentre && mesh.clock.Since(member.lastSeen) <= livenessTimeout {
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
	unreachable := make(map[string]bool)
	reachable := map[string]bool{mesh.self.DataCentre: true}
	for _, member := range mesh.members {
		if mesh.clock.Since(member.lastSeen) <= livenessTimeout {
			reachable[member.DataCentre] = true
		} else if !member.lastSeen.IsZero() {
			unreachable[member.DataCentre] = true
		}
	}
	for dataCentre := range reachable {
		delete(unreachable, dataCentre)
	}
	return unreachable
}

// UnreachableHosts returns the known hosts that have not been seen recently.
// They may still be running.
func (mesh *Mesh) UnreachableHosts() []string {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	var unreachable []string
	for _, member := range mesh.members {
		if mesh.clock.Since(member.lastSeen) > livenessTimeout {
			unreachable = append(unreachable, member.Host)
		}
	}
	sort.Strings(unreachable)
	return unreachable
}

// AddressByIncarnation returns the address of the host with an incarnation.
// replaced is true if the host has restarted since.
func (mesh *Mesh) AddressByIncarnation(incarnation string) (address string, found, replaced bool) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	for _, member := range mesh.members {
		if member.Incarnation == incarnation {
			return member.Address, true, false
		}
		if hostHasIncarnation(member.Host, incarnation) {
			return "", false, true
		}
	}
	return "", false, hostHasIncarnation(mesh.self.Host, incarnation)
}

// hostHasIncarnation reports whether an incarnation belongs to a host. An
// incarnation is the name of the host, a slash, and a suffix.
func hostHasIncarnation(host, incarnation string) bool {
	return len(incarnation) > len(host) && incarnation[:len(host)] == host && incarnation[len(host)] == '/'
}
