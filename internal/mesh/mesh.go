// Package mesh joins the entry hosts: they find each other in the store, tell
// each other their state several times a second, and serve each other's calls.
package mesh

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/duty"
	"github.com/godwitspread/godwitspread/internal/peer"
	"github.com/godwitspread/godwitspread/internal/store"
)

// Topic holds the hosts' own entries.
const Topic = "hosts"

const (
	statusInterval = 250 * time.Millisecond // load and demand change within about a turn
	statusTimeout  = 400 * time.Millisecond
	heardTime      = 800 * time.Millisecond // a host unheard for longer is not asked; three rounds
	memberTime     = 60 * time.Second       // a host unheard for longer holds nothing that is still needed
	entriesWait    = 10 * time.Second       // long poll of the hosts' entries
)

// Member is a host as its entry tells.
type Member struct {
	Host        string `msgpack:"h"`
	Incarnation string `msgpack:"i"`
	Address     string `msgpack:"a"`
	DataCentre  string `msgpack:"d"`
}

// Status is what hosts tell each other.
type Status struct {
	Member    Member         `msgpack:"m"`
	Version   int64          `msgpack:"v,omitempty"` // of the configuration
	StoreOK   bool           `msgpack:"s,omitempty"` // the store answered lately
	StoreFast bool           `msgpack:"f,omitempty"` // and as quickly as usual
	Load      map[string]int `msgpack:"l,omitempty"` // requests under way by target
	Stopping  bool           `msgpack:"x,omitempty"`
	Known     []Member       `msgpack:"k,omitempty"`
	Crashes   map[uint64]int `msgpack:"q,omitempty"` // crashes seen by the digest of the request that ran
}

// member is a host with what it last told.
type member struct {
	Member
	status Status
	heard  time.Time
	listed time.Time
	asking bool
}

// Mesh is this host's view of the others.
type Mesh struct {
	own       Member
	clock     clockwork.Clock
	logger    log.Interface
	transport *peer.Transport
	report    func() Status
	hear      func(Status)

	mutex   sync.Mutex
	members map[string]*member // by host
}

// New returns a mesh. Report tells this host's state; hear takes another's.
func New(own Member, clock clockwork.Clock, logger log.Interface, report func() Status, hear func(Status)) *Mesh {
	return &Mesh{own: own, clock: clock, logger: logger, report: report, hear: hear, members: make(map[string]*member)}
}

// SetTransport names the transport that calls go through.
func (mesh *Mesh) SetTransport(transport *peer.Transport) { mesh.transport = transport }

// Apply takes the hosts' entries from the store.
func (mesh *Mesh) Apply(records []store.Record, _ bool) {
	for _, record := range records {
		if record.Dropped() {
			continue
		}
		var entry Member
		if err := codec.Unmarshal(record.Value, &entry); err != nil {
			mesh.logger.WithError(err).WithField("key", record.Key).Warn("entry of a host cannot be read")
			continue
		}
		mesh.learn(entry)
	}
}

// learn notes a host. A later incarnation replaces an earlier one.
func (mesh *Mesh) learn(entry Member) {
	if entry.Host == "" || entry.Host == mesh.own.Host || entry.Address == "" {
		return
	}
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	one, ok := mesh.members[entry.Host]
	if ok && one.Incarnation == entry.Incarnation {
		return
	}
	if ok && mesh.clock.Since(one.heard) < heardTime && one.Incarnation > entry.Incarnation {
		return
	}
	mesh.members[entry.Host] = &member{Member: entry, listed: mesh.clock.Now()}
	mesh.logger.WithFields(log.Fields{"peer": entry.Host, "incarnation": entry.Incarnation, "address": entry.Address}).Info("host found")
}

// Run tells the others this host's state until the context ends.
func (mesh *Mesh) Run(ctx context.Context) {
	duty.Every(ctx, mesh.clock, statusInterval, func() { mesh.tell(ctx) })
}

// tell exchanges states with the hosts whose names sort after this one's, and
// with those that have not been heard.
func (mesh *Mesh) tell(ctx context.Context) {
	status := mesh.status()
	now := mesh.clock.Now()
	for _, one := range mesh.due(now) {
		go func() {
			defer mesh.asked(one)
			ctx, cancel := context.WithTimeout(ctx, statusTimeout)
			defer cancel()
			var answer Status
			if err := mesh.transport.Ask(ctx, one.Address, methodStatus, status, &answer); err != nil {
				return
			}
			mesh.Hear(answer)
		}()
	}
}

func (mesh *Mesh) due(now time.Time) []*member {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	var due []*member
	for host, one := range mesh.members {
		if now.Sub(one.heard) > memberTime && now.Sub(one.listed) > memberTime {
			delete(mesh.members, host)
			continue
		}
		if !one.asking && (host > mesh.own.Host || now.Sub(one.heard) > 2*statusInterval) {
			one.asking = true
			due = append(due, one)
		}
	}
	return due
}

func (mesh *Mesh) asked(one *member) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	one.asking = false
}

func (mesh *Mesh) status() Status {
	status := mesh.report()
	status.Member = mesh.own
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	for _, one := range mesh.members {
		// Entries that every host reads from the store need no repetition;
		// the newest ones may not have come everywhere.
		if mesh.clock.Since(one.listed) < 5*time.Second {
			status.Known = append(status.Known, one.Member)
		}
	}
	return status
}

// Hear takes another host's state.
func (mesh *Mesh) Hear(status Status) {
	if status.Member.Host == "" || status.Member.Host == mesh.own.Host {
		return
	}
	mesh.learn(status.Member)
	now := mesh.clock.Now()
	mesh.mutex.Lock()
	one, ok := mesh.members[status.Member.Host]
	if ok && one.Incarnation == status.Member.Incarnation {
		if !one.heard.IsZero() && now.Sub(one.heard) > heardTime {
			mesh.logger.WithField("peer", one.Host).Info("host heard again")
		}
		one.heard, one.status = now, status
	}
	mesh.mutex.Unlock()
	for _, known := range status.Known {
		mesh.learn(known)
	}
	mesh.hear(status)
}

// Load returns what the other hosts have under way, by target.
func (mesh *Mesh) Load() map[string]int {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	load := make(map[string]int)
	now := mesh.clock.Now()
	for _, one := range mesh.members {
		if now.Sub(one.heard) > heardTime {
			continue
		}
		for id, count := range one.status.Load {
			load[id] += count
		}
	}
	return load
}

// Live returns the hosts heard lately, those of this data centre first.
func (mesh *Mesh) Live() []Status {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	var live []Status
	now := mesh.clock.Now()
	for _, one := range mesh.members {
		if now.Sub(one.heard) <= heardTime {
			live = append(live, one.status)
		}
	}
	sort.Slice(live, func(a, b int) bool {
		near, other := live[a].Member.DataCentre == mesh.own.DataCentre, live[b].Member.DataCentre == mesh.own.DataCentre
		if near != other {
			return near
		}
		return live[a].Member.Host < live[b].Member.Host
	})
	return live
}

// Size returns the number of hosts, this one included.
func (mesh *Mesh) Size() int {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	return len(mesh.members) + 1
}

// Elsewhere reports whether a host of another data centre is heard.
func (mesh *Mesh) Elsewhere() bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	for _, one := range mesh.members {
		if one.DataCentre != mesh.own.DataCentre && mesh.clock.Since(one.heard) <= heardTime {
			return true
		}
	}
	return false
}

// SilentDataCentres returns the data centres of which no host is heard, though
// some were.
func (mesh *Mesh) SilentDataCentres() map[string]bool {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	silent := make(map[string]bool)
	heard := map[string]bool{mesh.own.DataCentre: true}
	for _, one := range mesh.members {
		if mesh.clock.Since(one.heard) <= heardTime {
			heard[one.DataCentre] = true
		} else if !one.heard.IsZero() {
			silent[one.DataCentre] = true
		}
	}
	for dataCentre := range heard {
		delete(silent, dataCentre)
	}
	return silent
}

// SilentHosts returns the hosts that have not been heard lately, though they
// may live.
func (mesh *Mesh) SilentHosts() []string {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	var silent []string
	for _, one := range mesh.members {
		if mesh.clock.Since(one.heard) > heardTime {
			silent = append(silent, one.Host)
		}
	}
	sort.Strings(silent)
	return silent
}

// ByIncarnation returns the address of an incarnation. Replaced is true if its
// host has started anew since.
func (mesh *Mesh) ByIncarnation(incarnation string) (address string, found, replaced bool) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	for _, one := range mesh.members {
		if one.Incarnation == incarnation {
			return one.Address, true, false
		}
		if sameHost(one.Host, incarnation) {
			return "", false, true
		}
	}
	return "", false, sameHost(mesh.own.Host, incarnation)
}

// sameHost reports whether an incarnation is one of a host: its name precedes
// the slash.
func sameHost(host, incarnation string) bool {
	return len(incarnation) > len(host) && incarnation[:len(host)] == host && incarnation[len(host)] == '/'
}
