package bench

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/configuration"
	"github.com/godwitspread/godwitspread/internal/host"
	"github.com/godwitspread/godwitspread/internal/workspace"
)

// rateFleet runs the limiters and coordinators of package workspace in virtual
// time, with simulated hosts, links and callers.
type rateFleet struct {
	configuration *configuration.Text
	policy        string
	now           time.Time
	events        eventQueue
	sequence      int
	random        *rand.Rand
	hosts         []*entryHost
	byDataCentre  [][]*entryHost
	workspaces    []*workspaceTraffic
	isolated      map[int]bool // data centres in a network partition, by index
}

// entryHost is a simulated entry host.
type entryHost struct {
	index         int
	dataCentre    int // index
	limiter       *workspace.LocalLimiter
	coordinator   *workspace.Coordinator
	pending       map[uint64]*simulatedRequest
	dead          bool
	bytes         int
	messages      int
	fixedAccounts map[int]*workspace.Account // accounts of the baseline policies, by workspace
}

// workspaceTraffic is the offered load of a workspace and the outcome of its
// requests.
type workspaceTraffic struct {
	configuration.Workspace
	index            int
	offeredRate      float64
	pickHost         func(*rand.Rand) *entryHost
	oracle           *workspace.Account // single token bucket for all hosts; determines which requests are within the limit
	level            float64            // largest excess of admitted requests over rate*t, in any interval that ends at levelAt
	levelAt          time.Time
	maxExcess        float64 // highest value of level - burst
	sent             int
	admitted         int
	refused          int
	wrongfulRefusals int // requests refused although the oracle had a token
	waited           time.Duration
}

type simulatedRequest struct {
	traffic     *workspaceTraffic
	arrivedAt   time.Time
	withinLimit bool
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventQueue []event

func (queue eventQueue) Len() int { return len(queue) }
func (queue eventQueue) Less(a, b int) bool {
	if !queue[a].at.Equal(queue[b].at) {
		return queue[a].at.Before(queue[b].at)
	}
	return queue[a].sequence < queue[b].sequence
}
func (queue eventQueue) Swap(a, b int)  { queue[a], queue[b] = queue[b], queue[a] }
func (queue *eventQueue) Push(item any) { *queue = append(*queue, item.(event)) }
func (queue *eventQueue) Pop() any {
	last := len(*queue) - 1
	item := (*queue)[last]
	*queue = (*queue)[:last]
	return item
}

const (
	rateTickInterval = 20 * time.Millisecond
	hopDelay         = 500 * time.Microsecond
	takeoverDelay    = host.FailureTimeout + 300*time.Millisecond // until another host coordinates the workspaces of a dead one
)

// Rate limit policies that are compared.
const (
	ratePolicyTransfer       = "moved tokens"
	ratePolicyEqualShares    = "equal fixed share"
	ratePolicyLocalBorrowing = "fixed share, local borrowing"
)

func newRateFleet(text *configuration.Text, policy string, seed uint64) *rateFleet {
	fleet := &rateFleet{
		configuration: text, policy: policy, now: time.Unix(0, 0), random: rand.New(rand.NewPCG(seed, 5)), isolated: make(map[int]bool),
	}
	for dataCentreIndex, dataCentre := range text.DataCentres {
		var entryHosts []*entryHost
		for range dataCentre.Hosts {
			entryHost := &entryHost{
				index: len(fleet.hosts), dataCentre: dataCentreIndex, limiter: workspace.NewLocalLimiter(),
				coordinator: workspace.NewCoordinator(fmt.Sprint("host", len(fleet.hosts))), pending: make(map[uint64]*simulatedRequest),
				fixedAccounts: make(map[int]*workspace.Account),
			}
			fleet.hosts = append(fleet.hosts, entryHost)
			entryHosts = append(entryHosts, entryHost)
		}
		fleet.byDataCentre = append(fleet.byDataCentre, entryHosts)
	}
	for index, settings := range text.Workspaces {
		traffic := &workspaceTraffic{Workspace: settings, index: index, oracle: workspace.NewAccount(fleet.now, settings.Rate, settings.Burst), levelAt: fleet.now}
		traffic.oracle.Deposit(fleet.now, settings.Burst)
		fleet.workspaces = append(fleet.workspaces, traffic)
		for dataCentreIndex := range fleet.byDataCentre {
			fleet.assignCoordinator(dataCentreIndex, traffic, fleet.now)
		}
	}
	return fleet
}

// assignCoordinator creates the account of a workspace in a data centre on its
// coordinator.
func (fleet *rateFleet) assignCoordinator(dataCentreIndex int, traffic *workspaceTraffic, accrueFrom time.Time) {
	share := workspace.ShareOf(fleet.configuration, traffic.Workspace, fleet.configuration.DataCentres[dataCentreIndex].Name)
	if coordinatorHost := fleet.coordinator(dataCentreIndex, traffic); coordinatorHost != nil && share.Rate > 0 {
		coordinatorHost.coordinator.SetAccount(fleet.now, accrueFrom, traffic.Name, share.Rate, share.Burst)
	}
}

// coordinator returns the live host that coordinates a workspace in a data centre,
// or nil if there is none.
func (fleet *rateFleet) coordinator(dataCentreIndex int, traffic *workspaceTraffic) *entryHost {
	entryHosts := fleet.byDataCentre[dataCentreIndex]
	for offset := range entryHosts {
		if entryHost := entryHosts[(traffic.index+offset)%len(entryHosts)]; !entryHost.dead {
			return entryHost
		}
	}
	return nil
}

func (fleet *rateFleet) schedule(delay time.Duration, run func()) {
	fleet.sequence++
	heap.Push(&fleet.events, event{at: fleet.now.Add(delay), sequence: fleet.sequence, run: run})
}

// linkDelay returns the delay of a message between two data centres, and false if
// they are partitioned.
func (fleet *rateFleet) linkDelay(from, to int) (time.Duration, bool) {
	if from == to {
		return hopDelay, true
	}
	if fleet.isolated[from] || fleet.isolated[to] {
		return 0, false
	}
	return hopDelay, true
}

// send counts a message and schedules its delivery. Messages to an unreachable or
// dead host are dropped.
func (fleet *rateFleet) send(from, to *entryHost, message any, deliver func()) {
	data, err := codec.Marshal(message)
	if err != nil {
		panic(err) // these types always encode
	}
	for _, end := range []*entryHost{from, to} {
		end.messages++
		end.bytes += len(data) + frameOverhead
	}
	delay, linked := fleet.linkDelay(from.dataCentre, to.dataCentre)
	if !linked {
		return
	}
	fleet.schedule(delay, func() {
		if !to.dead {
			deliver()
		}
	})
}

// frameOverhead is the size of a frame around its payload, in bytes.
const frameOverhead = 40

// run simulates the given duration.
func (fleet *rateFleet) run(duration time.Duration) {
	end := fleet.now.Add(duration)
	for _, entryHost := range fleet.hosts {
		fleet.startTicks(entryHost)
	}
	for _, traffic := range fleet.workspaces {
		fleet.scheduleArrivals(traffic)
	}
	for len(fleet.events) > 0 && fleet.events[0].at.Before(end) {
		nextEvent := heap.Pop(&fleet.events).(event)
		fleet.now = nextEvent.at
		nextEvent.run()
	}
}

func (fleet *rateFleet) startTicks(entryHost *entryHost) {
	// A random offset prevents all hosts from ticking at the same time.
	fleet.schedule(time.Duration(fleet.random.Int64N(int64(rateTickInterval))), func() { fleet.tick(entryHost) })
}

func (fleet *rateFleet) scheduleArrivals(traffic *workspaceTraffic) {
	if traffic.offeredRate <= 0 {
		return
	}
	wait := time.Duration(fleet.random.ExpFloat64() / traffic.offeredRate * float64(time.Second))
	fleet.schedule(wait, func() {
		fleet.handleArrival(traffic)
		fleet.scheduleArrivals(traffic)
	})
}

// handleArrival sends one request of a workspace to a live host.
func (fleet *rateFleet) handleArrival(traffic *workspaceTraffic) {
	entryHost := traffic.pickHost(fleet.random)
	for tries := 0; entryHost.dead && tries < 100; tries++ {
		entryHost = traffic.pickHost(fleet.random)
	}
	traffic.sent++
	request := &simulatedRequest{traffic: traffic, arrivedAt: fleet.now, withinLimit: traffic.oracle.Spend(fleet.now, 1)}
	if fleet.policy != ratePolicyTransfer {
		fleet.recordOutcome(request, fleet.spendFixedShare(entryHost, traffic))
		return
	}
	fleet.sequence++
	id := uint64(fleet.sequence)
	entryHost.pending[id] = request
	fleet.applyAdmissions(entryHost, entryHost.limiter.Admit(fleet.now, id, traffic.Name, traffic.Rate, fleet.now.Add(workspace.MaxWait)))
	// A limiter requests tokens as soon as it lacks some, without waiting for the
	// next tick.
	fleet.sendTokenRequests(entryHost)
}

// spendFixedShare admits a request under a baseline policy, in which each host or
// data centre has a fixed share of the rate.
func (fleet *rateFleet) spendFixedShare(entryHost *entryHost, traffic *workspaceTraffic) bool {
	accountHost, share := entryHost, 1/float64(len(fleet.hosts))
	if fleet.policy == ratePolicyLocalBorrowing {
		accountHost, share = fleet.byDataCentre[entryHost.dataCentre][0], 1/float64(len(fleet.byDataCentre))
	}
	account, ok := accountHost.fixedAccounts[traffic.index]
	if !ok {
		account = workspace.NewAccount(fleet.now, traffic.Rate*share, traffic.Burst*share)
		account.Deposit(fleet.now, traffic.Burst*share)
		accountHost.fixedAccounts[traffic.index] = account
	}
	return account.Spend(fleet.now, 1)
}

func (fleet *rateFleet) applyAdmissions(entryHost *entryHost, admissions []workspace.Admission) {
	for _, admission := range admissions {
		if request, ok := entryHost.pending[admission.ID]; ok {
			delete(entryHost.pending, admission.ID)
			fleet.recordOutcome(request, admission.Refusal == nil)
		}
	}
}

// recordOutcome counts an admitted or refused request and updates the excess over
// rate*t + burst.
func (fleet *rateFleet) recordOutcome(request *simulatedRequest, admitted bool) {
	traffic := request.traffic
	if !admitted {
		traffic.refused++
		if request.withinLimit {
			traffic.wrongfulRefusals++
		}
		return
	}
	traffic.admitted++
	traffic.waited += fleet.now.Sub(request.arrivedAt)
	traffic.level = math.Max(0, traffic.level-traffic.Rate*fleet.now.Sub(traffic.levelAt).Seconds()) + 1
	traffic.levelAt = fleet.now
	traffic.maxExcess = math.Max(traffic.maxExcess, traffic.level-traffic.Burst)
}

func (fleet *rateFleet) tick(entryHost *entryHost) {
	if entryHost.dead {
		return
	}
	fleet.schedule(rateTickInterval, func() { fleet.tick(entryHost) })
	fleet.applyAdmissions(entryHost, entryHost.limiter.Tick(fleet.now))
	fleet.sendTokenRequests(entryHost)
	for _, request := range entryHost.coordinator.Tick(fleet.now) {
		fleet.sendTransferRequests(entryHost, request)
	}
}

// sendTokenRequests sends the token requests of a host to the coordinators.
func (fleet *rateFleet) sendTokenRequests(entryHost *entryHost) {
	for _, tokenRequest := range entryHost.limiter.Requests(fleet.now) {
		traffic := fleet.workspaces[workspaceIndex(tokenRequest.Workspace)]
		dataCentreIndex := entryHost.dataCentre
		if share := workspace.ShareOf(fleet.configuration, traffic.Workspace, fleet.configuration.DataCentres[dataCentreIndex].Name); share.SoleDataCentre != "" {
			dataCentreIndex = fleet.dataCentreIndex(share.SoleDataCentre)
		}
		sentAt := fleet.now
		coordinatorHost := fleet.coordinator(dataCentreIndex, traffic)
		if coordinatorHost == nil {
			entryHost.limiter.RequestFailed(fleet.now, tokenRequest.Workspace)
			continue
		}
		fleet.send(entryHost, coordinatorHost, tokenRequest, func() {
			grant := coordinatorHost.coordinator.Grant(fleet.now, tokenRequest)
			fleet.send(coordinatorHost, entryHost, grant, func() {
				fleet.applyAdmissions(entryHost, entryHost.limiter.AddGrant(fleet.now, sentAt, grant))
			})
		})
	}
}

func (fleet *rateFleet) dataCentreIndex(name string) int {
	for index, dataCentre := range fleet.configuration.DataCentres {
		if dataCentre.Name == name {
			return index
		}
	}
	return 0
}

// sendTransferRequests requests tokens from the coordinators of the other data
// centres, in equal amounts.
func (fleet *rateFleet) sendTransferRequests(entryHost *entryHost, total workspace.TransferRequest) {
	traffic := fleet.workspaces[workspaceIndex(total.Workspace)]
	if workspace.ShareOf(fleet.configuration, traffic.Workspace, fleet.configuration.DataCentres[entryHost.dataCentre].Name).SoleDataCentre != "" {
		return // no other data centre has an account
	}
	sentAt := fleet.now
	others := len(fleet.byDataCentre) - 1
	for dataCentreIndex := range fleet.byDataCentre {
		if dataCentreIndex == entryHost.dataCentre {
			continue
		}
		coordinatorHost := fleet.coordinator(dataCentreIndex, traffic)
		if coordinatorHost == nil {
			continue
		}
		request := workspace.TransferRequest{Workspace: total.Workspace, Need: total.Need / float64(others)}
		fleet.send(entryHost, coordinatorHost, request, func() {
			amount := coordinatorHost.coordinator.Transfer(fleet.now, request)
			fleet.send(coordinatorHost, entryHost, amount, func() {
				entryHost.coordinator.Deposit(fleet.now, sentAt, total.Workspace, amount)
			})
		})
	}
}

// kill crashes a host. Its workspaces get a new coordinator after takeoverDelay,
// whose accounts accrue tokens only after the grants of the dead host have expired.
func (fleet *rateFleet) kill(entryHost *entryHost) {
	entryHost.dead = true
	for id, request := range entryHost.pending {
		// The callers of a dead host retry on another one; these requests count as
		// neither sent nor refused.
		delete(entryHost.pending, id)
		request.traffic.sent--
	}
	coordinated := make(map[string]bool)
	for _, name := range entryHost.coordinator.Workspaces() {
		coordinated[name] = true
	}
	fleet.schedule(takeoverDelay, func() {
		for _, traffic := range fleet.workspaces {
			if coordinated[traffic.Name] {
				fleet.assignCoordinator(entryHost.dataCentre, traffic, fleet.now.Add(workspace.TakeoverWait))
			}
		}
	})
}
