package budget

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/metric"
)

// Homes finds the host that counts a program's budget, so that the turns of a
// program that come through many hosts share one part of it. Hosts that
// disagree about it count apart, which is safe.
type Homes interface {
	Counting(program string) (address string, self bool)
	Reserve(ctx context.Context, address string, question Question) (Answer, error)
	Settle(address string, settlement Settlement)
	// Begun asks the homes of other data centres whether they know a program.
	Begun(ctx context.Context, program string) bool
}

// Claim is what a turn asks of its program's budget.
type Claim struct {
	Program  string        `msgpack:"p"`
	Budget   int           `msgpack:"b"`
	Tokens   int           `msgpack:"t"`
	Expires  time.Duration `msgpack:"e"`           // an unsettled reservation counts as spent after it
	UnderWay bool          `msgpack:"f,omitempty"` // take the tokens only if the program has begun
}

// ErrNotBegun reports a claim for programs under way only, by one that has not
// begun.
var ErrNotBegun = errors.New("program has not begun")

// Question asks the home of a program for tokens.
type Question struct {
	ID    string `msgpack:"i"` // of the reservation
	Claim Claim  `msgpack:"c"`
}

// Answer is the home's answer.
type Answer struct {
	Spent    bool `msgpack:"s,omitempty"` // the budget does not hold the tokens
	NotBegun bool `msgpack:"n,omitempty"`
}

// Settlement ends a reservation.
type Settlement struct {
	Program string `msgpack:"p"`
	ID      string `msgpack:"i"`
	Used    int    `msgpack:"u,omitempty"`
}

const expiryMargin = 2 * time.Second // for a settlement on its way

// Counter reserves at the home of each program, or here if the home does not
// answer.
type Counter struct {
	purses  *Purses
	homes   Homes
	clock   clockwork.Clock
	metrics *metric.Metrics

	mutex  sync.Mutex
	serial int64
	open   map[string]held // reservations of other hosts, and settlements that came before them
}

type held struct {
	reservation *Reservation
	expires     time.Time
}

// NewCounter returns a counter over purses.
func NewCounter(purses *Purses, homes Homes, clock clockwork.Clock, metrics *metric.Metrics) *Counter {
	return &Counter{purses: purses, homes: homes, clock: clock, metrics: metrics, open: make(map[string]held)}
}

// Reserve takes tokens for a turn. Settle must be called with what the turn has
// generated.
func (counter *Counter) Reserve(ctx context.Context, claim Claim) (settle func(used int), err error) {
	address, self := counter.homes.Counting(claim.Program)
	if !self {
		id := counter.purses.book.holder + "/" + strconv.FormatInt(counter.next(), 36)
		settlement := Settlement{Program: claim.Program, ID: id}
		answer, err := counter.homes.Reserve(ctx, address, Question{ID: id, Claim: claim})
		switch {
		case err == nil && answer.Spent:
			return nil, ErrSpent
		case err == nil && answer.NotBegun:
			return nil, ErrNotBegun
		case err == nil:
			return func(used int) {
				settlement.Used = used
				counter.homes.Settle(address, settlement)
			}, nil
		}
		// The home may have reserved, or may do so later.
		counter.homes.Settle(address, settlement)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		counter.metrics.Retried("budget_home_lost")
		claim.UnderWay = false // nobody else knows
	}
	reservation, err := counter.reserve(ctx, claim)
	if err != nil {
		return nil, err
	}
	return reservation.Settle, nil
}

// reserve takes tokens here.
func (counter *Counter) reserve(ctx context.Context, claim Claim) (*Reservation, error) {
	if claim.UnderWay && !counter.Begun(claim.Program) && !counter.homes.Begun(ctx, claim.Program) {
		return nil, ErrNotBegun
	}
	return counter.purses.Reserve(ctx, claim)
}

// Begun reports whether the program has taken a part of its budget, as far as
// this host knows.
func (counter *Counter) Begun(program string) bool { return counter.purses.begun(program) }

// Serve answers another host.
func (counter *Counter) Serve(ctx context.Context, question Question) (Answer, error) {
	reservation, err := counter.reserve(ctx, question.Claim)
	switch {
	case errors.Is(err, ErrSpent):
		return Answer{Spent: true}, nil
	case errors.Is(err, ErrNotBegun):
		return Answer{NotBegun: true}, nil
	case err != nil:
		return Answer{}, err
	}
	counter.mutex.Lock()
	_, settled := counter.open[question.ID]
	counter.open[question.ID] = held{reservation: reservation, expires: counter.clock.Now().Add(question.Claim.Expires + expiryMargin)}
	counter.mutex.Unlock()
	if settled {
		counter.Settled(Settlement{ID: question.ID})
	}
	return Answer{}, nil
}

func (counter *Counter) next() int64 {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	counter.serial++
	return counter.serial
}

// Settled ends a reservation of another host.
func (counter *Counter) Settled(settlement Settlement) {
	counter.mutex.Lock()
	one, ok := counter.open[settlement.ID]
	if ok && one.reservation != nil {
		delete(counter.open, settlement.ID)
	} else {
		counter.open[settlement.ID] = held{expires: counter.clock.Now().Add(expiryMargin)}
	}
	counter.mutex.Unlock()
	if one.reservation != nil {
		one.reservation.Settle(settlement.Used)
	}
}

// Tidy counts reservations as spent whose host has not settled them in time,
// and forgets programs that are over.
func (counter *Counter) Tidy() {
	now := counter.clock.Now()
	counter.mutex.Lock()
	var late []*Reservation
	for id, one := range counter.open {
		if now.After(one.expires) {
			if one.reservation != nil {
				late = append(late, one.reservation)
			}
			delete(counter.open, id)
		}
	}
	counter.mutex.Unlock()
	for _, reservation := range late {
		reservation.Settle(reservation.tokens)
		counter.metrics.Count("reservations_expired")
	}
	counter.purses.Forget()
}
