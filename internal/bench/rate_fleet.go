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

// rateFleet runs the real spenders and holders in virtual time.
type rateFleet struct {
	text    *configuration.Text
	policy  string
	now     time.Time
	events  eventQueue
	serial  int
	random  *rand.Rand
	hosts   []*rateHost
	byPlace [][]*rateHost
	spaces  []*rateSpace
	cut     map[int]bool // data centres without links to the others
}

// rateHost is one entry host.
type rateHost struct {
	index    int
	place    int
	spender  *workspace.Spender
	holder   *workspace.Holder
	requests map[uint64]*rateRequest
	dead     bool
	bytes    int
	messages int
	fixed    map[int]*workspace.Account // accounts of the baseline policies
}

// rateSpace is one workspace with its offered load and what became of it.
type rateSpace struct {
	configuration.Workspace
	index    int
	offered  float64
	pick     func(*rand.Rand) *rateHost
	oracle   *workspace.Account
	level    float64 // highest excess of admitted requests over the rate, in any interval
	levelAt  time.Time
	worst    float64
	sent     int
	admitted int
	refused  int
	wrongful int
	waited   time.Duration
}

type rateRequest struct {
	space  *rateSpace
	at     time.Time
	within bool
}

type event struct {
	at     time.Time
	serial int
	run    func()
}

type eventQueue []event

func (queue eventQueue) Len() int { return len(queue) }
func (queue eventQueue) Less(a, b int) bool {
	if !queue[a].at.Equal(queue[b].at) {
		return queue[a].at.Before(queue[b].at)
	}
	return queue[a].serial < queue[b].serial
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
	rateTick  = 20 * time.Millisecond
	innerHop  = 500 * time.Microsecond
	failAfter = host.FailureTimeout + 300*time.Millisecond // until another host holds the workspaces of a dead one
)

// Policies of the rate measurement.
const (
	policyMoved  = "moved tokens"
	policyEqual  = "equal fixed share"
	policyBorrow = "fixed share, local borrowing"
)

func newRateFleet(text *configuration.Text, policy string, seed uint64) *rateFleet {
	fleet := &rateFleet{
		text: text, policy: policy, now: time.Unix(0, 0), random: rand.New(rand.NewPCG(seed, 5)), cut: make(map[int]bool),
	}
	for place, dataCentre := range text.DataCentres {
		var members []*rateHost
		for range dataCentre.Hosts {
			member := &rateHost{
				index: len(fleet.hosts), place: place, spender: workspace.NewSpender(),
				holder: workspace.NewHolder(fmt.Sprint("host", len(fleet.hosts))), requests: make(map[uint64]*rateRequest),
				fixed: make(map[int]*workspace.Account),
			}
			fleet.hosts = append(fleet.hosts, member)
			members = append(members, member)
		}
		fleet.byPlace = append(fleet.byPlace, members)
	}
	for index, space := range text.Workspaces {
		added := &rateSpace{Workspace: space, index: index, oracle: workspace.NewAccount(fleet.now, space.Rate, space.Burst), levelAt: fleet.now}
		added.oracle.Deposit(fleet.now, space.Burst)
		fleet.spaces = append(fleet.spaces, added)
		for place := range fleet.byPlace {
			fleet.hold(place, added, fleet.now)
		}
	}
	return fleet
}

// hold gives the account of a workspace in a data centre to its holder.
func (fleet *rateFleet) hold(place int, space *rateSpace, accrueFrom time.Time) {
	share := workspace.ShareOf(fleet.text, space.Workspace, fleet.text.DataCentres[place].Name)
	if holder := fleet.holder(place, space); holder != nil && share.Rate > 0 {
		holder.holder.Hold(fleet.now, accrueFrom, space.Name, share.Rate, share.Burst)
	}
}

// holder returns the live host that holds a workspace in a data centre.
func (fleet *rateFleet) holder(place int, space *rateSpace) *rateHost {
	members := fleet.byPlace[place]
	for offset := range members {
		if member := members[(space.index+offset)%len(members)]; !member.dead {
			return member
		}
	}
	return nil
}

func (fleet *rateFleet) after(delay time.Duration, run func()) {
	fleet.serial++
	heap.Push(&fleet.events, event{at: fleet.now.Add(delay), serial: fleet.serial, run: run})
}

// hop returns the time of one message, and false if there is no way.
func (fleet *rateFleet) hop(from, to int) (time.Duration, bool) {
	if from == to {
		return innerHop, true
	}
	if fleet.cut[from] || fleet.cut[to] {
		return 0, false
	}
	return innerHop, true
}

// send counts a message and delivers it.
func (fleet *rateFleet) send(from, to *rateHost, message any, deliver func()) {
	data, err := codec.Marshal(message)
	if err != nil {
		panic(err) // messages of this program always encode
	}
	for _, end := range []*rateHost{from, to} {
		end.messages++
		end.bytes += len(data) + frameOverhead
	}
	delay, linked := fleet.hop(from.place, to.place)
	if !linked {
		return
	}
	fleet.after(delay, func() {
		if !to.dead {
			deliver()
		}
	})
}

// frameOverhead is the size of a frame around its payload, in bytes.
const frameOverhead = 40

// run advances virtual time.
func (fleet *rateFleet) run(duration time.Duration) {
	end := fleet.now.Add(duration)
	for _, member := range fleet.hosts {
		fleet.tickLoop(member)
	}
	for _, space := range fleet.spaces {
		fleet.arriveLoop(space)
	}
	for len(fleet.events) > 0 && fleet.events[0].at.Before(end) {
		next := heap.Pop(&fleet.events).(event)
		fleet.now = next.at
		next.run()
	}
}

func (fleet *rateFleet) tickLoop(member *rateHost) {
	// Hosts tick at different moments.
	fleet.after(time.Duration(fleet.random.Int64N(int64(rateTick))), func() { fleet.tick(member) })
}

func (fleet *rateFleet) arriveLoop(space *rateSpace) {
	if space.offered <= 0 {
		return
	}
	wait := time.Duration(fleet.random.ExpFloat64() / space.offered * float64(time.Second))
	fleet.after(wait, func() {
		fleet.arrive(space)
		fleet.arriveLoop(space)
	})
}

// arrive brings one request to a host.
func (fleet *rateFleet) arrive(space *rateSpace) {
	member := space.pick(fleet.random)
	for tries := 0; member.dead && tries < 100; tries++ {
		member = space.pick(fleet.random)
	}
	space.sent++
	request := &rateRequest{space: space, at: fleet.now, within: space.oracle.Spend(fleet.now, 1)}
	if fleet.policy != policyMoved {
		fleet.settle(request, fleet.spendFixed(member, space))
		return
	}
	fleet.serial++
	id := uint64(fleet.serial)
	member.requests[id] = request
	fleet.admit(member, member.spender.Arrive(fleet.now, id, space.Name, space.Rate, fleet.now.Add(workspace.MaxWait)))
	// A spender asks as soon as it runs short, not only at its tick.
	fleet.ask(member)
}

// spendFixed decides by the baseline policies, which hold their parts for good.
func (fleet *rateFleet) spendFixed(member *rateHost, space *rateSpace) bool {
	owner, part := member, 1/float64(len(fleet.hosts))
	if fleet.policy == policyBorrow {
		owner, part = fleet.byPlace[member.place][0], 1/float64(len(fleet.byPlace))
	}
	account, ok := owner.fixed[space.index]
	if !ok {
		account = workspace.NewAccount(fleet.now, space.Rate*part, space.Burst*part)
		account.Deposit(fleet.now, space.Burst*part)
		owner.fixed[space.index] = account
	}
	return account.Spend(fleet.now, 1)
}

func (fleet *rateFleet) admit(member *rateHost, admissions []workspace.Admission) {
	for _, admission := range admissions {
		if request, ok := member.requests[admission.ID]; ok {
			delete(member.requests, admission.ID)
			fleet.settle(request, admission.Refusal == nil)
		}
	}
}

// settle counts what became of a request, and the excess over the bound.
func (fleet *rateFleet) settle(request *rateRequest, admitted bool) {
	space := request.space
	if !admitted {
		space.refused++
		if request.within {
			space.wrongful++
		}
		return
	}
	space.admitted++
	space.waited += fleet.now.Sub(request.at)
	space.level = math.Max(0, space.level-space.Rate*fleet.now.Sub(space.levelAt).Seconds()) + 1
	space.levelAt = fleet.now
	space.worst = math.Max(space.worst, space.level-space.Burst)
}

func (fleet *rateFleet) tick(member *rateHost) {
	if member.dead {
		return
	}
	fleet.after(rateTick, func() { fleet.tick(member) })
	fleet.admit(member, member.spender.Tick(fleet.now))
	fleet.ask(member)
	for _, collect := range member.holder.Tick(fleet.now) {
		fleet.collect(member, collect)
	}
}

// ask sends the asks of a host to the holders.
func (fleet *rateFleet) ask(member *rateHost) {
	for _, ask := range member.spender.Asks(fleet.now) {
		space := fleet.spaces[spaceIndex(ask.Workspace)]
		place := member.place
		if share := workspace.ShareOf(fleet.text, space.Workspace, fleet.text.DataCentres[place].Name); share.Home != "" {
			place = fleet.placeOf(share.Home)
		}
		asked := fleet.now
		holder := fleet.holder(place, space)
		if holder == nil {
			member.spender.Failed(fleet.now, ask.Workspace)
			continue
		}
		fleet.send(member, holder, ask, func() {
			grant := holder.holder.Ask(fleet.now, ask)
			fleet.send(holder, member, grant, func() {
				fleet.admit(member, member.spender.Granted(fleet.now, asked, grant))
			})
		})
	}
}

func (fleet *rateFleet) placeOf(name string) int {
	for place, dataCentre := range fleet.text.DataCentres {
		if dataCentre.Name == name {
			return place
		}
	}
	return 0
}

// collect asks the holders of the other data centres for tokens.
func (fleet *rateFleet) collect(member *rateHost, collect workspace.Collect) {
	space := fleet.spaces[spaceIndex(collect.Workspace)]
	if workspace.ShareOf(fleet.text, space.Workspace, fleet.text.DataCentres[member.place].Name).Home != "" {
		return // nobody else holds any
	}
	asked := fleet.now
	others := len(fleet.byPlace) - 1
	for place := range fleet.byPlace {
		if place == member.place {
			continue
		}
		holder := fleet.holder(place, space)
		if holder == nil {
			continue
		}
		wish := workspace.Collect{Workspace: collect.Workspace, Need: collect.Need / float64(others)}
		fleet.send(member, holder, wish, func() {
			amount := holder.holder.Give(fleet.now, wish)
			fleet.send(holder, member, amount, func() {
				member.holder.Deposit(fleet.now, asked, collect.Workspace, amount)
			})
		})
	}
}

// kill ends a host. Its workspaces get a new holder when that is noticed, which
// waits out its predecessor's grants.
func (fleet *rateFleet) kill(member *rateHost) {
	member.dead = true
	for id, request := range member.requests {
		// The callers of a dead host try another one; they are not refused.
		delete(member.requests, id)
		request.space.sent--
	}
	held := make(map[string]bool)
	for _, name := range member.holder.Held() {
		held[name] = true
	}
	fleet.after(failAfter, func() {
		for _, space := range fleet.spaces {
			if held[space.Name] {
				fleet.hold(member.place, space, fleet.now.Add(workspace.TakeoverWait))
			}
		}
	})
}
