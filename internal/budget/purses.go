package budget

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/store"
)

// ErrSpent reports a budget that does not hold one more turn.
var ErrSpent = errors.New("budget of the program is spent")

const (
	sliceShare = 0.4              // of a budget that a host takes at most beyond what it needs
	sliceTurns = 2                // turns at their largest that a host takes: a host that is lost forfeits no more
	memoryTime = 3 * time.Minute  // longer than any route remembers a program that makes no requests
	ledgerTime = 30 * time.Minute // without a taking, after which a program is over: its parts are small
)

// ErrStoreLost reports that more of a budget cannot be taken now.
var ErrStoreLost = errors.New("store is not reached, so no part of the budget can be taken")

// Recaller asks another host to return what it holds of a budget and has not
// spent, and returns how much that was. Lost tells that the host is gone for
// good.
type Recaller func(ctx context.Context, holder, program string) (returned int, lost bool, err error)

// Purses holds this host's parts of budgets.
type Purses struct {
	book   *book
	clock  clockwork.Clock
	logger log.Interface
	recall Recaller
	// reachable reports whether the store can be called.
	reachable func() bool

	mutex  sync.Mutex
	purses map[string]*purse
}

// purse is what this host has taken of a program's budget.
type purse struct {
	mutex    sync.Mutex // held while the store is asked
	counts   sync.Mutex
	budget   int
	taken    int
	spent    int
	reserved int
	used     time.Time
}

// Parts are what purses work with.
type Parts struct {
	Store      store.Store
	Writer     *store.Writer
	Expiry     *store.Expiry
	Clock      clockwork.Clock
	Logger     log.Interface
	Holder     string // incarnation of the host
	Partitions int
	Recall     Recaller
	Reachable  func() bool // whether the store can be called
}

// NewPurses returns purses of a host.
func NewPurses(parts Parts) *Purses {
	purses := &Purses{
		clock: parts.Clock, logger: parts.Logger, recall: parts.Recall, reachable: parts.Reachable, purses: make(map[string]*purse),
	}
	purses.book = newBook(parts, purses.credit)
	return purses
}

// credit counts what holds of an entry once it has been read back. Returned
// tokens were reserved until then.
func (purses *Purses) credit(program string, held int) {
	purses.mutex.Lock()
	one, ok := purses.purses[program]
	purses.mutex.Unlock()
	if !ok {
		return
	}
	one.counts.Lock()
	defer one.counts.Unlock()
	one.taken += held
	if held < 0 {
		one.reserved += held
	}
}

// Reservation is a turn's part of a budget.
type Reservation struct {
	purse  *purse
	tokens int
	once   sync.Once
}

// Settle counts what the turn has generated and frees the rest.
func (reservation *Reservation) Settle(used int) {
	reservation.once.Do(func() {
		purse := reservation.purse
		purse.counts.Lock()
		defer purse.counts.Unlock()
		purse.reserved -= reservation.tokens
		purse.spent += used
	})
}

// Reserve takes tokens for one turn. It returns ErrSpent if the budget does not
// hold them, and another error if that cannot be told now.
func (purses *Purses) Reserve(ctx context.Context, claim Claim) (*Reservation, error) {
	program, tokens := claim.Program, claim.Tokens
	purse := purses.purse(program, claim.Budget)
	if purse.reserve(tokens, purses.clock.Now()) {
		return &Reservation{purse: purse, tokens: tokens}, nil
	}
	purse.mutex.Lock()
	defer purse.mutex.Unlock()
	// A turn that waited here too may have brought enough for both.
	if purse.reserve(tokens, purses.clock.Now()) {
		return &Reservation{purse: purse, tokens: tokens}, nil
	}
	if err := purses.fill(ctx, program, purse, tokens); err != nil {
		return nil, err
	}
	if purse.reserve(tokens, purses.clock.Now()) {
		return &Reservation{purse: purse, tokens: tokens}, nil
	}
	purses.logger.WithFields(purse.fields(program, tokens)).Info("budget does not hold one more turn")
	return nil, ErrSpent
}

// begun reports whether any host has taken a part of the program's budget, as
// far as this one knows.
func (purses *Purses) begun(program string) bool {
	purses.mutex.Lock()
	_, here := purses.purses[program]
	purses.mutex.Unlock()
	taken, holders := purses.book.known(program)
	return here || taken > 0 || len(holders) > 0
}

// fill takes more of the budget, and calls back what other hosts hold if that
// is not enough.
func (purses *Purses) fill(ctx context.Context, program string, purse *purse, tokens int) error {
	if err := purses.take(ctx, program, purse, tokens); err != nil || purse.free() >= tokens {
		return err
	}
	_, holders := purses.book.known(program)
	recalled := 0
	for _, holder := range holders {
		returned, lost, err := purses.recall(ctx, holder, program)
		if err != nil && !lost {
			return fmt.Errorf("recall the part of host %q: %w", holder, err)
		}
		recalled += returned
	}
	if recalled == 0 {
		return nil
	}
	return purses.take(ctx, program, purse, tokens)
}

func (purses *Purses) take(ctx context.Context, program string, purse *purse, tokens int) error {
	missing := tokens - purse.free()
	taken, holders := purses.book.known(program)
	if len(holders) == 0 && purse.budget-taken <= 0 && purse.taken > 0 {
		return nil
	}
	if !purses.reachable() {
		return ErrStoreLost
	}
	ask := max(missing, min(int(sliceShare*float64(purse.budget)), sliceTurns*tokens))
	if err := purses.book.take(ctx, program, purse.budget, ask); err != nil {
		return err
	}
	purses.logger.WithFields(purse.fields(program, tokens)).WithFields(log.Fields{"asked": ask, "taken_before": taken}).Info("part of a budget taken")
	return nil
}

// Release returns what this host holds of a program and has not spent. Another
// host has asked for it.
func (purses *Purses) Release(ctx context.Context, program string) (int, error) {
	purses.mutex.Lock()
	one, ok := purses.purses[program]
	purses.mutex.Unlock()
	if !ok {
		return 0, nil
	}
	one.counts.Lock()
	free := max(0, one.taken-one.spent-one.reserved)
	budget := one.budget
	one.reserved += free
	one.counts.Unlock()
	if free == 0 {
		return 0, nil
	}
	if err := purses.book.take(ctx, program, budget, -free); err != nil {
		return 0, err
	}
	return free, nil
}

func (purses *Purses) purse(program string, budget int) *purse {
	purses.mutex.Lock()
	defer purses.mutex.Unlock()
	one, ok := purses.purses[program]
	if !ok {
		one = &purse{budget: budget, used: purses.clock.Now()}
		purses.purses[program] = one
	}
	return one
}

// Forget drops programs that have not been heard of for long.
func (purses *Purses) Forget() {
	before := purses.clock.Now().Add(-memoryTime)
	purses.mutex.Lock()
	for program, one := range purses.purses {
		one.counts.Lock()
		if one.reserved == 0 && one.used.Before(before) {
			delete(purses.purses, program)
			purses.book.drop(program)
		}
		one.counts.Unlock()
	}
	purses.mutex.Unlock()
	purses.book.forget(purses.clock.Now().Add(-ledgerTime))
}

func (purse *purse) reserve(tokens int, now time.Time) bool {
	purse.counts.Lock()
	defer purse.counts.Unlock()
	purse.used = now
	if purse.taken-purse.spent-purse.reserved < tokens {
		return false
	}
	purse.reserved += tokens
	return true
}

func (purse *purse) free() int {
	purse.counts.Lock()
	defer purse.counts.Unlock()
	return purse.taken - purse.spent - purse.reserved
}

// fields describe a purse in logs.
func (purse *purse) fields(program string, tokens int) log.Fields {
	purse.counts.Lock()
	defer purse.counts.Unlock()
	return log.Fields{
		"program": program, "budget": purse.budget, "tokens": tokens, "taken": purse.taken, "spent": purse.spent, "reserved": purse.reserved,
	}
}
