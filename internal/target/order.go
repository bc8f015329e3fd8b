package target

import (
	"time"

	"github.com/godwitspread/godwitspread/internal/heap"
)

// Order is the discipline of a queue.
type Order interface {
	// Push adds a request that arrived now.
	Push(now time.Time, request *Request)
	// Peek returns the request that is next, nil if there is none.
	Peek() *Request
	// Remove takes a request out, wherever it stands.
	Remove(request *Request)
	// Charge counts work done for a workspace, in tokens. It may be negative.
	Charge(workspace string, work float64)
	// Tick applies ageing.
	Tick(now time.Time)
	// Shed returns the request to give up when the queue is full.
	Shed() *Request
	// Len returns the number of requests.
	Len() int
	// Each calls do for every request until it returns false.
	Each(do func(request *Request) bool)
}

const (
	// ageing moves a waiting program ahead as if it had been served this many
	// tokens less for each second.
	ageing = 2000.0
	// promotion is the wait after which a workspace goes before those of a
	// higher priority.
	promotion = 5 * time.Second
	topClass  = 100
)

// FairOrder shares the targets between workspaces by weighted virtual time,
// and serves the programs of a workspace by least attained service with
// ageing.
type FairOrder struct {
	tenants map[string]*tenant
	active  *heap.Heap[*tenant]
	virtual float64 // virtual time of the tenant served last
	length  int
	started time.Time // origin of the ageing
}

// tenant is the queue of one workspace.
type tenant struct {
	name     string
	weight   float64
	priority int
	class    int
	virtual  float64
	requests *heap.Heap[*Request]
	index    int
}

// HeapIndex implements heap.Item.
func (tenant *tenant) HeapIndex() *int { return &tenant.index }

// NewFairOrder returns an empty queue.
func NewFairOrder() *FairOrder {
	return &FairOrder{
		tenants: make(map[string]*tenant),
		active: heap.New(func(a, b *tenant) bool {
			if a.class != b.class {
				return a.class > b.class
			}
			if a.virtual != b.virtual {
				return a.virtual < b.virtual
			}
			return a.name < b.name
		}),
	}
}

func (order *FairOrder) tenant(request *Request) *tenant {
	found, ok := order.tenants[request.Workspace]
	if !ok {
		found = &tenant{
			name: request.Workspace,
			requests: heap.New(func(a, b *Request) bool {
				if a.order != b.order {
					return a.order < b.order
				}
				return a.ID < b.ID
			}),
		}
		order.tenants[request.Workspace] = found
	}
	found.weight = max(request.Weight, 0.001)
	found.priority = request.Priority
	return found
}

// Push implements Order.
func (order *FairOrder) Push(now time.Time, request *Request) {
	if order.started.IsZero() {
		order.started = now
	}
	tenant := order.tenant(request)
	request.order = float64(request.Attained) + ageing*request.arrived.Sub(order.started).Seconds()
	tenant.requests.Push(request)
	order.length++
	if tenant.requests.Len() > 1 {
		return
	}
	tenant.class = tenant.priority
	tenant.virtual = max(tenant.virtual, order.virtual)
	order.active.Push(tenant)
}

// Peek implements Order.
func (order *FairOrder) Peek() *Request {
	if order.active.Len() == 0 {
		return nil
	}
	return order.active.Peek().requests.Peek()
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

// Charge implements Order.
func (order *FairOrder) Charge(workspace string, work float64) {
	tenant, ok := order.tenants[workspace]
	if !ok {
		return
	}
	if work > 0 {
		order.virtual = max(order.virtual, tenant.virtual)
	}
	tenant.virtual += work / tenant.weight
	if tenant.requests.Len() > 0 {
		order.active.Fix(tenant)
	}
}

// Tick implements Order: it promotes workspaces whose first request has
// waited too long and drops the ones that have been idle.
func (order *FairOrder) Tick(now time.Time) {
	for name, tenant := range order.tenants {
		if tenant.requests.Len() == 0 {
			if tenant.virtual <= order.virtual {
				delete(order.tenants, name)
			}
			continue
		}
		class := tenant.priority
		if now.Sub(tenant.requests.Peek().arrived) > promotion {
			class = topClass
		}
		if class != tenant.class {
			tenant.class = class
			order.active.Fix(tenant)
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
		if request.order > last.order {
			last = request
		}
	}
	return last
}

func shedBefore(a, b *tenant) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	return float64(a.requests.Len())/a.weight > float64(b.requests.Len())/b.weight
}

// Len implements Order.
func (order *FairOrder) Len() int { return order.length }

// Each implements Order.
func (order *FairOrder) Each(do func(request *Request) bool) {
	for _, tenant := range order.active.Items() {
		for _, request := range tenant.requests.Items() {
			if !do(request) {
				return
			}
		}
	}
}

// ArrivalOrder serves first come, first served.
type ArrivalOrder struct {
	requests *heap.Heap[*Request]
}

// NewArrivalOrder returns an empty queue.
func NewArrivalOrder() *ArrivalOrder {
	return &ArrivalOrder{requests: heap.New(func(a, b *Request) bool {
		if !a.arrived.Equal(b.arrived) {
			return a.arrived.Before(b.arrived)
		}
		return a.ID < b.ID
	})}
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

// Each implements Order.
func (order *ArrivalOrder) Each(do func(request *Request) bool) {
	for _, request := range order.requests.Items() {
		if !do(request) {
			return
		}
	}
}
