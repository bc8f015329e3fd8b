// Package membership decides which hosts are alive, and which hosts tell each other
// what. It performs no I/O.
//
// Up to fullExchangeHosts hosts exchange digests with each other. In a larger fleet
// each data centre has a few aggregators: every other host reports to one of them,
// aggregators exchange digests of their groups with each other, and the response to a
// report says what has changed in the fleet. With groups of about the square root of
// the number of hosts, an aggregator serves as many hosts as it has other aggregators,
// and any other host makes one call at each interval, however large the fleet is.
//
// Aggregators follow from the view of each host and need no election: a host that gets
// a report aggregates, and hosts whose views differ for a while only exchange more.
package membership

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// CallTimeout is the timeout of a report or a digest. A second call is made in the
	// next interval.
	CallTimeout = 240 * time.Millisecond
	// Interval is the time between two reports, or two digests, of a host. Load and
	// demand change within about a turn.
	Interval = 250 * time.Millisecond
	// AliveTimeout is how long a host counts as alive after it was heard from: three
	// intervals, with a margin.
	AliveTimeout = 800 * time.Millisecond
	// relayedTimeout is how long a host counts as alive after another one has said that
	// it is. A host whose aggregator is lost must reach the others through the next
	// one meanwhile: an interval, a timeout, and an interval of the next aggregator.
	relayedTimeout = 1200 * time.Millisecond
	// reportTimeout is how long a host counts as alive after its report. If its aggregator
	// does not respond it reports to another one, which tells the others a little later.
	reportTimeout = time.Second
	// handoverTimeout is how long the list of an aggregator holds after its last response
	// if the host reports to another one, which may be new itself.
	handoverTimeout = 600 * time.Millisecond
	// MemberTTL is how long a host is remembered after it was last alive; afterwards
	// other hosts need none of its state.
	MemberTTL = 60 * time.Second

	standstill        = time.Second      // without an interval, after which this host was suspended or out of processor time
	recentTime        = 5 * time.Second  // for which a new host is told to hosts of protocol 0
	introductionTime  = 3 * time.Second  // after its discovery a host may be chosen as an aggregator before it was heard from
	failurePause      = 2 * time.Second  // for which a host that did not respond to a report gets none
	unreachablePause  = time.Second      // for which a host that this host cannot connect to counts as lost
	longestReportGap  = 10 * time.Second // after which a reporting host gets the complete list
	fullExchangeHosts = 24               // up to which all hosts exchange digests with each other
)

// member is another host.
type member struct {
	State
	discovered  time.Time // or introduced again by another host
	heardAt     time.Time // from the host itself
	aliveUntil  time.Time // as far as this host and other aggregators say
	lingers     time.Time // until then it is alive, as far as the previous aggregator of this host has said
	lastAlive   time.Time // as of the refreshes
	vouched     bool      // the aggregator of this host says that it is alive
	unreachable time.Time // until then, this host could not connect to it
	failedUntil time.Time // gets no reports until then
	exchanging  bool      // a call to it is in flight
	living      bool      // as of the last refresh
	alive       bool      // the same, and this host can connect to it
	namedAt     time.Time // when another aggregator last named it as one
	direct      Summary   // of a report or, with protocol 0, a status
	reportedAt  time.Time // last report to this host
	replaced    Member    // earlier incarnation that this one has replaced
	replacedAt  time.Time
}

// group is the last digest of another aggregator.
type group struct {
	aggregator Member
	sequence   uint64
	members    []State
	summary    Summary
	heardAt    time.Time
	known      uint64 // sequence of this host's group that the other one has
	introduce  bool   // the next digest must introduce the hosts
	namePeers  bool   // the next digest must name the aggregators
}

// entry is a host in the list that this host gives to those that report to it.
type entry struct {
	state   State
	alive   bool
	changed uint64
}

// View is this host's view of the fleet. Its methods must not be called concurrently.
type View struct {
	self    State
	members map[string]*member // by host
	ordered []*member          // the same, those of this data centre first, by name; nil after a change
	groups  map[string]*group  // by aggregator

	entries       map[string]*entry
	sequence      uint64 // of entries
	groupSequence uint64
	group         []State // hosts that report to this host, and itself

	upstream         string // incarnation of the aggregator whose list this host has
	upstreamSequence uint64
	upstreamAt       time.Time // last response
	upstreamSummary  Summary
	resync           bool // the list of this host differs from that of its aggregator
	aggregating      bool
	elected          map[string]Member // aggregators among candidates, by name
	electors         []Member          // the candidates
	candidateStates  []State           // of the last interval
	probeAt          int               // position of the next unreachable host to call
	alive            []*member
	generation       uint64 // changes with the hosts that are alive or stopping
	refreshedAt      time.Time
	lost             []*member // remembered, but not alive
	nextAt           time.Time // last interval
	runningSince     time.Time // this host has heard others without a standstill
	startedAt        time.Time
}

// NewView returns the view of a host that knows no others. The host announces the protocol
// of this build, or the later one that it names.
func NewView(self Member, now time.Time) *View {
	self.Protocol = max(self.Protocol, Protocol)
	start := uint64(now.UnixNano()) // so that the numbers of an earlier incarnation are not repeated
	return &View{
		self: State{Member: self}, members: make(map[string]*member), groups: make(map[string]*group),
		entries: make(map[string]*entry), sequence: start, groupSequence: start, nextAt: now, runningSince: now, startedAt: now,
	}
}

// SetSelf replaces the state of this host.
func (view *View) SetSelf(state State) {
	state.Member = view.self.Member
	view.self = state
}

// Self returns the state of this host.
func (view *View) Self() State { return view.self }

// Aggregating reports whether this host aggregates.
func (view *View) Aggregating() bool { return view.aggregating }

// Relaying reports whether other hosts report to this host.
func (view *View) Relaying() bool { return len(view.group) > 1 }

// Discover adds a host, or replaces its incarnation, and reports whether it did. An
// earlier incarnation does not replace a later one that is alive. Incarnations sort by the
// wall clock of their host, which may have been set back: one that this view has replaced
// does not return either.
func (view *View) Discover(found Member, now time.Time) bool {
	if found.Host == "" || found.Host == view.self.Host || found.Address == "" {
		return false
	}
	known, ok := view.members[found.Host]
	if ok && known.Incarnation == found.Incarnation {
		// A host of protocol 0 passes members on without the fields that it doesn't know.
		known.Protocol, known.Capacity = max(known.Protocol, found.Protocol), max(known.Capacity, found.Capacity)
		return false
	}
	if ok && known.isLiving(view, now) && (known.Incarnation > found.Incarnation || known.replaced.Incarnation == found.Incarnation) {
		return false
	}
	discovered := &member{State: State{Member: found}, discovered: now}
	if ok {
		discovered.replaced, discovered.replacedAt = known.Member, now
	}
	view.members[found.Host] = discovered
	view.ordered = nil
	view.generation++
	return true
}

// observe records what a member has said of itself. It returns nil if a later
// incarnation is known.
func (view *View) observe(state State, now time.Time) *member {
	view.Discover(state.Member, now)
	known, ok := view.members[state.Host]
	if !ok || known.Incarnation != state.Incarnation {
		return nil
	}
	view.replaceState(known, state)
	known.heardAt = now
	known.unreachable, known.failedUntil = time.Time{}, time.Time{}
	known.aliveUntil = later(known.aliveUntil, now.Add(AliveTimeout))
	view.stale(!known.alive)
	return known
}

// setState replaces the state of a member but keeps what a host of protocol 0 has not
// passed on.
func (member *member) setState(state State) {
	state.Protocol, state.Capacity = max(state.Protocol, member.Protocol), max(state.Capacity, member.Capacity)
	member.State = state
}

// ObserveStatus records the status of a host that this host exchanges its status with.
// It reports whether the host was lost before.
func (view *View) ObserveStatus(state State, summary Summary, now time.Time) (returned bool) {
	previous, known := view.members[state.Host]
	returned = known && !previous.lastAlive.IsZero() && !previous.isLiving(view, now)
	if member := view.observe(state, now); member != nil {
		member.direct = summary
	}
	return returned
}

// stale makes the next query refresh the view if something has changed.
func (view *View) stale(changed bool) {
	if changed {
		view.refreshedAt = time.Time{}
	}
}

// Unreachable records that this host could not connect to another one.
func (view *View) Unreachable(address string, now time.Time) {
	for _, member := range view.alive {
		if member.Address == address {
			member.unreachable = now.Add(unreachablePause)
			view.refreshedAt = time.Time{}
		}
	}
}

// isLiving reports whether a member is alive. A member may be alive though nobody has
// said so recently, if the aggregator of this host had it in its list and has reported
// no change.
func (member *member) isLiving(view *View, now time.Time) bool {
	return member.confirmed(now) || now.Before(member.lingers) || member.vouched && now.Sub(view.upstreamAt) < relayedTimeout
}

// confirmed reports whether a member was heard from, by this host or by an aggregator
// that it reports to.
func (member *member) confirmed(now time.Time) bool { return now.Before(member.aliveUntil) }

// Refresh determines which hosts are alive.
func (view *View) Refresh(now time.Time) {
	changed := false
	view.alive, view.lost = view.alive[:0], view.lost[:0]
	for _, member := range view.order() {
		was := member.alive
		member.living = member.isLiving(view, now)
		member.alive = member.living && !now.Before(member.unreachable)
		changed = changed || was != member.alive
		if member.living {
			member.lastAlive = now
		}
		switch {
		case member.alive:
			view.alive = append(view.alive, member)
		case now.Sub(later(member.lastAlive, member.discovered)) > MemberTTL:
			delete(view.members, member.Host)
			view.ordered = nil
		default:
			view.lost = append(view.lost, member)
		}
	}
	if changed {
		view.generation++
	}
	for aggregator, group := range view.groups {
		if now.Sub(group.heardAt) > relayedTimeout {
			delete(view.groups, aggregator)
		}
	}
	view.refreshedAt = now
}

// order returns the other hosts, those of this data centre first, by name.
func (view *View) order() []*member {
	if view.ordered != nil {
		return view.ordered
	}
	view.ordered = make([]*member, 0, len(view.members))
	for _, member := range view.members {
		view.ordered = append(view.ordered, member)
	}
	slices.SortFunc(view.ordered, func(left, right *member) int {
		leftLocal, rightLocal := left.DataCentre == view.self.DataCentre, right.DataCentre == view.self.DataCentre
		if leftLocal != rightLocal {
			if leftLocal {
				return -1
			}
			return 1
		}
		return strings.Compare(left.Host, right.Host)
	})
	return view.ordered
}

// refreshAge is how old the list of living hosts may be.
const refreshAge = 100 * time.Millisecond

// refreshIfOld refreshes the view unless it was refreshed just now.
func (view *View) refreshIfOld(now time.Time) {
	if now.Sub(view.refreshedAt) >= refreshAge || now.Before(view.refreshedAt) {
		view.Refresh(now)
	}
}

// Weight is the rendezvous hashing weight of a host for a key.
func Weight(host, key string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// Writing to a digest never returns an error.
	_, _ = digest.WriteString(host)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}

// groupSize returns the number of hosts in the group of an aggregator.
func groupSize(hosts int) int {
	if hosts <= fullExchangeHosts {
		return 1
	}
	return int(math.Ceil(math.Sqrt(float64(hosts))))
}

func later(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}
