// Package host keeps the view of which hosts are alive and decides which slots
// a host should try to own. A wrong view costs time, never safety: the ledger
// decides who owns a slot.
package host

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/platform"
)

// Heartbeat is what a host tells the others about itself.
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
	// Down are the services that this host knows to have no usable target.
	Down []string `msgpack:"dn"`
}

// Down reports whether a live host of the data centre says that a service whose
// queue it holds has no usable target.
func (membership *Membership) Down(now time.Time, service string) bool {
	for _, member := range membership.members {
		heartbeat := member.heartbeat
		if heartbeat.DataCentre == membership.own.DataCentre && now.Sub(member.heard) <= FailureTimeout &&
			slices.Contains(heartbeat.Down, service) {
			return true
		}
	}
	return false
}

// Member is the last known state of a host.
type Member struct {
	heartbeat Heartbeat
	heard     time.Time
	listed    platform.HostState
	since     time.Time
}

// Heartbeat returns the last heartbeat.
func (member *Member) Heartbeat() Heartbeat { return member.heartbeat }

// Heard returns when the last heartbeat came, zero if none did.
func (member *Member) Heard() time.Time { return member.heard }

const (
	// FailureTimeout is the silence after which a host counts as dead.
	FailureTimeout = 2 * time.Second
	// settleTime is the age that a view needs before unowned slots are claimed.
	settleTime = 1200 * time.Millisecond
	// forgetAfter is the silence after which a host that is not listed is forgotten.
	forgetAfter = time.Minute
	// rebalanceInterval is the time between slots taken from busier hosts.
	rebalanceInterval = 2 * time.Second
)

// Membership is one host's view. It is not safe for concurrent use.
type Membership struct {
	own         Heartbeat
	members     map[string]*Member
	started     time.Time
	rebalanceAt time.Time
	relaySkip   bool // the next round of heartbeats leaves out other data centres
}

// NewMembership returns a view that knows only its own host.
func NewMembership(now time.Time, own Heartbeat) *Membership {
	return &Membership{own: own, members: make(map[string]*Member), started: now, rebalanceAt: now.Add(rebalanceInterval)}
}

// Own returns the host's own heartbeat.
func (membership *Membership) Own() Heartbeat { return membership.own }

// SetOwn replaces the host's own heartbeat.
func (membership *Membership) SetOwn(own Heartbeat) { membership.own = own }

// Hear takes a heartbeat of another host.
func (membership *Membership) Hear(now time.Time, heartbeat Heartbeat) {
	if heartbeat.Name == membership.own.Name || heartbeat.Name == "" {
		return
	}
	member, ok := membership.members[heartbeat.Name]
	if !ok {
		member = &Member{}
		membership.members[heartbeat.Name] = member
	}
	if member.heartbeat.Incarnation != heartbeat.Incarnation {
		member.since = now
	}
	member.heartbeat = heartbeat
	member.heard = now
}

// List takes the platform's list. It adds hosts to talk to; it removes none
// that is heard.
func (membership *Membership) List(now time.Time, hosts []platform.Host) {
	for _, member := range membership.members {
		member.listed = ""
	}
	for _, host := range hosts {
		if host.Name == membership.own.Name {
			continue
		}
		member, ok := membership.members[host.Name]
		if !ok {
			member = &Member{heartbeat: Heartbeat{Name: host.Name, DataCentre: host.DataCentre, Address: host.Address}}
			membership.members[host.Name] = member
		}
		if now.Sub(member.heard) > FailureTimeout {
			member.heartbeat.Address = host.Address
			member.heartbeat.DataCentre = host.DataCentre
		}
		member.listed = cmp.Or(host.State, platform.HostLive)
	}
	for name, member := range membership.members {
		if member.listed == "" && now.Sub(member.heard) > forgetAfter {
			delete(membership.members, name)
		}
	}
}

// Find returns a host by name.
func (membership *Membership) Find(name string) (*Member, bool) {
	member, ok := membership.members[name]
	return member, ok
}

// Alive reports whether an incarnation of a host was heard of recently.
func (membership *Membership) Alive(now time.Time, name, incarnation string) bool {
	if name == membership.own.Name {
		return incarnation == membership.own.Incarnation
	}
	member, ok := membership.members[name]
	return ok && member.heartbeat.Incarnation == incarnation && now.Sub(member.heard) <= FailureTimeout
}

// Live returns the hosts of a data centre that are alive and stay, with the
// own host if it belongs to them, in order of name.
func (membership *Membership) Live(now time.Time, dataCentre string) []Heartbeat {
	var live []Heartbeat
	if membership.own.DataCentre == dataCentre && !membership.own.Leaving {
		live = append(live, membership.own)
	}
	for _, member := range membership.members {
		heartbeat := member.heartbeat
		if heartbeat.DataCentre == dataCentre && now.Sub(member.heard) <= FailureTimeout && !heartbeat.Leaving {
			live = append(live, heartbeat)
		}
	}
	slices.SortFunc(live, func(a, b Heartbeat) int { return cmp.Compare(a.Name, b.Name) })
	return live
}

// Known returns every other host of a data centre, the recently heard first.
func (membership *Membership) Known(now time.Time, dataCentre string) []Heartbeat {
	var known []*Member
	for _, member := range membership.members {
		if member.heartbeat.DataCentre == dataCentre && member.heartbeat.Address != "" {
			known = append(known, member)
		}
	}
	slices.SortFunc(known, func(a, b *Member) int {
		if c := b.heard.Compare(a.heard); c != 0 {
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

// All returns every other host in order of name.
func (membership *Membership) All() []*Member {
	all := make([]*Member, 0, len(membership.members))
	for _, member := range membership.members {
		all = append(all, member)
	}
	slices.SortFunc(all, func(a, b *Member) int { return cmp.Compare(a.heartbeat.Name, b.heartbeat.Name) })
	return all
}

// Owner is the ownership of one slot as the ledger has it.
type Owner struct {
	Host        string
	Incarnation string
}

// Wanted returns the slots that this host should claim: those without a live
// owner for which it ranks first, and now and then one of a host that owns
// more than its share.
func (membership *Membership) Wanted(now time.Time, owners [ledger.SlotCount]Owner) []int {
	if membership.own.Leaving || now.Sub(membership.started) < settleTime {
		return nil
	}
	live := membership.Live(now, membership.own.DataCentre)
	names := make([]string, len(live))
	for index, heartbeat := range live {
		names[index] = heartbeat.Name
	}
	counts := make(map[string]int)
	var wanted, taken []int
	for slot, owner := range owners {
		staying := membership.Alive(now, owner.Host, owner.Incarnation) && slices.Contains(names, owner.Host)
		if staying {
			counts[owner.Host]++
			taken = append(taken, slot)
			continue
		}
		if Rank("slot", slot, names)[0] == membership.own.Name {
			wanted = append(wanted, slot)
		}
	}
	if len(wanted) == 0 {
		wanted = membership.rebalance(now, owners, counts, taken, names)
	}
	return wanted
}

// rebalance picks one slot of a host that owns more than its share, if this
// host owns less than its own.
func (membership *Membership) rebalance(now time.Time, owners [ledger.SlotCount]Owner, counts map[string]int, taken []int, names []string) []int {
	if now.Before(membership.rebalanceAt) || len(names) < 2 {
		return nil
	}
	membership.rebalanceAt = now.Add(rebalanceInterval)
	share := ledger.SlotCount / len(names)
	if counts[membership.own.Name] >= share {
		return nil
	}
	for _, slot := range taken {
		host := owners[slot].Host
		if counts[host] > share+1 && Rank("rebalance", slot, names)[0] == membership.own.Name {
			return []int{slot}
		}
	}
	for _, slot := range taken {
		if host := owners[slot].Host; counts[host] > share+1 {
			return []int{slot}
		}
	}
	return nil
}

// Rank orders names by rendezvous hashing for a numbered item of a kind. Every
// host that sees the same names gets the same order.
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

// RankKey orders names by rendezvous hashing for a named item.
func RankKey(kind, key string, names []string) []string {
	return Rank(kind+"\x00"+key, 0, names)
}

// witnessCount is the number of hosts whose memory backs an ownership.
const witnessCount = 3

// Witnesses returns the incarnations of the hosts that should back the slots
// of this host.
func (membership *Membership) Witnesses(now time.Time) []string {
	incarnations := make(map[string]string)
	var names []string
	for _, heartbeat := range membership.Live(now, membership.own.DataCentre) {
		if heartbeat.Name != membership.own.Name {
			names = append(names, heartbeat.Name)
			incarnations[heartbeat.Name] = heartbeat.Incarnation
		}
	}
	var witnesses []string
	for _, name := range RankKey("witness", membership.own.Name, names) {
		if len(witnesses) < witnessCount {
			witnesses = append(witnesses, incarnations[name])
		}
	}
	return witnesses
}
