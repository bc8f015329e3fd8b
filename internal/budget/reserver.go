package budget

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/locality"
	"github.com/godwitspread/godwitspread/internal/metric"
)

// Coordinators locates and calls the coordinator of a program: the host that
// counts its budget, so that turns of the program on many hosts share one
// allocation. The programs of a partition have the same coordinator, which so reads
// few partitions and writes to each of them often. Hosts that disagree on the coordinator count separate
// allocations, which is safe because the order of the entries in the store
// limits their total.
type Coordinators interface {
	BudgetCoordinator(partition string) (address string, self bool)
	Reserve(ctx context.Context, address string, request ReservationRequest) (ReservationResponse, error)
	Settle(address string, settlement Settlement)
	// Started asks the coordinators of the program's partition in other data centres
	// whether the program has started.
	Started(ctx context.Context, partition, program string) bool
	// Locations asks the same coordinators for the locations of the program's latest turns.
	Locations(ctx context.Context, partition, program string) []locality.Location
}

// Claim describes the tokens that a turn needs from the budget of its program.
type Claim struct {
	Program     string        `msgpack:"p"`
	Budget      int           `msgpack:"b"`
	Tokens      int           `msgpack:"t"`
	TTL         time.Duration `msgpack:"e"`           // after which an unsettled reservation counts as spent
	StartedOnly bool          `msgpack:"f,omitempty"` // reserve the tokens only if the program has started
	Charges     []Charge      `msgpack:"x,omitempty"` // of the last kept turns that the turn continues
	// Prefixes are digests of the prompt of the turn that this one continues, as far as
	// the host does not know which target has cached it.
	Prefixes []uint64 `msgpack:"l,omitempty"`

	request   string // ID of the reservation, if another host has asked for it
	abandoned string // ID of a reservation that this host has asked another one for and does not use
}

// ErrNotStarted reports that a claim restricted to started programs was refused
// because its program has not started.
var ErrNotStarted = errors.New("program has not started")

// ReservationRequest asks the coordinator of a program to reserve tokens for a
// turn.
type ReservationRequest struct {
	ID    string `msgpack:"i"` // of the reservation
	Claim Claim  `msgpack:"c"`
	// AwaitsLoad says that the host understands ReservationResponse.Loading.
	AwaitsLoad bool `msgpack:"w,omitempty"`
	// Unloaded says that the host would have to load the entries of the program itself, which
	// takes longer than a coordinator that is only slow.
	Unloaded bool `msgpack:"-"`
}

// ReservationResponse is the coordinator's response to a reservation request.
type ReservationResponse struct {
	Spent      bool    `msgpack:"s,omitempty"` // the rest of the budget is less than the claimed tokens
	NotStarted bool    `msgpack:"n,omitempty"`
	Loading    bool    `msgpack:"w,omitempty"` // nothing is reserved, because the coordinator has not loaded the entries yet
	Hold       *HoldID `msgpack:"d,omitempty"` // of the reserved tokens in the store

	Locations []locality.Location `msgpack:"l,omitempty"` // of the latest turns of the program
}

// Settlement ends a reservation.
type Settlement struct {
	Program string `msgpack:"p"`
	ID      string `msgpack:"i"`
	Used    int    `msgpack:"u,omitempty"`
	// Abandoned says that the host got no response and uses no tokens of the reservation.
	Abandoned bool               `msgpack:"a,omitempty"`
	Location  *locality.Location `msgpack:"l,omitempty"` // of the turn
}

const (
	settlementMargin = 2 * time.Second        // for a settlement in transit
	loadWait         = 150 * time.Millisecond // for one request; half of the time in which a coordinator must respond
	maxLoadWait      = time.Second            // after which a caller is refused while the entries of its budget are loaded
)

// errCoordinatorLoading reports that the coordinator has reserved nothing, because it
// has not loaded the entries of the budget yet.
var errCoordinatorLoading = errors.New("coordinator loads the entries of the budget")

// Reserver reserves tokens at the coordinator of each program, or on this host
// if the coordinator does not respond.
type Reserver struct {
	allocator    *Allocator
	coordinators Coordinators
	clock        clockwork.Clock
	metrics      *metric.Metrics
	locations    *locality.Tracker // of the programs that this host coordinates

	mutex  sync.Mutex
	serial int64
	remote map[string]remoteReservation // reservations of other hosts, by ID
}

// remoteReservation is a reservation made for another host. Its reservation is
// nil if the settlement arrived before the reservation request was handled.
type remoteReservation struct {
	reservation *Reservation
	expires     time.Time
}

// NewReserver returns a reserver on top of the allocator of this host.
func NewReserver(allocator *Allocator, coordinators Coordinators, clock clockwork.Clock, metrics *metric.Metrics) *Reserver {
	return &Reserver{allocator: allocator, coordinators: coordinators, clock: clock, metrics: metrics, locations: locality.New(clock), remote: make(map[string]remoteReservation)}
}

// Reserve reserves tokens for a turn. The caller must settle the reservation with the
// number of tokens that the turn has generated. The error wraps ErrLoading if the host that
// counts the budget has not loaded it in time.
func (reserver *Reserver) Reserve(ctx context.Context, claim Claim) (*Reservation, error) {
	giveUpAt := reserver.clock.Now().Add(maxLoadWait)
	for {
		reservation, err := reserver.reserveAtCoordinator(ctx, claim)
		if !errors.Is(err, errCoordinatorLoading) {
			return reservation, err
		}
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		if !reserver.clock.Now().Before(giveUpAt) {
			return nil, ErrLoading
		}
	}
}

// reserveAtCoordinator reserves tokens at the coordinator of the program, or on this host if
// the coordinator does not respond. It returns errCoordinatorLoading if the coordinator,
// which may have changed since, loads the budget.
func (reserver *Reserver) reserveAtCoordinator(ctx context.Context, claim Claim) (*Reservation, error) {
	address, self := reserver.coordinators.BudgetCoordinator(reserver.allocator.entryLog.partitionName(claim.Program))
	if self {
		switch err := reserver.allocator.awaitLoaded(ctx, claim.Program, loadWait); {
		case errors.Is(err, ErrLoading):
			return nil, errCoordinatorLoading
		case err != nil:
			return nil, err
		}
		return reserver.reserveHere(ctx, claim)
	}
	id := reserver.allocator.entryLog.holder + "/" + strconv.FormatInt(reserver.nextSerial(), 36)
	settlement := Settlement{Program: claim.Program, ID: id}
	response, err := reserver.coordinators.Reserve(ctx, address, ReservationRequest{
		ID: id, Claim: claim, AwaitsLoad: true, Unloaded: !reserver.allocator.entryLog.loaded(claim.Program),
	})
	switch {
	case err == nil && response.Loading:
		return nil, errCoordinatorLoading
	case err == nil && response.Spent:
		return nil, ErrSpent
	case err == nil && response.NotStarted:
		return nil, ErrNotStarted
	case err == nil:
		reservation := &Reservation{locations: response.Locations}
		reservation.settle = func(used int) {
			settlement.Used, settlement.Location = used, reservation.location
			reserver.coordinators.Settle(address, settlement)
		}
		if response.Hold != nil {
			reservation.hold = *response.Hold
		}
		return reservation, nil
	}
	// The coordinator may have reserved the tokens, or may still do so.
	settlement.Abandoned = true
	reserver.coordinators.Settle(address, settlement)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	reserver.metrics.CountRetry("budget_home_lost")
	if err := reserver.allocator.awaitLoaded(ctx, claim.Program, maxLoadWait); err != nil {
		return nil, err
	}
	claim.abandoned = id
	claim.StartedOnly = false // only the coordinator knows whether the program has started
	return reserver.reserveHere(ctx, claim)
}

// reserveHere reserves tokens from the allocation of this host.
func (reserver *Reserver) reserveHere(ctx context.Context, claim Claim) (*Reservation, error) {
	locations := reserver.findLocations(ctx, claim)
	reservation, err := reserver.reserveLocally(ctx, claim)
	if err != nil {
		return nil, err
	}
	reservation.locations = <-locations
	reservation.locate = func(location locality.Location) { reserver.locations.Add(claim.Program, location) }
	return reservation, nil
}

// reserveLocally reserves tokens from the allocation of this host.
func (reserver *Reserver) reserveLocally(ctx context.Context, claim Claim) (*Reservation, error) {
	if claim.StartedOnly && !reserver.Started(claim.Program) && !reserver.coordinators.Started(ctx, reserver.allocator.entryLog.partitionName(claim.Program), claim.Program) {
		return nil, ErrNotStarted
	}
	return reserver.allocator.Reserve(ctx, claim)
}

// Started reports whether this host knows of an allocation of the program's
// budget.
func (reserver *Reserver) Started(program string) bool { return reserver.allocator.started(program) }

// HandleReserve handles a reservation request of another host.
func (reserver *Reserver) HandleReserve(ctx context.Context, request ReservationRequest) (ReservationResponse, error) {
	claim := request.Claim
	claim.request = request.ID
	switch err := reserver.allocator.awaitLoaded(ctx, claim.Program, loadWait); {
	case request.AwaitsLoad && errors.Is(err, ErrLoading):
		return ReservationResponse{Loading: true}, nil
	case err != nil:
		return ReservationResponse{}, err
	}
	locations := reserver.findLocations(ctx, claim)
	reservation, err := reserver.reserveLocally(ctx, claim)
	switch {
	case errors.Is(err, ErrSpent):
		return ReservationResponse{Spent: true}, nil
	case errors.Is(err, ErrNotStarted):
		return ReservationResponse{NotStarted: true}, nil
	case err != nil:
		return ReservationResponse{}, err
	}
	reserver.mutex.Lock()
	_, settled := reserver.remote[request.ID]
	reserver.remote[request.ID] = remoteReservation{reservation: reservation, expires: reserver.clock.Now().Add(request.Claim.TTL + settlementMargin)}
	reserver.mutex.Unlock()
	if settled {
		reserver.HandleSettle(Settlement{Program: request.Claim.Program, ID: request.ID, Abandoned: true})
	}
	return ReservationResponse{Hold: &reservation.hold, Locations: <-locations}, nil
}

func (reserver *Reserver) nextSerial() int64 {
	reserver.mutex.Lock()
	defer reserver.mutex.Unlock()
	reserver.serial++
	return reserver.serial
}

// HandleSettle handles the settlement of another host's reservation. It
// remembers a settlement that arrives before the reservation, which then ends at
// once without spent tokens: its host had given up waiting for it.
func (reserver *Reserver) HandleSettle(settlement Settlement) {
	if settlement.Location != nil {
		reserver.locations.Add(settlement.Program, *settlement.Location)
	}
	reserver.mutex.Lock()
	remote, ok := reserver.remote[settlement.ID]
	if ok && remote.reservation != nil {
		delete(reserver.remote, settlement.ID)
	} else {
		reserver.remote[settlement.ID] = remoteReservation{expires: reserver.clock.Now().Add(settlementMargin)}
	}
	reserver.mutex.Unlock()
	switch {
	case remote.reservation == nil:
	case settlement.Abandoned:
		remote.reservation.drop()
		reserver.allocator.returnDropped(settlement.Program)
	default:
		remote.reservation.Settle(settlement.Used)
	}
}

// Outstanding returns the number of reservations of other hosts that are not settled.
func (reserver *Reserver) Outstanding() int {
	reserver.mutex.Lock()
	defer reserver.mutex.Unlock()
	count := 0
	for _, remote := range reserver.remote {
		if remote.reservation != nil {
			count++
		}
	}
	return count
}

// ExpireReservations counts all tokens of expired reservations of other hosts as spent, and evicts ended programs.
func (reserver *Reserver) ExpireReservations() {
	now := reserver.clock.Now()
	reserver.mutex.Lock()
	var expired []*Reservation
	for id, remote := range reserver.remote {
		if now.After(remote.expires) {
			if remote.reservation != nil {
				expired = append(expired, remote.reservation)
			}
			delete(reserver.remote, id)
		}
	}
	reserver.mutex.Unlock()
	for _, reservation := range expired {
		reservation.forfeit()
		reserver.metrics.Count("reservations_expired")
	}
	reserver.allocator.evict()
}
