package workspace

import (
	"math"
	"sort"
	"time"
)

// QuotaRequest is a request from a host for tokens of one workspace.
type QuotaRequest struct {
	Workspace string  `msgpack:"workspace"`
	Need      float64 `msgpack:"need"`
	// MinAmount is the smallest useful grant. Fractions of a token spread over
	// many hosts would expire unspent.
	MinAmount float64 `msgpack:"least,omitempty"`
	// Usages reports how earlier grants of the same coordinator were used.
	Usages []Usage `msgpack:"uses,omitempty"`
}

// Usage reports how tokens of one grant were used.
type Usage struct {
	Grant uint64 `msgpack:"grant"`
	// Coordinator is the incarnation of the host that issued the grant.
	Coordinator string  `msgpack:"holder"`
	Spent       float64 `msgpack:"spent"`
	// Returned is the number of tokens that the host returns unspent.
	Returned float64 `msgpack:"returned,omitempty"`
}

// Grant is the response to a QuotaRequest.
type Grant struct {
	Workspace   string  `msgpack:"workspace"`
	ID          uint64  `msgpack:"id"`
	Coordinator string  `msgpack:"holder"`
	Amount      float64 `msgpack:"amount"`
	// RetryAfter is the delay before the next request if nothing was granted.
	RetryAfter time.Duration `msgpack:"retry_after,omitempty"`
	// Coordinates reports whether the responding host is the coordinator of
	// the workspace.
	Coordinates bool `msgpack:"held"`
}

// TransferRequest is a request to move tokens to the account of another data
// centre.
type TransferRequest struct {
	Workspace string  `msgpack:"workspace"`
	Need      float64 `msgpack:"need"`
}

// Coordinator keeps the quota accounts of the workspaces that one host
// coordinates for its data centre.
type Coordinator struct {
	incarnation string
	accounts    map[string]*managedAccount
	active      map[string]*managedAccount // accounts with demand, which may need a transfer
}

type managedAccount struct {
	account        *Account
	demand         demand
	unmet          float64 // requested tokens that were not granted
	nextTransfer   time.Time
	backoff        time.Duration
	tokensReceived bool // tokens have arrived since the last transfer request
}

const (
	transferInterval    = 100 * time.Millisecond
	maxTransferInterval = 2 * time.Second        // between requests that bring no tokens
	demandHorizon       = 300 * time.Millisecond // period of expected demand that an account keeps tokens for
	maxRetryDelay       = 500 * time.Millisecond // longest retry delay in a grant
	// idleDemand is the demand, in tokens a second, below which an account
	// requests no transfers until a host requests tokens again.
	idleDemand = 0.05
)

// NewCoordinator returns a coordinator without accounts for an incarnation of the
// host.
func NewCoordinator(incarnation string) *Coordinator {
	return &Coordinator{incarnation: incarnation, accounts: make(map[string]*managedAccount), active: make(map[string]*managedAccount)}
}

// SetAccount creates the account of a workspace or changes its limits. A new
// account is empty and accrues tokens from the given time on.
func (coordinator *Coordinator) SetAccount(now, accrueFrom time.Time, workspace string, rate, burst float64) {
	if managed, ok := coordinator.accounts[workspace]; ok {
		managed.account.SetLimits(now, rate, burst)
		return
	}
	coordinator.accounts[workspace] = &managedAccount{account: NewAccount(accrueFrom, rate, burst), backoff: transferInterval}
}

// RemoveAccount removes the account of a workspace and discards its tokens.
func (coordinator *Coordinator) RemoveAccount(workspace string) {
	delete(coordinator.accounts, workspace)
	delete(coordinator.active, workspace)
}

// HasAccount reports whether a workspace has an account on this host.
func (coordinator *Coordinator) HasAccount(workspace string) bool {
	_, ok := coordinator.accounts[workspace]
	return ok
}

// Workspaces returns the workspaces with an account on this host, sorted by name.
func (coordinator *Coordinator) Workspaces() []string {
	names := make([]string, 0, len(coordinator.accounts))
	for name := range coordinator.accounts {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Grant grants tokens to a host. The grant may be smaller than the need. It is
// empty if fewer than MinAmount tokens are available.
func (coordinator *Coordinator) Grant(now time.Time, request QuotaRequest) Grant {
	managed, ok := coordinator.accounts[request.Workspace]
	if !ok {
		return Grant{Workspace: request.Workspace}
	}
	for _, usage := range request.Usages {
		if usage.Coordinator != coordinator.incarnation {
			continue
		}
		managed.account.Settle(now, usage.Grant, usage.Spent)
		managed.depositReturned(now, usage)
	}
	if wait, ok := managed.account.Wait(now, request.MinAmount-roundingTolerance); wait > 0 || !ok {
		managed.unmet = math.Max(managed.unmet, request.Need)
		coordinator.active[request.Workspace] = managed
		return Grant{Workspace: request.Workspace, Coordinator: coordinator.incarnation, Coordinates: true, RetryAfter: min(wait, maxRetryDelay)}
	}
	id, amount := managed.account.Lend(now, request.Need, GrantTTL)
	managed.unmet = math.Max(managed.unmet, request.Need-amount)
	managed.demand.add(now, amount)
	coordinator.active[request.Workspace] = managed
	return Grant{Workspace: request.Workspace, ID: id, Coordinator: coordinator.incarnation, Amount: amount, Coordinates: true}
}

// depositReturned adds unspent tokens to the account again, unless their loan
// has expired.
func (managed *managedAccount) depositReturned(now time.Time, usage Usage) {
	if usage.Returned <= 0 {
		return
	}
	before := managed.account.maxTokens()
	managed.account.Settle(now, usage.Grant, usage.Returned)
	managed.account.Deposit(now, math.Min(usage.Returned, managed.account.maxTokens()-before))
}

// Transfer moves tokens to another coordinator. It keeps those that the hosts
// of this data centre are expected to need within demandHorizon.
func (coordinator *Coordinator) Transfer(now time.Time, request TransferRequest) float64 {
	managed, ok := coordinator.accounts[request.Workspace]
	if !ok {
		return 0
	}
	reserve := managed.demand.rate(now)*demandHorizon.Seconds() + managed.unmet
	spare := managed.account.Tokens(now) - reserve
	_, amount := managed.account.Lend(now, math.Min(request.Need, spare), GrantTTL)
	return amount
}

// Deposit adds tokens moved from another coordinator. SentAt is the time before
// the transfer request was sent; tokens that arrive GrantTTL later have expired
// and are discarded.
func (coordinator *Coordinator) Deposit(now, sentAt time.Time, workspace string, amount float64) {
	managed, ok := coordinator.accounts[workspace]
	if !ok || now.Sub(sentAt) >= GrantTTL || amount <= 0 {
		return
	}
	managed.tokensReceived = true
	managed.account.Deposit(now, amount)
}

// Tick returns the transfer requests of workspaces whose account is too small
// for the expected demand.
func (coordinator *Coordinator) Tick(now time.Time) []TransferRequest {
	var requests []TransferRequest
	for name, managed := range coordinator.active {
		if now.Before(managed.nextTransfer) {
			continue
		}
		demand := managed.demand.rate(now)
		wanted := managed.unmet + demand*demandHorizon.Seconds()
		if demand < idleDemand && managed.unmet == 0 {
			delete(coordinator.active, name)
			continue
		}
		missing := math.Min(wanted, managed.account.maxTokens()) - managed.account.Tokens(now)
		managed.unmet = 0
		if missing <= 0 || wanted <= 0 {
			managed.backoff = transferInterval
			continue
		}
		managed.backoff = min(maxTransferInterval, managed.backoff*2)
		if managed.tokensReceived {
			managed.backoff = transferInterval
		}
		managed.tokensReceived = false
		managed.nextTransfer = now.Add(managed.backoff)
		requests = append(requests, TransferRequest{Workspace: name, Need: missing})
	}
	sort.Slice(requests, func(a, b int) bool { return requests[a].Workspace < requests[b].Workspace })
	return requests
}

// Tokens returns the number of tokens in the account of a workspace.
func (coordinator *Coordinator) Tokens(now time.Time, workspace string) float64 {
	managed, ok := coordinator.accounts[workspace]
	if !ok {
		return 0
	}
	return managed.account.Tokens(now)
}

// demand is an exponentially decaying average of tokens a second.
type demand struct {
	value   float64
	updated time.Time
}

const demandWindow = 2 * time.Second // time constant of the average

func (demand *demand) rate(now time.Time) float64 {
	if demand.updated.IsZero() {
		return 0
	}
	age := now.Sub(demand.updated).Seconds() / demandWindow.Seconds()
	return demand.value * math.Exp(-age)
}

func (demand *demand) add(now time.Time, amount float64) {
	demand.value = demand.rate(now) + amount/demandWindow.Seconds()
	demand.updated = now
}
