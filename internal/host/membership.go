// Package host tracks which hosts are alive and decides which slots a host
// should claim. An incorrect view causes delays but no conflicting ownership,
// because the ledger determines the owner of a slot.
package host

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/platform"
)

// Heartbeat is the state that a host reports about itself. ConfigurationNext and
// LedgerNext are the next offsets that the host reads from the two streams.
// ConfigurationAgeMS is the time since the host last knew its configuration to
// be current, and ConfigurationCurrent is unset if it never did.
type Heartbeat struct {
	Name                 string `msgpack:"n"`
	Incarnation          string `msgpack:"i"`
	DataCentre           string `msgpack:"d"`
	Address              string `msgpack:"a"`
	Leaving              bool   `msgpack:"l"`
	Version              uint64 `msgpack:"v"`
	ConfigurationNext    int64  `msgpack:"cn"`
	ConfigurationAgeMS   int64  `msgpack:"ca"`
	ConfigurationCurrent bool   `msgpack:"cc"`
	LedgerNext           int64  `msgpack:"ln"`
	// Down lists the services that have no usable target, as far as this host
	// knows.
	Down []string `msgpack:"dn"`
}

// Down reports whether a live host of this data centre reports that a service
// has no usable target. A host knows this of the services whose queues it
// manages.
func (membership *Membership) Down(now time.Time, service string) bool {
	for _, member := range membership.members {
		heartbeat := member.heartbeat
		if heartbeat.DataCentre == membership.local.DataCentre && now.Sub(member.lastSeen) <= FailureTimeout &&
			slices.Contains(heartbeat.Down, service) {
			return true
		}
	}
	return false
}

// Member is the last known state of another host.
type Member struct {
	heartbeat        Heartbeat
	lastSeen         time.Time
	listedState      platform.HostState
	incarnationSince time.Time
}

// Heartbeat returns the last heartbeat of the host.
func (member *Member) Heartbeat() Heartbeat { return member.heartbeat }

// LastSeen returns when the last heartbeat was received, or the zero time if
// there was none.
func (member *Member) LastSeen() time.Time { return member.lastSeen }

const (
	// FailureTimeout is the time without a heartbeat after which a host is
	// considered dead.
	FailureTimeout = 2 * time.Second
	// claimDelay is how long a host observes the others after its start before
	// it claims slots, so that it doesn't take slots of hosts that are alive.
	claimDelay = 1200 * time.Millisecond
	// evictAfter is the time without a heartbeat after which a host that is
	// missing from the host list is removed.
	evictAfter = time.Minute
	// rebalanceInterval is the time between claims of slots whose owners have
	// more than their share.
	rebalanceInterval = 2 * time.Second
)

// Membership is one host's view of the other hosts. It is not safe for
// concurrent use.
type Membership struct {
	local       Heartbeat
	members     map[string]*Member
	started     time.Time
	rebalanceAt time.Time
	skipRelays  bool // the last round of heartbeats left out other data centres
}

// NewMembership returns a view that contains only the local host.
func NewMembership(now time.Time, local Heartbeat) *Membership {
	return &Membership{local: local, members: make(map[string]*Member), started: now, rebalanceAt: now.Add(rebalanceInterval)}
}

// Local returns the heartbeat of the local host.
func (membership *Membership) Local() Heartbeat { return membership.local }

// SetLocal replaces the heartbeat of the local host.
func (membership *Membership) SetLocal(local Heartbeat) { membership.local = local }

// Observe records a heartbeat of another host.
func (membership *Membership) Observe(now time.Time, heartbeat Heartbeat) {
	if heartbeat.Name == membership.local.Name || heartbeat.Name == "" {
		return
	}
	member, ok := membership.members[heartbeat.Name]
	if !ok {
		member = &Member{}
		membership.members[heartbeat.Name] = member
	}
	if member.heartbeat.Incarnation != heartbeat.Incarnation {
		member.incarnationSince = now
	}
	member.heartbeat = heartbeat
	member.lastSeen = now
}

// ApplyHostList applies the platform's host list. It adds hosts to exchange
// heartbeats with, and removes a host that is not listed only if it has sent no
// heartbeat for evictAfter.
func (membership *Membership) ApplyHostList(now time.Time, hosts []platform.Host) {
	for _, member := range membership.members {
		member.listedState = ""
	}
	for _, host := range hosts {
		if host.Name == membership.local.Name {
			continue
		}
		member, ok := membership.members[host.Name]
		if !ok {
			member = &Member{heartbeat: Heartbeat{Name: host.Name, DataCentre: host.DataCentre, Address: host.Address}}
			membership.members[host.Name] = member
		}
		if now.Sub(member.lastSeen) > FailureTimeout {
			member.heartbeat.Address = host.Address
			member.heartbeat.DataCentre = host.DataCentre
		}
		member.listedState = cmp.Or(host.State, platform.HostLive)
	}
	for name, member := range membership.members {
		if member.listedState == "" && now.Sub(member.lastSeen) > evictAfter {
			delete(membership.members, name)
		}
	}
}

// Find returns a host by name.
func (membership *Membership) Find(name string) (*Member, bool) {
	member, ok := membership.members[name]
	return member, ok
}

// Alive reports whether an incarnation of a host has sent a heartbeat recently.
func (membership *Membership) Alive(now time.Time, name, incarnation string) bool {
	if name == membership.local.Name {
		return incarnation == membership.local.Incarnation
	}
	member, ok := membership.members[name]
	return ok && member.heartbeat.Incarnation == incarnation && now.Sub(member.lastSeen) <= FailureTimeout
}

// Live returns the hosts of a data centre that are alive and not leaving,
// sorted by name. It includes the local host if it is one of them.
func (membership *Membership) Live(now time.Time, dataCentre string) []Heartbeat {
	var live []Heartbeat
	if membership.local.DataCentre == dataCentre && !membership.local.Leaving {
		live = append(live, membership.local)
	}
	for _, member := range membership.members {
		heartbeat := member.heartbeat
		if heartbeat.DataCentre == dataCentre && now.Sub(member.lastSeen) <= FailureTimeout && !heartbeat.Leaving {
			live = append(live, heartbeat)
		}
	}
	slices.SortFunc(live, func(a, b Heartbeat) int { return cmp.Compare(a.Name, b.Name) })
	return live
}

// Known returns every other host of a data centre, the most recently seen
// first.
func (membership *Membership) Known(now time.Time, dataCentre string) []Heartbeat {
	var known []*Member
	for _, member := range membership.members {
		if member.heartbeat.DataCentre == dataCentre && member.heartbeat.Address != "" {
			known = append(known, member)
		}
	}
	slices.SortFunc(known, func(a, b *Member) int {
		if c := b.lastSeen.Compare(a.lastSeen); c != 0 {
			return c
		}
		return cmp.Compare(a.heartbeat.Name, b.heartbeat.Name)
	})
	heartbeats := make([]Heartbeat, len(known))
	for index, member := range known {
		heartbeats[index] = member.heartbeat
	}
	return heartbeats
}

// All returns every other host, sorted by name.
func (membership *Membership) All() []*Member {
	all := make([]*Member, 0, len(membership.members))
	for _, member := range membership.members {
		all = append(all, member)
	}
	slices.SortFunc(all, func(a, b *Member) int { return cmp.Compare(a.heartbeat.Name, b.heartbeat.Name) })
	return all
}

// Owner is the owner of one slot according to the ledger.
type Owner struct {
	Host        string
	Incarnation string
}

// SlotsToClaim returns the slots that this host should claim: those without a
// live owner for which this host ranks first, or if there are none, at most once
// per rebalanceInterval, one slot of a host that owns more than its share.
func (membership *Membership) SlotsToClaim(now time.Time, owners [ledger.SlotCount]Owner) []int {
	if membership.local.Leaving || now.Sub(membership.started) < claimDelay {
		return nil
	}
	live := membership.Live(now, membership.local.DataCentre)
	names := make([]string, len(live))
	for index, heartbeat := range live {
		names[index] = heartbeat.Name
	}
	counts := make(map[string]int)
	var claims, ownedSlots []int
	for slot, owner := range owners {
		ownerLive := membership.Alive(now, owner.Host, owner.Incarnation) && slices.Contains(names, owner.Host)
		if ownerLive {
			counts[owner.Host]++
			ownedSlots = append(ownedSlots, slot)
			continue
		}
		if Rank("slot", slot, names)[0] == membership.local.Name {
			claims = append(claims, slot)
		}
	}
	if len(claims) == 0 {
		claims = membership.rebalance(now, owners, counts, ownedSlots, names)
	}
	return claims
}

// rebalance picks one slot of a host that owns more than its share, if this
// host owns less than its share. Shares are rounded down, so a host may own one
// slot more than its share.
func (membership *Membership) rebalance(now time.Time, owners [ledger.SlotCount]Owner, counts map[string]int, ownedSlots []int, names []string) []int {
	if now.Before(membership.rebalanceAt) || len(names) < 2 {
		return nil
	}
	membership.rebalanceAt = now.Add(rebalanceInterval)
	fairShare := ledger.SlotCount / len(names)
	if counts[membership.local.Name] >= fairShare {
		return nil
	}
	for _, slot := range ownedSlots {
		host := owners[slot].Host
		if counts[host] > fairShare+1 && Rank("rebalance", slot, names)[0] == membership.local.Name {
			return []int{slot}
		}
	}
	for _, slot := range ownedSlots {
		if host := owners[slot].Host; counts[host] > fairShare+1 {
			return []int{slot}
		}
	}
	return nil
}

// Rank orders names by rendezvous hashing for a numbered item of a kind. All
// hosts that pass the same names get the same order.
func Rank(kind string, number int, names []string) []string {
	type ranked struct {
		name string
		hash uint64
	}
	list := make([]ranked, len(names))
	var digest xxhash.Digest
	for index, name := range names {
		digest.Reset()
		// Writes to a digest never fail.
		_, _ = digest.WriteString(kind)
		_, _ = digest.Write([]byte{0, byte(number), byte(number >> 8), byte(number >> 16), 0})
		_, _ = digest.WriteString(name)
		list[index] = ranked{name: name, hash: digest.Sum64()}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) })
	order := make([]string, len(list))
	for index, ranked := range list {
		order[index] = ranked.name
	}
	return order
}

// RankKey orders names by rendezvous hashing for a named item of a kind.
func RankKey(kind, key string, names []string) []string {
	return Rank(kind+"\x00"+key, 0, names)
}

// witnessCount is the maximum number of witnesses of an owner.
const witnessCount = 3

// Witnesses returns the incarnations of the hosts that should renew this host's
// leases while the log is unreachable.
func (membership *Membership) Witnesses(now time.Time) []string {
	incarnations := make(map[string]string)
	var names []string
	for _, heartbeat := range membership.Live(now, membership.local.DataCentre) {
		if heartbeat.Name != membership.local.Name {
			names = append(names, heartbeat.Name)
			incarnations[heartbeat.Name] = heartbeat.Incarnation
		}
	}
	var witnesses []string
	for _, name := range RankKey("witness", membership.local.Name, names) {
		if len(witnesses) < witnessCount {
			witnesses = append(witnesses, incarnations[name])
		}
	}
	return witnesses
}
