package workspace

import (
	"math"
	"sort"
	"time"
)

// Ask is a host's request for tokens of one workspace.
type Ask struct {
	Workspace string  `msgpack:"workspace"`
	Need      float64 `msgpack:"need"`
	// Least is the smallest grant that is of use. Parts of a token spread over
	// many hosts would run out unspent.
	Least float64 `msgpack:"least,omitempty"`
	// Uses reports what became of earlier grants of the same holder.
	Uses []Use `msgpack:"uses,omitempty"`
}

// Use reports tokens of one grant.
type Use struct {
	Grant uint64 `msgpack:"grant"`
	// Holder names the incarnation that gave the grant.
	Holder string  `msgpack:"holder"`
	Spent  float64 `msgpack:"spent"`
	// Returned are tokens that the host gives up unspent.
	Returned float64 `msgpack:"returned,omitempty"`
}

// Grant answers an Ask.
type Grant struct {
	Workspace string  `msgpack:"workspace"`
	ID        uint64  `msgpack:"id"`
	Holder    string  `msgpack:"holder"`
	Amount    float64 `msgpack:"amount"`
	// RetryAfter is when to ask again if nothing was granted.
	RetryAfter time.Duration `msgpack:"retry_after,omitempty"`
	// Held tells that the answering host holds the workspace.
	Held bool `msgpack:"held"`
}

// Collect asks other accounts to move tokens to this holder.
type Collect struct {
	Workspace string  `msgpack:"workspace"`
	Need      float64 `msgpack:"need"`
}

// Holder keeps the account of each workspace that one host holds for its data
// centre.
type Holder struct {
	name     string
	accounts map[string]*held
	active   map[string]*held // those with demand, which may run short
}

type held struct {
	account   *Account
	demand    demand
	unmet     float64 // need that recent asks left open
	collectAt time.Time
	backoff   time.Duration
	collected bool
}

const (
	collectInterval = 100 * time.Millisecond
	collectLimit    = 2 * time.Second // longest pause between fruitless collects
	horizon         = 300 * time.Millisecond
	maxRetry        = 500 * time.Millisecond // longest pause asked of a host
	// quietDemand is the demand, in tokens a second, below which an account is
	// not looked at until it is asked again.
	quietDemand = 0.05
)

// NewHolder returns a holder of nothing. The name is unique to the process.
func NewHolder(name string) *Holder {
	return &Holder{name: name, accounts: make(map[string]*held), active: make(map[string]*held)}
}

// Hold starts or adjusts the account of a workspace. A new account is empty
// and accrues from the given time on.
func (holder *Holder) Hold(now, accrueFrom time.Time, workspace string, rate, burst float64) {
	if existing, ok := holder.accounts[workspace]; ok {
		existing.account.Limit(now, rate, burst)
		return
	}
	holder.accounts[workspace] = &held{account: NewAccount(accrueFrom, rate, burst), backoff: collectInterval}
}

// Drop ends the account of a workspace and forfeits its tokens.
func (holder *Holder) Drop(workspace string) {
	delete(holder.accounts, workspace)
	delete(holder.active, workspace)
}

// Holds reports whether a workspace has an account here.
func (holder *Holder) Holds(workspace string) bool {
	_, ok := holder.accounts[workspace]
	return ok
}

// Held returns the workspaces with an account, in order.
func (holder *Holder) Held() []string {
	names := make([]string, 0, len(holder.accounts))
	for name := range holder.accounts {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Ask grants tokens to a host. The grant may be smaller than the need.
func (holder *Holder) Ask(now time.Time, ask Ask) Grant {
	held, ok := holder.accounts[ask.Workspace]
	if !ok {
		return Grant{Workspace: ask.Workspace}
	}
	for _, use := range ask.Uses {
		if use.Holder != holder.name {
			continue
		}
		held.account.Settle(now, use.Grant, use.Spent)
		held.takeBack(now, use)
	}
	if wait, ok := held.account.Wait(now, ask.Least-rounding); wait > 0 || !ok {
		held.unmet = math.Max(held.unmet, ask.Need)
		holder.active[ask.Workspace] = held
		return Grant{Workspace: ask.Workspace, Holder: holder.name, Held: true, RetryAfter: min(wait, maxRetry)}
	}
	id, amount := held.account.Lend(now, ask.Need, GrantTTL)
	held.unmet = math.Max(held.unmet, ask.Need-amount)
	held.demand.add(now, amount)
	holder.active[ask.Workspace] = held
	return Grant{Workspace: ask.Workspace, ID: id, Holder: holder.name, Amount: amount, Held: true}
}

// takeBack puts unspent tokens into the account again, unless their loan has
// run out.
func (held *held) takeBack(now time.Time, use Use) {
	if use.Returned <= 0 {
		return
	}
	before := held.account.room()
	held.account.Settle(now, use.Grant, use.Returned)
	held.account.Deposit(now, math.Min(use.Returned, held.account.room()-before))
}

// Give moves tokens to another holder as far as this one can spare them.
func (holder *Holder) Give(now time.Time, collect Collect) float64 {
	held, ok := holder.accounts[collect.Workspace]
	if !ok {
		return 0
	}
	reserve := held.demand.rate(now)*horizon.Seconds() + held.unmet
	spare := held.account.Tokens(now) - reserve
	_, amount := held.account.Lend(now, math.Min(collect.Need, spare), GrantTTL)
	return amount
}

// Deposit adds tokens that were moved here. Asked is the time before the
// collect was sent; tokens that took too long are void.
func (holder *Holder) Deposit(now, asked time.Time, workspace string, amount float64) {
	held, ok := holder.accounts[workspace]
	if !ok || now.Sub(asked) >= GrantTTL || amount <= 0 {
		return
	}
	held.collected = true
	held.account.Deposit(now, amount)
}

// Tick returns the collects of workspaces that run short.
func (holder *Holder) Tick(now time.Time) []Collect {
	var collects []Collect
	for name, held := range holder.active {
		if now.Before(held.collectAt) {
			continue
		}
		demand := held.demand.rate(now)
		wanted := held.unmet + demand*horizon.Seconds()
		if demand < quietDemand && held.unmet == 0 {
			delete(holder.active, name)
			continue
		}
		missing := math.Min(wanted, held.account.room()) - held.account.Tokens(now)
		held.unmet = 0
		if missing <= 0 || wanted <= 0 {
			held.backoff = collectInterval
			continue
		}
		held.backoff = min(collectLimit, held.backoff*2)
		if held.collected {
			held.backoff = collectInterval
		}
		held.collected = false
		held.collectAt = now.Add(held.backoff)
		collects = append(collects, Collect{Workspace: name, Need: missing})
	}
	sort.Slice(collects, func(a, b int) bool { return collects[a].Workspace < collects[b].Workspace })
	return collects
}

// Tokens returns what the holder has of a workspace.
func (holder *Holder) Tokens(now time.Time, workspace string) float64 {
	held, ok := holder.accounts[workspace]
	if !ok {
		return 0
	}
	return held.account.Tokens(now)
}

// demand is an exponentially decaying rate of tokens a second.
type demand struct {
	value   float64
	updated time.Time
}

const demandWindow = 2 * time.Second

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
