package target

import (
	"math"
	"time"

	"github.com/godwitspread/godwitspread/internal/heap"
)

// Order is the discipline of a queue.
type Order interface {
	// Push adds a request that arrived at its time of arrival.
	Push(now time.Time, request *Request)
	// Peek returns the request that is next, nil if there is none.
	Peek() *Request
	// Remove takes a request out, wherever it stands.
	Remove(request *Request)
	// Before reports whether one request goes before another, which may stand
	// in a fork of the queue.
	Before(a, b *Request) bool
	// Fork returns an empty queue that shares the accounts of this one.
	Fork() Order
	// Charge counts work done for a workspace, in tokens. It may be negative.
	Charge(workspace string, work float64)
	// Tick applies ageing.
	Tick(now time.Time)
	// Shed returns the request to give up when the queue is full.
	Shed() *Request
	// Len returns the number of requests.
	Len() int
}

const (
	// ageing moves a waiting program ahead as if it had been served this many
	// tokens less for each second.
	ageing = 60.0
	// promotion is the wait after which a workspace goes before those of a
	// higher priority.
	promotion = 5 * time.Second
	topClass  = 100
	// idleAccount is how long a workspace without work keeps its account.
	idleAccount = time.Minute
	// priorityWeight is how much more of the targets each step of priority is
	// worth while they are short.
	priorityWeight = 4
)

// FairOrder shares the targets between workspaces by weighted virtual time,
// and serves the programs of a workspace by least attained service with
// ageing.
type FairOrder struct {
	accounts *accounts
	tenants  map[string]*tenant
	active   *heap.Heap[*tenant]
	length   int
}

// accounts is what the forks of a queue share.
type accounts struct {
	byName  map[string]*account
	virtual float64   // virtual time of the workspace served last
	started time.Time // origin of the ageing
}

// account counts the work done for one workspace.
type account struct {
	weight  float64
	virtual float64
	used    time.Time
}

// tenant is the queue of one workspace. Its place in the heap follows the
// account when it is next looked at.
type tenant struct {
	name     string
	account  *account
	priority int
	class    int
	virtual  float64 // of the account when the heap was last ordered
	requests *heap.Heap[*Request]
	index    int
}

// HeapIndex implements heap.Item.
func (tenant *tenant) HeapIndex() *int { return &tenant.index }

func lessTenant(a, b *tenant) bool {
	if a.class != b.class {
		return a.class > b.class
	}
	if a.virtual != b.virtual {
		return a.virtual < b.virtual
	}
	return a.name < b.name
}

// NewFairOrder returns an empty queue.
func NewFairOrder() *FairOrder {
	return newFairOrder(&accounts{byName: make(map[string]*account)})
}

func newFairOrder(accounts *accounts) *FairOrder {
	return &FairOrder{accounts: accounts, tenants: make(map[string]*tenant), active: heap.New(lessTenant)}
}

// Fork implements Order.
func (order *FairOrder) Fork() Order { return newFairOrder(order.accounts) }

func (accounts *accounts) account(request *Request) *account {
	found, ok := accounts.byName[request.Workspace]
	if !ok {
		found = &account{}
		accounts.byName[request.Workspace] = found
	}
	found.weight = max(request.Weight, 0.001) * math.Pow(priorityWeight, float64(request.Priority))
	return found
}

func (order *FairOrder) tenant(request *Request) *tenant {
	found, ok := order.tenants[request.Workspace]
	if !ok {
		found = &tenant{name: request.Workspace, requests: heap.New(lessOrdered)}
		order.tenants[request.Workspace] = found
	}
	found.account = order.accounts.account(request)
	found.priority = request.Priority
	return found
}

// Push implements Order.
func (order *FairOrder) Push(now time.Time, request *Request) {
	if order.accounts.started.IsZero() {
		order.accounts.started = now
	}
	tenant := order.tenant(request)
	tenant.account.used = now
	request.order = float64(request.Attained) + ageing*request.arrived.Sub(order.accounts.started).Seconds()
	tenant.requests.Push(request)
	order.length++
	if tenant.requests.Len() > 1 {
		return
	}
	tenant.class = 0
	// An idle workspace saves up no claim on the past.
	tenant.account.virtual = max(tenant.account.virtual, order.accounts.virtual)
	tenant.virtual = tenant.account.virtual
	order.active.Push(tenant)
}

// Peek implements Order.
func (order *FairOrder) Peek() *Request {
	for order.active.Len() > 0 {
		first := order.active.Peek()
		if first.virtual == first.account.virtual {
			return first.requests.Peek()
		}
		first.virtual = first.account.virtual
		order.active.Fix(first)
	}
	return nil
}

// Remove implements Order.
func (order *FairOrder) Remove(request *Request) {
	tenant := order.tenants[request.Workspace]
	tenant.requests.Remove(request)
	order.length--
	if tenant.requests.Len() == 0 {
		order.active.Remove(tenant)
	}
}

// Before implements Order.
func (order *FairOrder) Before(a, b *Request) bool {
	if a.Workspace == b.Workspace {
		return lessOrdered(a, b)
	}
	return order.accounts.account(a).virtual < order.accounts.account(b).virtual
}

// Charge implements Order.
func (order *FairOrder) Charge(workspace string, work float64) {
	account, ok := order.accounts.byName[workspace]
	if !ok {
		return
	}
	if work > 0 {
		order.accounts.virtual = max(order.accounts.virtual, account.virtual)
	}
	account.virtual += work / account.weight
}

// Tick implements Order: it promotes workspaces whose first request has
// waited too long and drops the ones that have been idle.
func (order *FairOrder) Tick(now time.Time) {
	for name, tenant := range order.tenants {
		if tenant.requests.Len() == 0 {
			delete(order.tenants, name)
			continue
		}
		tenant.account.used = now
		tenant.class = 0
		if now.Sub(tenant.requests.Peek().arrived) > promotion {
			tenant.class = topClass
		}
		tenant.virtual = tenant.account.virtual
		order.active.Fix(tenant)
	}
	for name, account := range order.accounts.byName {
		if now.Sub(account.used) > idleAccount {
			delete(order.accounts.byName, name)
		}
	}
}

// Shed implements Order: it gives up the last request of the workspace that is
// furthest ahead of its share.
func (order *FairOrder) Shed() *Request {
	var worst *tenant
	for _, tenant := range order.active.Items() {
		if worst == nil || shedBefore(tenant, worst) {
			worst = tenant
		}
	}
	if worst == nil {
		return nil
	}
	last := worst.requests.Items()[0]
	for _, request := range worst.requests.Items() {
		if lessOrdered(last, request) {
			last = request
		}
	}
	return last
}

func shedBefore(a, b *tenant) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	return float64(a.requests.Len())/a.account.weight > float64(b.requests.Len())/b.account.weight
}

// Len implements Order.
func (order *FairOrder) Len() int { return order.length }

// ArrivalOrder serves first come, first served.
type ArrivalOrder struct {
	less     func(a, b *Request) bool
	requests *heap.Heap[*Request]
}

// NewArrivalOrder returns an empty queue.
func NewArrivalOrder() *ArrivalOrder {
	return newSimpleOrder(func(a, b *Request) bool {
		if !a.arrived.Equal(b.arrived) {
			return a.arrived.Before(b.arrived)
		}
		return a.ID < b.ID
	})
}

func newSimpleOrder(less func(a, b *Request) bool) *ArrivalOrder {
	return &ArrivalOrder{less: less, requests: heap.New(less)}
}

// Push implements Order.
func (order *ArrivalOrder) Push(_ time.Time, request *Request) { order.requests.Push(request) }

// Peek implements Order.
func (order *ArrivalOrder) Peek() *Request {
	if order.requests.Len() == 0 {
		return nil
	}
	return order.requests.Peek()
}

// Remove implements Order.
func (order *ArrivalOrder) Remove(request *Request) { order.requests.Remove(request) }

// Before implements Order.
func (order *ArrivalOrder) Before(a, b *Request) bool { return order.less(a, b) }

// Fork implements Order.
func (order *ArrivalOrder) Fork() Order { return newSimpleOrder(order.less) }

// Charge implements Order.
func (order *ArrivalOrder) Charge(string, float64) {}

// Tick implements Order.
func (order *ArrivalOrder) Tick(time.Time) {}

// Shed implements Order.
func (order *ArrivalOrder) Shed() *Request {
	var last *Request
	for _, request := range order.requests.Items() {
		if last == nil || request.arrived.After(last.arrived) {
			last = request
		}
	}
	return last
}

// Len implements Order.
func (order *ArrivalOrder) Len() int { return order.requests.Len() }

// NewShortestOrder returns a queue that serves the request with the smallest
// Attained first. With the remaining work in its place it is the oracle that
// other orders are measured against.
func NewShortestOrder() *ArrivalOrder {
	return newSimpleOrder(func(a, b *Request) bool {
		if a.Attained != b.Attained {
			return a.Attained < b.Attained
		}
		return a.ID < b.ID
	})
}
