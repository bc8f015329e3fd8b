// Package admission runs the rate limits of package workspace on a host. It
// admits the requests of the host, requests tokens from coordinators on other
// hosts, and keeps the accounts of the slots that the host owns.
package admission

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/configuration"
	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/refusal"
	"github.com/godwitspread/godwitspread/internal/worker"
	"github.com/godwitspread/godwitspread/internal/workspace"
)

// Methods that hosts call on the coordinator of a workspace.
const (
	MethodRequestTokens   = "workspace_ask"
	MethodRequestTransfer = "workspace_collect"
)

// QuotaRequestBatch is a batch of token requests to the coordinator of a slot.
type QuotaRequestBatch struct {
	Requests []workspace.QuotaRequest `msgpack:"asks"`
}

// GrantBatch answers a QuotaRequestBatch, with one grant for each request.
type GrantBatch struct {
	Grants []workspace.Grant `msgpack:"grants"`
}

// TransferMessage asks the coordinator in another data centre to move tokens.
type TransferMessage struct {
	TransferRequest workspace.TransferRequest `msgpack:"collect"`
	// Hops is the number of hosts that have relayed the message.
	Hops int `msgpack:"hops"`
}

// TransferResponse contains the number of tokens that a coordinator has moved.
type TransferResponse struct {
	Amount float64 `msgpack:"amount"`
}

// Peers sends requests to coordinators on other hosts.
type Peers interface {
	// RequestTokens sends token requests to the owner of a slot in a data centre.
	RequestTokens(ctx context.Context, dataCentre string, slot int, message QuotaRequestBatch) (GrantBatch, error)
	// RequestTransfer asks the owner of a slot in another data centre to move tokens.
	RequestTransfer(ctx context.Context, dataCentre string, slot int, message TransferMessage) (TransferResponse, error)
}

// SlotOwnership reports which slots this host owns.
type SlotOwnership interface {
	// OwnedEpoch returns the epoch in which the host owns a slot, and false if the
	// host doesn't own the slot or can't prove that it does.
	OwnedEpoch(slot int) (epoch uint64, ok bool)
}

// Limiter admits the requests of a host within the rates of their workspaces.
type Limiter struct {
	clock       clockwork.Clock
	metrics     *metric.Metrics
	dataCentre  string
	peers       Peers
	ownership   SlotOwnership
	loop        *worker.Loop
	lastID      atomic.Uint64
	incarnation string

	// The fields below are accessed only by the loop's goroutine.
	ctx              context.Context
	text             *configuration.Text
	localLimiter     *workspace.LocalLimiter
	coordinator      *workspace.Coordinator
	waiters          map[uint64]chan *refusal.Refusal
	ownedSlots       map[int]*ownedSlot
	lapsedEpochs     map[int]uint64 // by slot, last epoch in which the proof of ownership was lost
	workspacesBySlot map[int][]configuration.Workspace
	increases        map[string]shareIncrease
}

// ownedSlot is a slot whose workspaces have accounts on this host.
type ownedSlot struct {
	epoch      uint64
	accrueFrom time.Time
}

// shareIncrease is the share in effect until every host has applied the
// configuration with a larger share.
type shareIncrease struct {
	share workspace.Share
	until time.Time
}

const (
	loopCapacity       = 8192
	tickInterval       = 20 * time.Millisecond
	peerRequestTimeout = 700 * time.Millisecond
	// shareIncreaseDelay is the longest time until all hosts apply a change.
	shareIncreaseDelay = 16 * time.Second
)

// NewLimiter returns a limiter without tokens for an incarnation of the host.
func NewLimiter(clock clockwork.Clock, metrics *metric.Metrics, dataCentre, incarnation string, peers Peers, ownership SlotOwnership) *Limiter {
	return &Limiter{
		clock: clock, metrics: metrics, dataCentre: dataCentre, peers: peers, ownership: ownership, incarnation: incarnation,
		loop: worker.NewLoop(loopCapacity), text: &configuration.Text{}, localLimiter: workspace.NewLocalLimiter(),
		coordinator: workspace.NewCoordinator(incarnation), waiters: make(map[uint64]chan *refusal.Refusal),
		ownedSlots: make(map[int]*ownedSlot), lapsedEpochs: make(map[int]uint64), workspacesBySlot: make(map[int][]configuration.Workspace), increases: make(map[string]shareIncrease),
	}
}

// Run processes events until the context is cancelled.
func (limiter *Limiter) Run(ctx context.Context) {
	limiter.ctx = ctx
	limiter.loop.Run(ctx, limiter.clock, tickInterval, limiter.tick)
}

// SetText applies a new configuration. A smaller share applies at once. A larger
// one applies after shareIncreaseDelay, when the other data centres have reduced
// their own shares, so that the sum never exceeds the limit.
func (limiter *Limiter) SetText(text *configuration.Text) {
	limiter.loop.Post(func() {
		previous := limiter.text
		limiter.text = text
		limiter.workspacesBySlot = make(map[int][]configuration.Workspace)
		for _, configured := range text.Workspaces {
			slot := workspace.Slot(configured.Name, ledger.SlotCount)
			limiter.workspacesBySlot[slot] = append(limiter.workspacesBySlot[slot], configured)
			limiter.delayIncrease(previous, configured)
		}
		// A workspace that is configured again may have grants from before
		// that are still in use.
		from := limiter.clock.Now().Add(workspace.GrantTTL)
		for slot, owned := range limiter.ownedSlots {
			limiter.setAccounts(slot, owned, from)
		}
	})
}

// delayIncrease keeps the smaller of the old and the new limits of a workspace
// in effect for shareIncreaseDelay, if the new share is larger.
func (limiter *Limiter) delayIncrease(previous *configuration.Text, configured configuration.Workspace) {
	share := workspace.ShareOf(limiter.text, configured, limiter.dataCentre)
	previousConfigured, known := previous.Workspace(configured.Name)
	if !known {
		return
	}
	previousShare := workspace.ShareOf(previous, previousConfigured, limiter.dataCentre)
	if share.Rate > previousShare.Rate || share.Burst > previousShare.Burst {
		smaller := workspace.Share{Rate: min(share.Rate, previousShare.Rate), Burst: min(share.Burst, previousShare.Burst)}
		limiter.increases[configured.Name] = shareIncrease{share: smaller, until: limiter.clock.Now().Add(shareIncreaseDelay)}
	}
}

// setAccounts creates, changes and removes the accounts of one slot. New
// accounts accrue tokens from the given time on, but not before the slot's own
// accrual delay has passed.
func (limiter *Limiter) setAccounts(slot int, owned *ownedSlot, from time.Time) {
	now := limiter.clock.Now()
	for _, configured := range limiter.workspacesBySlot[slot] {
		share := workspace.ShareOf(limiter.text, configured, limiter.dataCentre)
		if increase, ok := limiter.increases[configured.Name]; ok && now.Before(increase.until) {
			share = increase.share
		}
		if share.Rate > 0 {
			limiter.coordinator.SetAccount(now, later(from, owned.accrueFrom), configured.Name, share.Rate, share.Burst)
		}
	}
	for _, name := range limiter.coordinator.Workspaces() {
		if workspace.Slot(name, ledger.SlotCount) != slot {
			continue
		}
		if _, ok := limiter.text.Workspace(name); !ok {
			limiter.coordinator.RemoveAccount(name)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// syncOwnership creates the accounts of slots that the host has acquired and
// removes those of slots that it has lost.
func (limiter *Limiter) syncOwnership() {
	now := limiter.clock.Now()
	for slot := range ledger.SlotCount {
		epoch, ok := limiter.ownership.OwnedEpoch(slot)
		owned, known := limiter.ownedSlots[slot]
		if known && (!ok || owned.epoch != epoch) {
			for _, name := range limiter.coordinator.Workspaces() {
				if workspace.Slot(name, ledger.SlotCount) == slot {
					limiter.coordinator.RemoveAccount(name)
				}
			}
			delete(limiter.ownedSlots, slot)
			limiter.lapsedEpochs[slot] = owned.epoch
			known = false
		}
		if ok && !known {
			owned = &ownedSlot{epoch: epoch, accrueFrom: now.Add(limiter.accrualDelay(slot, epoch))}
			limiter.ownedSlots[slot] = owned
			limiter.setAccounts(slot, owned, now)
		}
	}
}

// accrualDelay returns how long the new accounts of a slot must not accrue
// tokens. After a takeover, this covers the lease and the grants of the earlier
// coordinator. If this host lost and regained the proof in one epoch, it covers
// the host's own earlier grants.
func (limiter *Limiter) accrualDelay(slot int, epoch uint64) time.Duration {
	switch {
	case limiter.lapsedEpochs[slot] == epoch:
		return workspace.GrantTTL
	case epoch > 1:
		return workspace.TakeoverWait
	default:
		return 0
	}
}

func (limiter *Limiter) tick() {
	now := limiter.clock.Now()
	limiter.syncOwnership()
	limiter.applyIncreases(now)
	limiter.notify(limiter.localLimiter.Tick(now))
	limiter.requestTokens(now)
	for _, request := range limiter.coordinator.Tick(now) {
		limiter.requestTransfers(now, request)
	}
}

func (limiter *Limiter) applyIncreases(now time.Time) {
	for name, increase := range limiter.increases {
		if now.Before(increase.until) {
			continue
		}
		delete(limiter.increases, name)
		slot := workspace.Slot(name, ledger.SlotCount)
		if owned, ok := limiter.ownedSlots[slot]; ok {
			limiter.setAccounts(slot, owned, now)
		}
	}
}

// notify sends admissions to the callers that wait for them.
func (limiter *Limiter) notify(admissions []workspace.Admission) {
	for _, admission := range admissions {
		if waiter, ok := limiter.waiters[admission.ID]; ok {
			delete(limiter.waiters, admission.ID)
			waiter <- admission.Refusal
		}
	}
}

// requestTokens sends the host's token requests, one message for each slot.
func (limiter *Limiter) requestTokens(now time.Time) {
	type destination struct {
		dataCentre string
		slot       int
	}
	groups := make(map[destination][]workspace.QuotaRequest)
	for _, request := range limiter.localLimiter.Requests(now) {
		configured, ok := limiter.text.Workspace(request.Workspace)
		if !ok {
			limiter.localLimiter.RequestFailed(now, request.Workspace)
			continue
		}
		destination := destination{dataCentre: limiter.dataCentre, slot: workspace.Slot(request.Workspace, ledger.SlotCount)}
		if share := workspace.ShareOf(limiter.text, configured, limiter.dataCentre); share.SoleDataCentre != "" {
			destination.dataCentre = share.SoleDataCentre
		}
		groups[destination] = append(groups[destination], request)
	}
	for destination, requests := range groups {
		go limiter.sendQuotaRequests(now, destination.dataCentre, destination.slot, requests)
	}
}

func (limiter *Limiter) sendQuotaRequests(requestedAt time.Time, dataCentre string, slot int, requests []workspace.QuotaRequest) {
	ctx, cancel := context.WithTimeout(limiter.ctx, peerRequestTimeout)
	defer cancel()
	response, err := limiter.peers.RequestTokens(ctx, dataCentre, slot, QuotaRequestBatch{Requests: requests})
	limiter.loop.Post(func() {
		now := limiter.clock.Now()
		if err != nil {
			limiter.metrics.Count("workspace_ask_failed")
			for _, request := range requests {
				limiter.localLimiter.RequestFailed(now, request.Workspace)
			}
			return
		}
		for _, grant := range response.Grants {
			limiter.notify(limiter.localLimiter.AddGrant(now, requestedAt, grant))
		}
	})
}

// requestTransfers asks the other data centres to move tokens of a workspace.
func (limiter *Limiter) requestTransfers(requestedAt time.Time, request workspace.TransferRequest) {
	configured, ok := limiter.text.Workspace(request.Workspace)
	if !ok || workspace.ShareOf(limiter.text, configured, limiter.dataCentre).SoleDataCentre != "" {
		return // no other data centre has a coordinator
	}
	slot := workspace.Slot(request.Workspace, ledger.SlotCount)
	others := 0
	for _, dataCentre := range limiter.text.DataCentres {
		if dataCentre.Name != limiter.dataCentre && !dataCentre.Closed {
			others++
		}
	}
	for _, dataCentre := range limiter.text.DataCentres {
		if dataCentre.Name == limiter.dataCentre || dataCentre.Closed {
			continue
		}
		message := TransferMessage{TransferRequest: workspace.TransferRequest{Workspace: request.Workspace, Need: request.Need / float64(others)}}
		go func() {
			ctx, cancel := context.WithTimeout(limiter.ctx, peerRequestTimeout)
			defer cancel()
			response, err := limiter.peers.RequestTransfer(ctx, dataCentre.Name, slot, message)
			if err != nil {
				limiter.metrics.Count("workspace_collect_failed")
				return
			}
			limiter.loop.Post(func() {
				limiter.coordinator.Deposit(limiter.clock.Now(), requestedAt, request.Workspace, response.Amount)
			})
		}()
	}
}

// Admit waits until a request is admitted, and returns a refusal if it isn't.
func (limiter *Limiter) Admit(ctx context.Context, name string) error {
	id := limiter.lastID.Add(1)
	waiter := make(chan *refusal.Refusal, 1)
	running := limiter.loop.Post(func() {
		configured, ok := limiter.text.Workspace(name)
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
		limiter.notify(limiter.localLimiter.Admit(now, id, name, configured.Rate, deadline))
		limiter.requestTokens(now)
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
			limiter.localLimiter.Withdraw(name, id)
		})
		return refusal.New(refusal.Cancelled, "the caller went away")
	}
}

// GrantTokens grants the token requests of a host.
func (limiter *Limiter) GrantTokens(message QuotaRequestBatch) GrantBatch {
	var response GrantBatch
	limiter.loop.Do(func() {
		now := limiter.clock.Now()
		limiter.syncOwnership()
		for _, request := range message.Requests {
			response.Grants = append(response.Grants, limiter.coordinator.Grant(now, request))
		}
	})
	return response
}

// TransferTokens moves tokens to the coordinator in another data centre.
func (limiter *Limiter) TransferTokens(message TransferMessage) TransferResponse {
	var response TransferResponse
	limiter.loop.Do(func() {
		limiter.syncOwnership()
		response.Amount = limiter.coordinator.Transfer(limiter.clock.Now(), message.TransferRequest)
	})
	return response
}
