package quota

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"
)

const (
	moveTime    = 2 * time.Second // for which the previous holder forwards, and the next one serves against its own view; hosts learn of a change within less
	maxAdopted  = 16              // accounts in one message, which is thereby below 300 kB
	parallel    = 8               // handovers to different hosts at once
	maxRedirect = 2               // hosts to which an account has been followed
)

// ErrNotSent is the error of a handover that cannot have reached the other host.
var ErrNotSent = errors.New("account was not sent")

// TakeRequest asks the previous coordinator for the account of a workspace.
type TakeRequest struct {
	Workspace string `msgpack:"w"`
	Host      string `msgpack:"h"` // that asks
	Address   string `msgpack:"a"`
}

// TakeResponse has the account, or the address of the host that it was handed over to.
// Without either, no host but the asking one has granted anything for the time of Horizon.
type TakeResponse struct {
	State   *AccountState `msgpack:"s,omitempty"`
	Moved   string        `msgpack:"m,omitempty"`
	Horizon time.Duration `msgpack:"h,omitempty"`
}

// moves are the recent moves of accounts to and from this host.
type moves struct {
	gone    map[string]gone
	held    map[string]time.Time     // end of the time for which this host serves an account against its own view
	pending map[string]chan struct{} // closed when the move has ended
	leaving bool
}

// gone is a host that has got an account.
type gone struct {
	address string
	until   time.Time
}

func newMoves() moves {
	return moves{gone: make(map[string]gone), held: make(map[string]time.Time), pending: make(map[string]chan struct{})}
}

func (moves *moves) adopted(workspace string, now time.Time) bool {
	return now.Before(moves.held[workspace])
}

func (moves *moves) target(workspace string, now time.Time) (address string, moved bool) {
	gone := moves.gone[workspace]
	return gone.address, now.Before(gone.until)
}

func (moves *moves) pass(workspace, address string, now time.Time) {
	moves.gone[workspace] = gone{address, now.Add(moveTime)}
	delete(moves.held, workspace)
}

func (moves *moves) hold(workspace string, now time.Time) {
	moves.held[workspace] = now.Add(moveTime)
	delete(moves.gone, workspace)
}

// end ends the move of an account and wakes the requests that wait for it.
func (moves *moves) end(workspace string) {
	close(moves.pending[workspace])
	delete(moves.pending, workspace)
}

func (moves *moves) expire(now time.Time) {
	for workspace, gone := range moves.gone {
		if now.Sub(gone.until) > accountIdleTimeout {
			delete(moves.gone, workspace)
		}
	}
	for workspace, until := range moves.held {
		if !now.Before(until) {
			delete(moves.held, workspace)
		}
	}
}

// adopted reports whether this host has just taken an account over.
func (limiter *Limiter) adopted(workspace string) bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return limiter.moves.adopted(workspace, limiter.clock.Now())
}

// lockSettled locks the limiter when no move of a workspace's account is in progress.
func (limiter *Limiter) lockSettled(workspace string) {
	for {
		limiter.mutex.Lock()
		pending, moving := limiter.moves.pending[workspace]
		if !moving {
			return
		}
		limiter.mutex.Unlock()
		<-pending
	}
}

// forward sends a request to the host that has taken the account over. served is false if
// this host must decide itself.
func (limiter *Limiter) forward(request AdmissionRequest) (response AdmissionResponse, served bool) {
	limiter.lockSettled(request.Workspace)
	now := limiter.clock.Now()
	address, moved := limiter.moves.target(request.Workspace, now)
	if _, kept := limiter.accounts[request.Workspace]; !moved && !kept && limiter.moves.leaving {
		address, moved = limiter.coordinators.Successor(request.Workspace)
	}
	if !moved && request.Forwarded {
		limiter.moves.hold(request.Workspace, now)
	}
	limiter.mutex.Unlock()
	if !moved {
		return AdmissionResponse{}, false
	}
	if request.Forwarded {
		return AdmissionResponse{NotCoordinator: true}, true
	}
	request.Forwarded = true
	response, err := limiter.coordinators.RequestAdmission(context.Background(), address, request)
	if err == nil && !response.NotCoordinator {
		limiter.metrics.Count("quota_requests_forwarded")
		return response, true
	}
	// The other host may only be slow: a second account would grant the limit again.
	limiter.metrics.CountRetry("quota_successor_lost")
	return AdmissionResponse{NotCoordinator: true}, true
}

// Leave hands all accounts over to the hosts that coordinate the workspaces when this one
// has left.
func (limiter *Limiter) Leave() {
	limiter.mutex.Lock()
	limiter.moves.leaving = true
	moving := make(map[string][]string)
	for workspace := range limiter.accounts {
		if address, found := limiter.coordinators.Successor(workspace); found {
			moving[address] = append(moving[address], workspace)
		}
	}
	limiter.mutex.Unlock()
	limiter.handOverAll(moving)
}

// handOverAll passes accounts on to their coordinators, by the addresses of these.
func (limiter *Limiter) handOverAll(moving map[string][]string) {
	var group errgroup.Group
	group.SetLimit(parallel)
	for address, workspaces := range moving {
		group.Go(func() error {
			limiter.handOver(address, workspaces)
			return nil
		})
	}
	_ = group.Wait() // handovers return no errors
}

// handOver passes accounts on to another host. An account is kept only if it cannot have
// reached that host.
func (limiter *Limiter) handOver(address string, workspaces []string) {
	if !limiter.coordinators.CanAdopt(address) {
		limiter.drop(workspaces)
		return
	}
	for start := 0; start < len(workspaces); start += maxAdopted {
		accounts, states := limiter.release(workspaces[start:min(start+maxAdopted, len(workspaces))])
		if len(states) == 0 {
			continue
		}
		err := limiter.coordinators.HandOver(context.Background(), address, states)
		limiter.finishHandover(address, accounts, err)
	}
}

// release removes accounts for a handover. Requests for them wait until it has ended.
func (limiter *Limiter) release(workspaces []string) (map[string]*Account, []*AccountState) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	accounts := make(map[string]*Account)
	var states []*AccountState
	for _, workspace := range workspaces {
		account, kept := limiter.accounts[workspace]
		if _, moving := limiter.moves.pending[workspace]; !kept || moving {
			continue
		}
		delete(limiter.accounts, workspace)
		limiter.moves.pending[workspace] = make(chan struct{})
		accounts[workspace] = account
		states = append(states, account.State(workspace, limiter.clock.Now()))
	}
	return accounts, states
}

func (limiter *Limiter) finishHandover(address string, accounts map[string]*Account, err error) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := limiter.clock.Now()
	for workspace, account := range accounts {
		if errors.Is(err, ErrNotSent) && limiter.accounts[workspace] == nil {
			limiter.accounts[workspace] = account
		} else {
			limiter.moves.pass(workspace, address, now)
			limiter.outdate(workspace, account)
		}
		limiter.moves.end(workspace)
	}
	entry := limiter.logger.WithFields(log.Fields{"accounts": len(accounts), "address": address})
	if err != nil {
		limiter.metrics.Count("quota_handovers_failed")
		entry.WithError(err).Warn("handing quota accounts over failed")
		return
	}
	limiter.metrics.Count("quota_handovers")
	entry.Info("quota accounts handed over")
}

// drop removes accounts that another host coordinates and cannot take over, because this
// host does not know which requests the other host admits.
func (limiter *Limiter) drop(workspaces []string) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	for _, workspace := range workspaces {
		delete(limiter.accounts, workspace)
		limiter.metrics.Count("quota_accounts_dropped")
	}
}

// Adopt takes accounts of another host over.
func (limiter *Limiter) Adopt(states []*AccountState) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	for _, state := range states {
		limiter.adopt(state)
	}
}

// adopt takes an account over, or adds it to the one that this host keeps. It returns
// false if the account cannot be used.
func (limiter *Limiter) adopt(state *AccountState) bool {
	if state == nil || !state.valid() {
		limiter.metrics.Count("malformed_quota_accounts")
		limiter.logger.Warn("quota account of another host cannot be used")
		return false
	}
	now := limiter.clock.Now()
	limiter.moves.hold(state.Workspace, now)
	defer limiter.mergeCopy(state.Workspace)
	limiter.metrics.Count("quota_accounts_adopted")
	fields := log.Fields{"workspace": state.Workspace, "account": state.Account}
	if copied, ok := limiter.copies.byWorkspace[state.Workspace]; ok && copied.account == state.Account {
		delete(limiter.copies.byWorkspace, state.Workspace)
	}
	account, kept := limiter.accounts[state.Workspace]
	if kept && (account.supersedes(state) || !state.continues(account.id)) {
		fields["merged"] = !account.supersedes(state) && account.Merge(state, now)
		limiter.logAdopted(fields, account)
		return true
	}
	earlier := account
	account = NewAccountFromState(state, DefaultPolicy, limiter.profiles, now)
	limiter.keep(state.Workspace, account)
	if kept {
		// The other host has continued this account from a copy; it lacks what was granted since.
		fields["merged"] = account.Merge(earlier.State(state.Workspace, now), now)
	}
	limiter.logAdopted(fields, account)
	return true
}

func (limiter *Limiter) logAdopted(fields log.Fields, account *Account) {
	fields["used"], fields["granted"], fields["complete"] = account.window.used, account.window.granted, account.complete()
	limiter.logger.WithFields(fields).Info("quota account taken over")
}

// Take hands the account of a workspace over to the host that asks for it.
func (limiter *Limiter) Take(request TakeRequest) TakeResponse {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if _, moving := limiter.moves.pending[request.Workspace]; moving {
		return TakeResponse{}
	}
	now := limiter.clock.Now()
	if address, moved := limiter.moves.target(request.Workspace, now); moved && address != request.Address {
		return TakeResponse{Moved: address}
	}
	account, kept := limiter.accounts[request.Workspace]
	if !kept {
		if state := limiter.takeCopy(request.Workspace, request.Address); state != nil {
			return TakeResponse{State: state}
		}
		if _, self := limiter.coordinators.Coordinator(request.Workspace); self {
			limiter.moves.pass(request.Workspace, request.Address, now)
		}
		return TakeResponse{Horizon: limiter.coordinators.CoordinatedFor(request.Workspace, request.Host)}
	}
	delete(limiter.accounts, request.Workspace)
	limiter.moves.pass(request.Workspace, request.Address, now)
	limiter.outdate(request.Workspace, account)
	limiter.metrics.Count("quota_handovers")
	limiter.logger.WithFields(log.Fields{"accounts": 1, "address": request.Address}).Info("quota accounts handed over")
	return TakeResponse{State: account.State(request.Workspace, now)}
}

// obtain gets the account of a workspace from the previous coordinator unless this host
// keeps it or nothing can have been granted elsewhere. It returns for how long that is
// known.
func (limiter *Limiter) obtain(workspace string, window time.Duration) (horizon time.Duration) {
	limiter.lockSettled(workspace)
	defer limiter.mutex.Unlock()
	if _, kept := limiter.accounts[workspace]; kept {
		return 0
	}
	horizon = limiter.horizon(workspace)
	if limiter.certain(horizon, window) {
		return horizon
	}
	limiter.moves.pending[workspace] = make(chan struct{})
	limiter.mutex.Unlock()
	address, found := limiter.coordinators.Predecessor(workspace)
	response, responded := TakeResponse{}, true
	if found {
		response, responded = limiter.askFor(workspace, address)
	}
	if holder, remote := limiter.coordinators.RemoteBackup(workspace); response.State == nil && remote && holder != address && !limiter.hasCopy(workspace) {
		copied, _ := limiter.askFor(workspace, holder)
		response.State = copied.State
	}
	limiter.mutex.Lock()
	limiter.moves.end(workspace)
	if response.State == nil {
		response.State = limiter.takeCopy(workspace, "")
	}
	if response.State != nil && limiter.adopt(response.State) {
		return 0
	}
	if !responded && limiter.clock.Since(limiter.started) < window {
		// The previous coordinator may still have the account from before the start.
		return 0
	}
	return max(horizon, response.Horizon)
}

// horizon returns for how long no other host can have granted quota of a workspace, as far
// as this host knows. The caller holds the mutex.
func (limiter *Limiter) horizon(workspace string) time.Duration {
	horizon := limiter.coordinators.CoordinatedFor(workspace, "")
	if gone, passed := limiter.moves.gone[workspace]; passed {
		// The other host has granted quota since then.
		horizon = min(horizon, max(0, limiter.clock.Since(gone.until)))
	}
	return horizon
}

// certain reports whether no other host can have granted quota in the present window.
func (limiter *Limiter) certain(horizon, window time.Duration) bool {
	return horizon >= window && limiter.clock.Since(limiter.started) >= window
}

// askFor asks for an account where it is, and then where it has moved.
func (limiter *Limiter) askFor(workspace, address string) (response TakeResponse, responded bool) {
	for range maxRedirect {
		response, err := limiter.coordinators.TakeAccount(context.Background(), address, workspace)
		if err != nil {
			limiter.metrics.CountRetry("quota_predecessor_lost")
			return TakeResponse{}, false
		}
		if response.Moved == "" {
			return response, true
		}
		address = response.Moved
	}
	return TakeResponse{}, false
}

// logNew logs an account whose predecessor is unknown: it grants less for a while.
func (limiter *Limiter) logNew(workspace string, account *Account, horizon time.Duration, share float64) {
	if account.complete() {
		return
	}
	limiter.metrics.Count("quota_accounts_without_history")
	limiter.logger.WithFields(log.Fields{
		"workspace": workspace, "horizon_ms": horizon.Milliseconds(), "share": share, "available": account.window.available(0),
	}).Info("quota account begins without history")
}
