package target

import (
	"math"
	"time"

	"github.com/godwitspread/godwitspread/internal/heap"
)

// Queue is a queue of requests together with its scheduling discipline.
type Queue interface {
	// Push adds a request.
	Push(now time.Time, request *Request)
	// Peek returns the next request without removing it, or nil if the queue
	// is empty.
	Peek() *Request
	// Remove removes a request from any position in the queue.
	Remove(request *Request)
	// Before reports whether a is served before b. Either request may be in a
	// fork of the queue.
	Before(a, b *Request) bool
	// Fork returns an empty queue that shares the workspace accounts of this
	// one.
	Fork() Queue
	// Charge adds work, in tokens, to the account of a workspace. Negative
	// work corrects an earlier charge that was too large.
	Charge(workspace string, work float64)
	// Tick updates the state that depends on how long requests have waited.
	Tick(now time.Time)
	// Shed returns the request to refuse when the queue is full.
	Shed() *Request
	// Len returns the number of queued requests.
	Len() int
}

const (
	// ageingTokensPerSecond is subtracted from the attained service of a
	// waiting program for each second of waiting.
	ageingTokensPerSecond = 60.0
	// promotionWait is the wait after which a workspace is served before
	// workspaces of a higher priority.
	promotionWait = 5 * time.Second
	// promotedClass is the class of workspaces that have waited longer than
	// promotionWait. All others have class 0.
	promotedClass = 100
	// accountIdleTimeout is how long the account of an idle workspace is kept.
	accountIdleTimeout = time.Minute
	// priorityWeight is the factor by which each priority level multiplies the
	// weight of a workspace.
	priorityWeight = 4
)

// FairQueue schedules workspaces by weighted virtual time and the programs of
// a workspace by least attained service with ageing.
type FairQueue struct {
	accounts *accounts
	flows    map[string]*flow
	active   *heap.Heap[*flow] // flows with queued requests
	length   int
}

// accounts is the state that a queue shares with its forks.
type accounts struct {
	byName       map[string]*account
	virtualTime  float64   // virtual time of the most recently served workspace
	ageingOrigin time.Time // reference time for ageing, set by the first request
}

// account records the work done for one workspace.
type account struct {
	weight      float64
	virtualTime float64
	lastUsed    time.Time
}

// flow is the queue of one workspace. Charges to the account don't reorder the
// heap of flows: Peek moves a flow whose virtual time is out of date.
type flow struct {
	name        string
	account     *account
	priority    int
	class       int
	virtualTime float64 // the account's virtual time when the flow was last placed in the heap
	requests    *heap.Heap[*Request]
	index       int
}

// HeapIndex implements heap.Item.
func (flow *flow) HeapIndex() *int { return &flow.index }

func lessFlow(a, b *flow) bool {
	if a.class != b.class {
		return a.class > b.class
	}
	if a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
	}
	return a.name < b.name
}

// NewFairQueue returns an empty fair queue.
func NewFairQueue() *FairQueue {
	return newFairQueue(&accounts{byName: make(map[string]*account)})
}

func newFairQueue(accounts *accounts) *FairQueue {
	return &FairQueue{accounts: accounts, flows: make(map[string]*flow), active: heap.New(lessFlow)}
}

// Fork returns an empty queue with the same accounts.
func (queue *FairQueue) Fork() Queue { return newFairQueue(queue.accounts) }

func (accounts *accounts) account(request *Request) *account {
	found, ok := accounts.byName[request.Workspace]
	if !ok {
		found = &account{}
		accounts.byName[request.Workspace] = found
	}
	// The minimum weight prevents a division by zero in Charge.
	found.weight = max(request.Weight, 0.001) * math.Pow(priorityWeight, float64(request.Priority))
	return found
}

func (queue *FairQueue) flowOf(request *Request) *flow {
	found, ok := queue.flows[request.Workspace]
	if !ok {
		found = &flow{name: request.Workspace, requests: heap.New(lessRank)}
		queue.flows[request.Workspace] = found
	}
	found.account = queue.accounts.account(request)
	found.priority = request.Priority
	return found
}

// Push adds a request to the flow of its workspace.
func (queue *FairQueue) Push(now time.Time, request *Request) {
	if queue.accounts.ageingOrigin.IsZero() {
		queue.accounts.ageingOrigin = now
	}
	flow := queue.flowOf(request)
	flow.account.lastUsed = now
	request.rank = float64(request.Attained) + ageingTokensPerSecond*request.arrived.Sub(queue.accounts.ageingOrigin).Seconds()
	flow.requests.Push(request)
	queue.length++
	if flow.requests.Len() > 1 {
		return
	}
	flow.class = 0
	// An idle workspace earns no credit for the time without requests.
	flow.account.virtualTime = max(flow.account.virtualTime, queue.accounts.virtualTime)
	flow.virtualTime = flow.account.virtualTime
	queue.active.Push(flow)
}

// Peek returns the first request of the flow with the highest class and, among
// these, the lowest virtual time.
func (queue *FairQueue) Peek() *Request {
	for queue.active.Len() > 0 {
		first := queue.active.Peek()
		if first.virtualTime == first.account.virtualTime {
			return first.requests.Peek()
		}
		first.virtualTime = first.account.virtualTime
		queue.active.Fix(first)
	}
	return nil
}

// Remove removes a request from the flow of its workspace.
func (queue *FairQueue) Remove(request *Request) {
	flow := queue.flows[request.Workspace]
	flow.requests.Remove(request)
	queue.length--
	if flow.requests.Len() == 0 {
		queue.active.Remove(flow)
	}
}

// Before compares requests of one workspace by rank and those of different
// workspaces by virtual time.
func (queue *FairQueue) Before(a, b *Request) bool {
	if a.Workspace == b.Workspace {
		return lessRank(a, b)
	}
	return queue.accounts.account(a).virtualTime < queue.accounts.account(b).virtualTime
}

// Charge advances the virtual time of a workspace by the weighted work.
func (queue *FairQueue) Charge(workspace string, work float64) {
	account, ok := queue.accounts.byName[workspace]
	if !ok {
		return
	}
	if work > 0 {
		queue.accounts.virtualTime = max(queue.accounts.virtualTime, account.virtualTime)
	}
	account.virtualTime += work / account.weight
}

// Tick promotes workspaces whose first request has waited longer than
// promotionWait, and removes the state of idle workspaces.
func (queue *FairQueue) Tick(now time.Time) {
	for name, flow := range queue.flows {
		if flow.requests.Len() == 0 {
			delete(queue.flows, name)
			continue
		}
		flow.account.lastUsed = now
		flow.class = 0
		if now.Sub(flow.requests.Peek().arrived) > promotionWait {
			flow.class = promotedClass
		}
		flow.virtualTime = flow.account.virtualTime
		queue.active.Fix(flow)
	}
	for name, account := range queue.accounts.byName {
		if now.Sub(account.lastUsed) > accountIdleTimeout {
			delete(queue.accounts.byName, name)
		}
	}
}

// Shed returns the last request of the workspace with the lowest priority and,
// among these, the longest queue relative to its weight.
func (queue *FairQueue) Shed() *Request {
	var worst *flow
	for _, flow := range queue.active.Items() {
		if worst == nil || shedBefore(flow, worst) {
			worst = flow
		}
	}
	if worst == nil {
		return nil
	}
	last := worst.requests.Items()[0]
	for _, request := range worst.requests.Items() {
		if lessRank(last, request) {
			last = request
		}
	}
	return last
}

func shedBefore(a, b *flow) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	return float64(a.requests.Len())/a.account.weight > float64(b.requests.Len())/b.account.weight
}

// Len returns the number of queued requests of all workspaces.
func (queue *FairQueue) Len() int { return queue.length }

// PriorityQueue serves requests in the order of a comparison function,
// regardless of their workspace.
type PriorityQueue struct {
	less     func(a, b *Request) bool
	requests *heap.Heap[*Request]
}

// NewFIFOQueue returns an empty queue that serves requests in order of arrival.
func NewFIFOQueue() *PriorityQueue {
	return newPriorityQueue(func(a, b *Request) bool {
		if !a.arrived.Equal(b.arrived) {
			return a.arrived.Before(b.arrived)
		}
		return a.ID < b.ID
	})
}

func newPriorityQueue(less func(a, b *Request) bool) *PriorityQueue {
	return &PriorityQueue{less: less, requests: heap.New(less)}
}

// Push adds a request.
func (queue *PriorityQueue) Push(_ time.Time, request *Request) { queue.requests.Push(request) }

// Peek returns the least request by the comparison function.
func (queue *PriorityQueue) Peek() *Request {
	if queue.requests.Len() == 0 {
		return nil
	}
	return queue.requests.Peek()
}

// Remove removes a request from any position.
func (queue *PriorityQueue) Remove(request *Request) { queue.requests.Remove(request) }

// Before reports whether a is less than b by the comparison function.
func (queue *PriorityQueue) Before(a, b *Request) bool { return queue.less(a, b) }

// Fork returns an empty queue with the same comparison function.
func (queue *PriorityQueue) Fork() Queue { return newPriorityQueue(queue.less) }

// Charge does nothing, because the queue ignores workspaces.
func (queue *PriorityQueue) Charge(string, float64) {}

// Tick does nothing, because requests don't age.
func (queue *PriorityQueue) Tick(time.Time) {}

// Shed returns the request that arrived last.
func (queue *PriorityQueue) Shed() *Request {
	var last *Request
	for _, request := range queue.requests.Items() {
		if last == nil || request.arrived.After(last.arrived) {
			last = request
		}
	}
	return last
}

// Len returns the number of queued requests.
func (queue *PriorityQueue) Len() int { return queue.requests.Len() }

// NewLeastAttainedQueue returns a queue that serves the request with the
// smallest Attained first. If the caller sets Attained to the remaining work,
// this is shortest remaining processing time, the baseline with which other
// disciplines are compared.
func NewLeastAttainedQueue() *PriorityQueue {
	return newPriorityQueue(func(a, b *Request) bool {
		if a.Attained != b.Attained {
			return a.Attained < b.Attained
		}
		return a.ID < b.ID
	})
}
