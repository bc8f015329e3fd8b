// Package admission is the shell round the counting of workspaces: it admits
// the requests of one host, asks the holders of other hosts for tokens, and
// holds the accounts of the slots that the host owns.
package admission

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/configuration"
	"github.com/godwitspread/godwitspread/internal/duty"
	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/refusal"
	"github.com/godwitspread/godwitspread/internal/workspace"
)

// Methods that hosts call on the holder of a workspace.
const (
	MethodAsk     = "workspace_ask"
	MethodCollect = "workspace_collect"
)

// AskMessage asks the holder of a slot for tokens.
type AskMessage struct {
	Asks []workspace.Ask `msgpack:"asks"`
}

// AskAnswer grants tokens.
type AskAnswer struct {
	Grants []workspace.Grant `msgpack:"grants"`
}

// CollectMessage asks the holder of another data centre to move tokens.
type CollectMessage struct {
	Collect workspace.Collect `msgpack:"collect"`
	Hops    int               `msgpack:"hops"`
}

// CollectAnswer moves tokens.
type CollectAnswer struct {
	Amount float64 `msgpack:"amount"`
}

// Peers reaches holders on other hosts.
type Peers interface {
	// Ask sends asks to the owner of a slot in a data centre.
	Ask(ctx context.Context, dataCentre string, slot int, message AskMessage) (AskAnswer, error)
	// Collect asks the owner of a slot in another data centre for tokens.
	Collect(ctx context.Context, dataCentre string, slot int, message CollectMessage) (CollectAnswer, error)
}

// Holding tells what this host may hold.
type Holding interface {
	// Held returns the epoch in which the host owns a slot, and false if it
	// does not own it or cannot prove it now.
	Held(slot int) (epoch uint64, ok bool)
}

// Limiter admits requests.
type Limiter struct {
	clock      clockwork.Clock
	metrics    *metric.Metrics
	dataCentre string
	peers      Peers
	holding    Holding
	loop       *duty.Loop
	next       atomic.Uint64
	name       string

	// The fields below belong to the loop.
	ctx     context.Context
	text    *configuration.Text
	spender *workspace.Spender
	holder  *workspace.Holder
	waiters map[uint64]chan *refusal.Refusal
	slots   map[int]*heldSlot
	lapsed  map[int]uint64 // epochs in which the proof of a slot was lost
	bySlot  map[int][]configuration.Workspace
	raises  map[string]raise
}

// heldSlot is a slot whose workspaces have accounts here.
type heldSlot struct {
	epoch  uint64
	accrue time.Time
}

// raise postpones a larger share until every host has the new text.
type raise struct {
	share workspace.Share
	at    time.Time
}

const (
	limiterRing = 8192
	limiterTick = 20 * time.Millisecond
	askTimeout  = 700 * time.Millisecond
	// raiseDelay is the time in which a configuration is in force everywhere.
	raiseDelay = 16 * time.Second
)

// NewLimiter returns a limiter without tokens. The name is unique to the
// process.
func NewLimiter(clock clockwork.Clock, metrics *metric.Metrics, dataCentre, name string, peers Peers, holding Holding) *Limiter {
	return &Limiter{
		clock: clock, metrics: metrics, dataCentre: dataCentre, peers: peers, holding: holding, name: name,
		loop: duty.NewLoop(limiterRing), text: &configuration.Text{}, spender: workspace.NewSpender(),
		holder: workspace.NewHolder(name), waiters: make(map[uint64]chan *refusal.Refusal),
		slots: make(map[int]*heldSlot), lapsed: make(map[int]uint64), bySlot: make(map[int][]configuration.Workspace), raises: make(map[string]raise),
	}
}

// Run serves until the context ends.
func (limiter *Limiter) Run(ctx context.Context) {
	limiter.ctx = ctx
	limiter.loop.Run(ctx, limiter.clock, limiterTick, limiter.tick)
}

// SetText applies a new configuration. Smaller shares count at once, larger
// ones when every data centre has had the time to make its own smaller.
func (limiter *Limiter) SetText(text *configuration.Text) {
	limiter.loop.Post(func() {
		before := limiter.text
		limiter.text = text
		limiter.bySlot = make(map[int][]configuration.Workspace)
		for _, space := range text.Workspaces {
			slot := workspace.Slot(space.Name, ledger.SlotCount)
			limiter.bySlot[slot] = append(limiter.bySlot[slot], space)
			limiter.change(before, space)
		}
		// A workspace that comes back may have grants out from before.
		from := limiter.clock.Now().Add(workspace.GrantTTL)
		for slot, held := range limiter.slots {
			limiter.hold(slot, held, from)
		}
	})
}

func (limiter *Limiter) change(before *configuration.Text, space configuration.Workspace) {
	share := workspace.ShareOf(limiter.text, space, limiter.dataCentre)
	old, known := before.Workspace(space.Name)
	if !known {
		return
	}
	earlier := workspace.ShareOf(before, old, limiter.dataCentre)
	if share.Rate > earlier.Rate || share.Burst > earlier.Burst {
		smaller := workspace.Share{Rate: min(share.Rate, earlier.Rate), Burst: min(share.Burst, earlier.Burst)}
		limiter.raises[space.Name] = raise{share: smaller, at: limiter.clock.Now().Add(raiseDelay)}
	}
}

// hold sets the accounts of one slot. New ones accrue from a time on, and not
// before the slot's own wait is over.
func (limiter *Limiter) hold(slot int, held *heldSlot, from time.Time) {
	now := limiter.clock.Now()
	for _, space := range limiter.bySlot[slot] {
		share := workspace.ShareOf(limiter.text, space, limiter.dataCentre)
		if raise, ok := limiter.raises[space.Name]; ok && now.Before(raise.at) {
			share = raise.share
		}
		if share.Rate > 0 {
			limiter.holder.Hold(now, later(from, held.accrue), space.Name, share.Rate, share.Burst)
		}
	}
	for _, name := range limiter.holder.Held() {
		if workspace.Slot(name, ledger.SlotCount) != slot {
			continue
		}
		if _, ok := limiter.text.Workspace(name); !ok {
			limiter.holder.Drop(name)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// follow starts and ends the accounts of slots that were won or lost.
func (limiter *Limiter) follow() {
	now := limiter.clock.Now()
	for slot := range ledger.SlotCount {
		epoch, ok := limiter.holding.Held(slot)
		held, known := limiter.slots[slot]
		if known && (!ok || held.epoch != epoch) {
			for _, name := range limiter.holder.Held() {
				if workspace.Slot(name, ledger.SlotCount) == slot {
					limiter.holder.Drop(name)
				}
			}
			delete(limiter.slots, slot)
			limiter.lapsed[slot] = held.epoch
			known = false
		}
		if ok && !known {
			held = &heldSlot{epoch: epoch, accrue: now.Add(limiter.takeoverWait(slot, epoch))}
			limiter.slots[slot] = held
			limiter.hold(slot, held, now)
		}
	}
}

// takeoverWait returns how long a new account must not accrue: the lease and
// the grants of an earlier holder, or this host's own grants of before it lost
// its proof.
func (limiter *Limiter) takeoverWait(slot int, epoch uint64) time.Duration {
	switch {
	case limiter.lapsed[slot] == epoch:
		return workspace.GrantTTL
	case epoch > 1:
		return workspace.TakeoverWait
	default:
		return 0
	}
}

func (limiter *Limiter) tick() {
	now := limiter.clock.Now()
	limiter.follow()
	limiter.applyRaises(now)
	limiter.answer(limiter.spender.Tick(now))
	limiter.ask(now)
	for _, collect := range limiter.holder.Tick(now) {
		limiter.collect(now, collect)
	}
}

func (limiter *Limiter) applyRaises(now time.Time) {
	for name, raise := range limiter.raises {
		if now.Before(raise.at) {
			continue
		}
		delete(limiter.raises, name)
		slot := workspace.Slot(name, ledger.SlotCount)
		if held, ok := limiter.slots[slot]; ok {
			limiter.hold(slot, held, now)
		}
	}
}

// answer tells waiting requests what became of them.
func (limiter *Limiter) answer(admissions []workspace.Admission) {
	for _, admission := range admissions {
		if waiter, ok := limiter.waiters[admission.ID]; ok {
			delete(limiter.waiters, admission.ID)
			waiter <- admission.Refusal
		}
	}
}

// ask sends the asks of this host, one message for each slot.
func (limiter *Limiter) ask(now time.Time) {
	type place struct {
		dataCentre string
		slot       int
	}
	groups := make(map[place][]workspace.Ask)
	for _, ask := range limiter.spender.Asks(now) {
		space, ok := limiter.text.Workspace(ask.Workspace)
		if !ok {
			limiter.spender.Failed(now, ask.Workspace)
			continue
		}
		to := place{dataCentre: limiter.dataCentre, slot: workspace.Slot(ask.Workspace, ledger.SlotCount)}
		if share := workspace.ShareOf(limiter.text, space, limiter.dataCentre); share.Home != "" {
			to.dataCentre = share.Home
		}
		groups[to] = append(groups[to], ask)
	}
	for to, asks := range groups {
		go limiter.exchange(now, to.dataCentre, to.slot, asks)
	}
}

func (limiter *Limiter) exchange(asked time.Time, dataCentre string, slot int, asks []workspace.Ask) {
	ctx, cancel := context.WithTimeout(limiter.ctx, askTimeout)
	defer cancel()
	answer, err := limiter.peers.Ask(ctx, dataCentre, slot, AskMessage{Asks: asks})
	limiter.loop.Post(func() {
		now := limiter.clock.Now()
		if err != nil {
			limiter.metrics.Count("workspace_ask_failed")
			for _, ask := range asks {
				limiter.spender.Failed(now, ask.Workspace)
			}
			return
		}
		for _, grant := range answer.Grants {
			limiter.answer(limiter.spender.Granted(now, asked, grant))
		}
	})
}

// collect asks the other data centres for tokens of a workspace.
func (limiter *Limiter) collect(asked time.Time, collect workspace.Collect) {
	space, ok := limiter.text.Workspace(collect.Workspace)
	if !ok || workspace.ShareOf(limiter.text, space, limiter.dataCentre).Home != "" {
		return // no other data centre holds any
	}
	slot := workspace.Slot(collect.Workspace, ledger.SlotCount)
	others := 0
	for _, place := range limiter.text.DataCentres {
		if place.Name != limiter.dataCentre && !place.Closed {
			others++
		}
	}
	for _, place := range limiter.text.DataCentres {
		if place.Name == limiter.dataCentre || place.Closed {
			continue
		}
		message := CollectMessage{Collect: workspace.Collect{Workspace: collect.Workspace, Need: collect.Need / float64(others)}}
		go func() {
			ctx, cancel := context.WithTimeout(limiter.ctx, askTimeout)
			defer cancel()
			answer, err := limiter.peers.Collect(ctx, place.Name, slot, message)
			if err != nil {
				limiter.metrics.Count("workspace_collect_failed")
				return
			}
			limiter.loop.Post(func() {
				limiter.holder.Deposit(limiter.clock.Now(), asked, collect.Workspace, answer.Amount)
			})
		}()
	}
}

// Admit waits until a request may run.
func (limiter *Limiter) Admit(ctx context.Context, name string) error {
	id := limiter.next.Add(1)
	waiter := make(chan *refusal.Refusal, 1)
	running := limiter.loop.Post(func() {
		space, ok := limiter.text.Workspace(name)
		if !ok {
			waiter <- refusal.New(refusal.Unauthorized, "workspace %q does not exist", name)
			return
		}
		now := limiter.clock.Now()
		deadline := now.Add(workspace.MaxWait)
		if until, ok := ctx.Deadline(); ok && until.Before(deadline) {
			deadline = until
		}
		limiter.waiters[id] = waiter
		limiter.answer(limiter.spender.Arrive(now, id, name, space.Rate, deadline))
		limiter.ask(now)
	})
	if !running {
		return refusal.New(refusal.NotReady, "the host is stopping")
	}
	select {
	case refused := <-waiter:
		if refused != nil {
			return refused
		}
		return nil
	case <-ctx.Done():
		limiter.loop.Post(func() {
			delete(limiter.waiters, id)
			limiter.spender.Withdraw(name, id)
		})
		return refusal.New(refusal.Cancelled, "the caller went away")
	}
}

// ServeAsk answers the asks of a host.
func (limiter *Limiter) ServeAsk(message AskMessage) AskAnswer {
	var answer AskAnswer
	limiter.loop.Do(func() {
		now := limiter.clock.Now()
		limiter.follow()
		for _, ask := range message.Asks {
			answer.Grants = append(answer.Grants, limiter.holder.Ask(now, ask))
		}
	})
	return answer
}

// ServeCollect moves tokens to another data centre.
func (limiter *Limiter) ServeCollect(message CollectMessage) CollectAnswer {
	var answer CollectAnswer
	limiter.loop.Do(func() {
		limiter.follow()
		answer.Amount = limiter.holder.Give(limiter.clock.Now(), message.Collect)
	})
	return answer
}
